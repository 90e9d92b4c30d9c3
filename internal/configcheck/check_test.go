package configcheck

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func testNames() *Names {
	return &Names{
		Routes: "routes", Groups: "groups", Customers: "customers", Group: "group", Customer: "customer",
		Version: "version", TransactionIdle: "idle", Database: "database", RouteGroup: "group", Freshness: "freshness",
		MaxAge: "max_age", StatementTimeout: "timeout", LatencyGoal: "goal", ID: "id", MaxConnections: "connections",
		AckReplicas: "replicas", Keys: "keys", Rate: "rate", Burst: "burst", Priority: "priority",
		Kinds:    map[catalog.Freshness]string{catalog.LatestData: "latest", catalog.BoundedAge: "aged"},
		Sendable: func(text string) bool { return text != "" },
	}
}

// A rule that names a place itself would send operators of another written form to a field
// that doesn't exist.
func TestFindingsUseTheGivenNames(t *testing.T) {
	entries := &catalog.Entries{
		Routes:    []catalog.RouteEntry{{Route: catalog.Route{Database: "db", Group: "none"}, Kind: "odd", StatementTimeout: 10, LatencyGoal: 20}},
		Groups:    []catalog.GroupEntry{{Group: catalog.Group{ID: "g", MaxConnections: 1}, ReplicasWritten: 1}},
		Customers: []catalog.Customer{{ID: "c", Keys: []string{"k", "k"}, Rate: 1}},
	}
	parsed := &catalog.Configuration{Groups: map[topology.GroupID]catalog.Group{"g": {}}}
	parsed.SetCustomers(entries.Customers)
	var lines []string
	for _, f := range Check(entries, parsed, testNames()) {
		lines = append(lines, f.String())
	}
	qt.Check(t, lines, qt.DeepEquals, []string{
		`warning groups[0].replicas: is 1, but hosts rely on 0`,
		`warning groups[0].id: no route leads to "g"`,
		`error routes[0].group: there is no group "none"`,
		`warning routes[0].freshness: "odd" is unknown: reads are those of kind latest`,
		`warning routes[0].timeout: 10 ms is less than the latency goal of 20 ms`,
		`error customers[0].keys[1]: is the same as keys[0]`,
		`error customers[0].burst: is 0 with a rate of 1: no operation fits`,
	})
	before := &catalog.Configuration{Version: 1, Routes: map[string]catalog.Route{"db": {Freshness: catalog.BoundedAge}}}
	after := &catalog.Configuration{Version: 2, Routes: map[string]catalog.Route{"db": {Freshness: catalog.LatestData}}}
	qt.Check(t, Compare(after, before, testNames()), qt.DeepEquals, []Finding{
		{Change, "version", "2 instead of 1"},
		{Change, `routes["db"]`, "freshness latest instead of aged"},
	})
}
