package customer_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fleetSizes are a tenth, a third and all of the fleet size that the design
// targets.
var fleetSizes = []struct{ hosts, databases int }{{450, 1400}, {1500, 4667}, {4500, 14000}}

const verifier = "SCRAM-SHA-256$4096:MDEyMzQ1Njc4OWFiY2RlZg==$6cgpa+DzAvT4WtHhaN5lZOMkq7xYx0KMA7vBiIhJW+s=:nQCVB2PG4dBBHfNE1bYYXcJ5uAWBlVtWBbhBTLOQYmc="

// newFleetStore returns a store with the objects of a fleet, one customer per
// database.
func newFleetStore(hosts, databases int) *customer.Store {
	s := customer.NewStore(logr.Discard(), nil)
	s.Reset("template", numberedObjects("template", 20, func(int) string {
		return `{"description":"bookings","parameters":{"read_keywords":true,"max_staleness":"5s","rate":500,"concurrent":64}}`
	}))
	s.Reset("customer", numberedObjects("customer", databases, func(i int) string {
		return fmt.Sprintf(`{"template":"template-%05d","databases":{"main":"group-%05d"},"users":[{"name":"app","verifier":%q},{"name":"viewer","read_only":true,"verifier":%q}],"parameters":{"max_staleness":"2s","cost_share":2},"edits":[{"id":"QK3JX4NVZT5WPLC7YB6MDRHGEA","base":17},{"id":"ZK3JX4NVZT5WPLC7YB6MDRHGEA","base":19}]}`,
			i%20, i, verifier, verifier)
	}))
	s.Reset("group", numberedObjects("group", databases, func(i int) string { return groupJSON(i) }))
	s.Reset("host", numberedObjects("host", hosts, func(i int) string {
		return fmt.Sprintf(`{"id":"host-%05d","domain":"domain-%d","peer_addr":"10.0.%d.%d:6433","caller_addr":"10.0.%d.%d:6432","admin_addr":"10.0.%d.%d:6434","state":"live"}`,
			i, i%10, i/250, i%250, i/250, i%250, i/250, i%250)
	}))
	return s
}

// groupJSON returns a group of three targets in different domains.
func groupJSON(i int) string {
	g := topology.Group{ID: topology.GroupID(fmt.Sprintf("group-%05d", i)), Term: 3}
	for j := range 3 {
		id := topology.TargetID(fmt.Sprintf("group-%05d-t%d", i, j))
		domain := topology.Domain(fmt.Sprintf("domain-%d", (i+j)%10))
		g.Targets = append(g.Targets, topology.Target{ID: id, Group: g.ID, Domain: domain, Addr: "10.1.2.3:5432", Connections: 16, Slots: 2})
	}
	g.Primary = g.Targets[0].ID
	raw, _ := json.Marshal(g)
	return string(raw)
}

// numberedObjects returns a list of n objects with the values that the
// function returns.
func numberedObjects(kind string, n int, value func(int) string) platform.List {
	list := platform.List{Revision: uint64(n)}
	for i := range n {
		name := fmt.Sprintf("%s-%05d", kind, i)
		list.Objects = append(list.Objects, platform.Object{Name: name, Version: uint64(i + 1), Value: json.RawMessage(value(i))})
	}
	return list
}

// BenchmarkMemory measures the memory for the configuration of a host: all
// objects as stored, with the effective configuration of none, a tenth or all
// of the customers in the cache.
func BenchmarkMemory(b *testing.B) {
	for _, size := range fleetSizes {
		for _, stride := range []int{0, 10, 1} {
			b.Run(fmt.Sprintf("hosts=%d/customers=%d/served=1in%d", size.hosts, size.databases, stride), func(b *testing.B) {
				for range b.N {
					before := liveHeapBytes()
					s := newFleetStore(size.hosts, size.databases)
					for i := 0; stride > 0 && i < size.databases; i += stride {
						s.Customer(topology.CustomerID(fmt.Sprintf("customer-%05d", i)))
					}
					s.Groups()
					b.ReportMetric(float64(liveHeapBytes()-before)/(1<<20), "MB")
					runtime.KeepAlive(s)
				}
			})
		}
	}
}

// liveHeapBytes returns the size of the live heap after a full garbage
// collection.
func liveHeapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkChange measures one change at a host: applying the change,
// resolving the customer again and building the delta for one other host.
func BenchmarkChange(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("customers=%d", size.databases), func(b *testing.B) {
			s := newFleetStore(size.hosts, size.databases)
			revision, _ := s.Revision("customer")
			name := "customer-00007"
			object, _, _ := s.Object("customer", name)
			b.ResetTimer()
			for range b.N {
				revision++
				object.Version = revision
				s.Apply("customer", platform.Changes{Revision: revision, Changes: []platform.Change{{Object: object}}})
				if _, ok := s.Customer(topology.CustomerID(name)); !ok {
					b.Fatal("customer not found")
				}
				if d, _ := s.Since("customer", revision-1, 1<<18); len(d.Items) != 1 {
					b.Fatal("delta does not contain exactly the change")
				}
			}
		})
	}
}

// BenchmarkTreeRoleOf measures the work after a change of the list of hosts.
func BenchmarkTreeRoleOf(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			hosts := newFleetStore(size.hosts, 1).Hosts()
			for range b.N {
				customer.TreeRoleOf(hosts[0], hosts)
			}
		})
	}
}

// BenchmarkCustomer measures the lookup of a customer's effective
// configuration.
func BenchmarkCustomer(b *testing.B) {
	s := newFleetStore(1, 1000)
	for range b.N {
		s.Customer("customer-00007")
	}
}
