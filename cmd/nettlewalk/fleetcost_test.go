package main

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/platform"
)

// fleetSize is the size of a fleet with customers.
type fleetSize struct{ hosts, groups, customers int }

func (s fleetSize) String() string {
	return fmt.Sprintf("%d hosts, %d groups, %d customers", s.hosts, s.groups, s.customers)
}

// fleetSizes are those of the benchmarks, up to the size to design for.
var fleetSizes = []fleetSize{{67, 8, 76}, {300, 300, 76}, {300, 300, 14_000}, {4_500, 14_000, 14_000}}

func (s fleetSize) newHost() (*fleetHost, *catalog.Configuration, gossip.Sharers) {
	sharers := gossip.Sharers{Version: 1}
	for i := range s.hosts {
		sharers.Hosts = append(sharers.Hosts, topology.Host{ID: topology.HostID(fmt.Sprintf("10.0.%03d.%03d:7400", i/250, i%250)), Domain: topology.Domain(fmt.Sprint("domain-", i%10)), State: topology.HostLive, Weight: 0.2})
	}
	c := &catalog.Configuration{Version: 1, Groups: map[topology.GroupID]catalog.Group{}}
	for i := range s.groups {
		c.Groups[topology.GroupID(fmt.Sprint("group-", i))] = catalog.Group{MaxConnections: 56}
	}
	var customers []catalog.Customer
	for i := range s.customers {
		customers = append(customers, catalog.Customer{ID: topology.CustomerID(fmt.Sprint("customer-", i)), Rate: float64(1 + i%50)})
	}
	c.SetCustomers(customers)
	return &fleetHost{settings: &platform.Settings{PeerAddr: string(sharers.Hosts[0].ID)}}, c, sharers
}

// lookUpCustomers looks up the customers of all groups, as each host does every 250 ms.
func (h *fleetHost) lookUpCustomers(c *catalog.Configuration, sharers gossip.Sharers) (held int) {
	for id := range c.Groups {
		if len(h.customersOf(id, c, sharers).Preopen) > 0 {
			held++
		}
	}
	return held
}

// The customers of a group's connections must be computed anew only if its holders or the
// customers change. If any change of the list of hosts or of the configuration did that, its
// cost would be the product of groups and customers.
func TestCustomersOfGroupsSurviveOtherChanges(t *testing.T) {
	h, c, sharers := fleetSize{300, 100, 76}.newHost()
	results := func() map[topology.GroupID]*share.Customers {
		m := map[topology.GroupID]*share.Customers{}
		for id := range c.Groups {
			m[id] = h.customersOf(id, c, sharers)
		}
		return m
	}
	changed := func(before, after map[topology.GroupID]*share.Customers) (n int) {
		for id := range after {
			if after[id] != before[id] {
				n++
			}
		}
		return n
	}
	before := results()
	next := *c
	next.Version++
	c = &next // with the same customers
	qt.Check(t, changed(before, results()), qt.Equals, 0)
	last := sharers.Hosts[len(sharers.Hosts)-1].ID
	affected := 0
	for id := range c.Groups {
		if len(before[id].Preopen) > 0 && slices.ContainsFunc(h.holdersOf(id, c, sharers), func(host topology.Host) bool { return host.ID == last }) {
			affected++
		}
	}
	sharers.Hosts, sharers.Version = sharers.Hosts[:len(sharers.Hosts)-1], sharers.Version+1
	qt.Check(t, changed(before, results()), qt.Equals, affected)
	other := *c
	other.Customers = maps.Clone(c.Customers)
	customer := other.Customers["customer-7"]
	customer.Rate *= 100
	other.Customers["customer-7"] = customer
	c = &other
	for id, customers := range results() {
		fresh := &fleetHost{settings: h.settings}
		qt.Check(t, customers.Preopen, qt.DeepEquals, fresh.customersOf(id, c, sharers).Preopen, qt.Commentf("%s", id))
	}
}

// BenchmarkHostJoinsOrLeaves measures what one change of the list of hosts costs a host.
func BenchmarkHostJoinsOrLeaves(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(s.String(), func(b *testing.B) {
			h, c, sharers := s.newHost()
			all := sharers.Hosts
			held := h.lookUpCustomers(c, sharers)
			for i := 0; b.Loop(); i++ {
				sharers.Version++
				if sharers.Hosts = all; i%2 == 0 {
					changed := 1 + i%(len(all)-1)
					sharers.Hosts = slices.Delete(slices.Clone(all), changed, changed+1)
				}
				h.lookUpCustomers(c, sharers)
			}
			b.ReportMetric(float64(held), "groups-held")
		})
	}
}

// BenchmarkConfigurationChanges measures what a change of one customer's rate, or of no
// customer, costs a host, without receiving it.
func BenchmarkConfigurationChanges(b *testing.B) {
	for _, s := range fleetSizes {
		for _, changed := range []string{"rate", "route"} {
			b.Run(fmt.Sprintf("%v, %s", s, changed), func(b *testing.B) {
				h, c, sharers := s.newHost()
				h.lookUpCustomers(c, sharers)
				versions := make([]*catalog.Configuration, 2)
				for i := range versions {
					next := *c
					next.Version += uint64(i + 1)
					next.Customers = maps.Clone(c.Customers)
					if changed == "rate" {
						customer := next.Customers["customer-7"]
						customer.Rate += float64(i + 1)
						next.Customers["customer-7"] = customer
					}
					versions[i] = &next
				}
				for i := 0; b.Loop(); i++ {
					h.lookUpCustomers(versions[i%2], sharers)
				}
			})
		}
	}
}
