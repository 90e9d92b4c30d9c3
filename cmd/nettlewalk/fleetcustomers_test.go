package main

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/platform"
)

// newCustomerHost returns a host with the sharers and configuration of a fleet that is
// much larger than the number of a group's holders.
func newCustomerHost() (*fleetHost, *catalog.Configuration, gossip.Sharers) {
	sharers := gossip.Sharers{Version: 1}
	for i := range 300 {
		sharers.Hosts = append(sharers.Hosts, topology.Host{ID: topology.HostID(fmt.Sprint("host-", i)), State: topology.HostLive})
	}
	c := &catalog.Configuration{Groups: map[topology.GroupID]catalog.Group{}}
	for i := range 200 {
		c.Groups[topology.GroupID(fmt.Sprint("g", i))] = catalog.Group{MaxConnections: 100}
	}
	c.SetCustomers([]catalog.Customer{{ID: "a", Rate: 1}, {ID: "b", Rate: 2}})
	return &fleetHost{settings: &platform.Settings{PeerAddr: "host-0"}}, c, sharers
}

// groupsOf returns a group of which the host holds connections, and one of which it
// holds none.
func groupsOf(t *testing.T, h *fleetHost, c *catalog.Configuration, sharers gossip.Sharers) (held, other topology.GroupID) {
	t.Helper()
	for id := range c.Groups {
		if len(h.customersOf(id, c, sharers).Preopen) > 0 {
			held = id
		} else {
			other = id
		}
	}
	qt.Assert(t, held != "" && other != "", qt.IsTrue)
	return held, other
}

// The customers of each group are looked up every 250 ms, mostly for groups of which the
// host holds no connections. The lookup must not build the list of holders again.
func TestCustomersOfGroupsAreCached(t *testing.T) {
	h, c, sharers := newCustomerHost()
	held, other := groupsOf(t, h, c, sharers)
	for _, id := range []topology.GroupID{held, other} {
		qt.Check(t, testing.AllocsPerRun(100, func() { h.customersOf(id, c, sharers) }), qt.Equals, 0.0)
	}
}

// A pool takes another pointer for a change of its customers, so that the limit on cached
// homes must not drop the customers of groups.
func TestFullHomeCacheKeepsCustomersOfGroups(t *testing.T) {
	h, c, sharers := newCustomerHost()
	held, _ := groupsOf(t, h, c, sharers)
	before := h.customersOf(held, c, sharers)
	for i := range maxCachedHomes {
		h.homes.homes[homeKey{held, topology.CustomerID(fmt.Sprint(i))}] = share.Homes{}
	}
	qt.Check(t, h.customersOf(held, c, sharers) == before, qt.IsTrue)
	qt.Check(t, h.homes.homes, qt.HasLen, 0)
	sharers.Version++
	qt.Check(t, h.customersOf(held, c, sharers) == before, qt.IsFalse)
}

// The number of holders, their choice and the number of connections of each must follow
// from the same plan, with customers and without: otherwise the connections of all hosts
// exceed a target's limit or hosts look for connections where there are none.
func TestHoldersFollowConnectionPlan(t *testing.T) {
	h, c, sharers := newCustomerHost()
	without := &catalog.Configuration{Groups: c.Groups}
	const limit = 100
	var holders share.Holders
	n, size := share.PlanForCustomers(limit, len(sharers.Hosts))
	gotHolders, gotSize := connectionPlan(c, limit, len(sharers.Hosts))
	qt.Check(t, []int{gotHolders, gotSize}, qt.DeepEquals, []int{n, size})
	qt.Check(t, h.holdersOf("g1", c, sharers), qt.DeepEquals, holders.WeightedForGroup("g1", n, sharers.Hosts, 1))
	n, size = share.Plan(limit, len(sharers.Hosts))
	for _, c := range []*catalog.Configuration{nil, without} {
		gotHolders, gotSize = connectionPlan(c, limit, len(sharers.Hosts))
		qt.Check(t, []int{gotHolders, gotSize}, qt.DeepEquals, []int{n, size})
	}
	qt.Check(t, h.holdersOf("g1", without, sharers), qt.DeepEquals, holders.ForGroup("g1", n, sharers.Hosts, 1))
	sharers.Hosts = sharers.Hosts[:3]
	sharers.Version++
	qt.Check(t, h.holdersOf("g1", c, sharers), qt.IsNil)
	qt.Check(t, h.holdersOf("g1", without, sharers), qt.IsNil)
}
