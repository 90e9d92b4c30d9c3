package line

import qt "github.com/frankban/quicktest"

// Configure writes a configuration with one route per database. Databases with
// an even index get read-your-writes routes, the others primary routes.
func (b *Bed) Configure(version int, databases ...string) {
	b.configure(version, nil, databases...)
}

// configure is like Configure with customers, unless nil. A database named open is public.
func (b *Bed) configure(version int, customers []map[string]any, databases ...string) {
	var routes []map[string]any
	for i, database := range databases {
		kind := []string{"read_your_writes", "primary"}[i%2]
		routes = append(routes, map[string]any{"DatabaseName": database, "Kind": kind, "Service": "svc",
			"TimeoutMs": 3000, "TargetLatencyMs": 500, "MaxStalenessMs": 2000, "Priority": 1, "Public": database == "open"})
	}
	body := map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": "svc", "MaxConnections": b.opts.MaxConnections, "SyncReplicas": 1}},
		"Limits":   map[string]any{"TransactionIdleMs": 3000},
	}
	if customers != nil {
		body["Tenants"] = customers
	}
	_, err := b.Store.Put("config", "main", body)
	qt.Assert(b.tb, err, qt.IsNil)
}
