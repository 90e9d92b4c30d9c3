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

// sizes are fleets of one tenth, one third and all of the size to design for.
var sizes = []struct{ hosts, databases int }{{450, 1400}, {1500, 4667}, {4500, 14000}}

const verifier = "SCRAM-SHA-256$4096:MDEyMzQ1Njc4OWFiY2RlZg==$6cgpa+DzAvT4WtHhaN5lZOMkq7xYx0KMA7vBiIhJW+s=:nQCVB2PG4dBBHfNE1bYYXcJ5uAWBlVtWBbhBTLOQYmc="

// fill gives a store the objects of a fleet, one customer for each database.
func fill(hosts, databases int) *customer.Store {
	s := customer.NewStore(logr.Discard(), nil)
	s.Reset("template", objects("template", 20, func(int) string {
		return `{"description":"bookings","parameters":{"read_keywords":true,"max_staleness":"5s","rate":500,"concurrent":64}}`
	}))
	s.Reset("customer", objects("customer", databases, func(i int) string {
		return fmt.Sprintf(`{"template":"template-%05d","databases":{"main":"group-%05d"},"users":[{"name":"app","verifier":%q},{"name":"viewer","read_only":true,"verifier":%q}],"parameters":{"max_staleness":"2s","cost_share":2},"edits":[{"id":"QK3JX4NVZT5WPLC7YB6MDRHGEA","base":17},{"id":"ZK3JX4NVZT5WPLC7YB6MDRHGEA","base":19}]}`,
			i%20, i, verifier, verifier)
	}))
	s.Reset("group", objects("group", databases, func(i int) string { return groupJSON(i) }))
	s.Reset("host", objects("host", hosts, func(i int) string {
		return fmt.Sprintf(`{"id":"host-%05d","domain":"domain-%d","peer_addr":"10.0.%d.%d:6433","caller_addr":"10.0.%d.%d:6432","admin_addr":"10.0.%d.%d:6434","state":"live"}`,
			i, i%10, i/250, i%250, i/250, i%250, i/250, i%250)
	}))
	return s
}

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

func objects(kind string, n int, value func(int) string) platform.List {
	list := platform.List{Revision: uint64(n)}
	for i := range n {
		name := fmt.Sprintf("%s-%05d", kind, i)
		list.Objects = append(list.Objects, platform.Object{Name: name, Version: uint64(i + 1), Value: json.RawMessage(value(i))})
	}
	return list
}

// BenchmarkMemory tells what a host's configuration takes: the whole of it as
// kept, and with a tenth or all of the customers ready for use.
func BenchmarkMemory(b *testing.B) {
	for _, size := range sizes {
		for _, served := range []int{0, 10, 1} {
			b.Run(fmt.Sprintf("hosts=%d/customers=%d/served=1in%d", size.hosts, size.databases, served), func(b *testing.B) {
				for range b.N {
					before := heap()
					s := fill(size.hosts, size.databases)
					for i := 0; served > 0 && i < size.databases; i += served {
						s.Customer(topology.CustomerID(fmt.Sprintf("customer-%05d", i)))
					}
					s.Groups()
					b.ReportMetric(float64(heap()-before)/(1<<20), "MB")
					runtime.KeepAlive(s)
				}
			})
		}
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkChange is the cost of one change at a host: taking it in, resolving
// the customer again, and the delta for one other host.
func BenchmarkChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("customers=%d", size.databases), func(b *testing.B) {
			s := fill(size.hosts, size.databases)
			revision, _ := s.Revision("customer")
			name := "customer-00007"
			object, _, _ := s.Object("customer", name)
			b.ResetTimer()
			for range b.N {
				revision++
				object.Version = revision
				s.Apply("customer", platform.Changes{Revision: revision, Changes: []platform.Change{{Object: object}}})
				if _, ok := s.Customer(topology.CustomerID(name)); !ok {
					b.Fatal("no customer")
				}
				if d, _ := s.Since("customer", revision-1, 1<<18); len(d.Items) != 1 {
					b.Fatal("no delta")
				}
			}
		})
	}
}

// BenchmarkPlace is the cost of a change of the host list.
func BenchmarkPlace(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("hosts=%d", size.hosts), func(b *testing.B) {
			hosts := fill(size.hosts, 1).Hosts()
			for range b.N {
				customer.PlaceOf(hosts[0], hosts)
			}
		})
	}
}

// BenchmarkCustomer is the cost of asking for a customer's configuration.
func BenchmarkCustomer(b *testing.B) {
	s := fill(1, 1000)
	for range b.N {
		s.Customer("customer-00007")
	}
}
