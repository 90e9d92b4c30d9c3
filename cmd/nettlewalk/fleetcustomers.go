package main

import (
	"slices"
	"sync"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// homeCache keeps what follows from the configured customers and the list of hosts
// until either changes. The zero value is ready to use.
type homeCache struct {
	mu     sync.Mutex
	config *catalog.Configuration
	hosts  uint64 // version of the list of hosts
	shares map[topology.CustomerID]float64
	homes  map[homeKey]share.Homes
	// groups has the results of groupCustomers: others for groups of which this host holds
	// no connections.
	groups map[topology.GroupID]*share.Customers
	others *share.Customers
}

type homeKey struct {
	group    topology.GroupID
	customer topology.CustomerID
}

// maxCachedHomes bounds the memory of the cache: a host serves statements of few
// customers and groups at a time.
const maxCachedHomes = 20_000

// update drops what was computed from another configuration or list of hosts, and the
// homes if there are too many. The caller holds c.mu.
func (c *homeCache) update(config *catalog.Configuration, hosts uint64) {
	if c.isFor(config, hosts) {
		if len(c.homes) >= maxCachedHomes {
			c.homes = map[homeKey]share.Homes{}
		}
		return
	}
	if c.config != config {
		rates := make(map[topology.CustomerID]float64, len(config.Customers))
		for id, customer := range config.Customers {
			rates[id] = customer.Rate
		}
		c.shares = share.CustomerShares(rates)
		c.others = &share.Customers{Known: make(map[topology.CustomerID]bool, len(rates))}
		for id := range rates {
			c.others.Known[id] = true
		}
	}
	c.config, c.hosts = config, hosts
	c.homes, c.groups = map[homeKey]share.Homes{}, map[topology.GroupID]*share.Customers{}
}

// isFor reports whether the cache was computed from the configuration and the list of
// hosts. The caller holds c.mu.
func (c *homeCache) isFor(config *catalog.Configuration, hosts uint64) bool {
	return c.config == config && c.hosts == hosts
}

// otherHolderWeight is the weight of a customer that isn't at home at a holder, as a part
// of its share. A holder at which no customer is at home still needs connections, over
// which it finds out which target leads.
const otherHolderWeight = 1e-6

// customerHomes returns the order in which the holders of a group serve a customer.
func (h *fleetHost) customerHomes(group topology.GroupID, customer topology.CustomerID) share.Homes {
	c := h.catalog.Configuration()
	if !hasCustomers(c) {
		return share.Homes{}
	}
	sharers := h.gossip.Sharers()
	cache := &h.homes
	key := homeKey{group, customer}
	cache.mu.Lock()
	cache.update(c, sharers.Version)
	homes, ok := cache.homes[key]
	customerShare := cache.shares[customer]
	cache.mu.Unlock()
	if ok {
		return homes
	}
	homes = share.HomesOf(group, customer, h.holderIDs(group, c, sharers), customerShare)
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.isFor(c, sharers.Version) {
		cache.homes[key] = homes
	}
	return homes
}

func (h *fleetHost) holderIDs(group topology.GroupID, c *catalog.Configuration, sharers gossip.Sharers) []topology.HostID {
	holders := h.holdersOf(group, c, sharers)
	if holders == nil {
		holders = sharers.Hosts
	}
	ids := make([]topology.HostID, 0, len(holders))
	for _, host := range holders {
		ids = append(ids, host.ID)
	}
	return ids
}

// groupCustomers returns the customers of this host's connections to a group's targets,
// or nil if there are none. The result is the same until it changes.
func (h *fleetHost) groupCustomers(group topology.GroupID) *share.Customers {
	c := h.catalog.Configuration()
	if !hasCustomers(c) {
		return nil
	}
	return h.customersOf(group, c, h.gossip.Sharers())
}

// customersOf is groupCustomers for a configuration and a list of hosts.
func (h *fleetHost) customersOf(group topology.GroupID, c *catalog.Configuration, sharers gossip.Sharers) *share.Customers {
	cache := &h.homes
	cache.mu.Lock()
	cache.update(c, sharers.Version)
	customers := cache.groups[group]
	shares, others := cache.shares, cache.others
	cache.mu.Unlock()
	if customers != nil {
		return customers
	}
	customers = h.newCustomers(group, c, sharers, shares, others)
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if !cache.isFor(c, sharers.Version) {
		return customers
	}
	if other := cache.groups[group]; other != nil {
		return other // of a concurrent call
	}
	cache.groups[group] = customers
	return customers
}

// newCustomers returns the customers of this host's connections to a group's targets, or
// others if it holds none.
func (h *fleetHost) newCustomers(group topology.GroupID, c *catalog.Configuration, sharers gossip.Sharers, shares map[topology.CustomerID]float64, others *share.Customers) *share.Customers {
	holders := h.holderIDs(group, c, sharers)
	self := topology.HostID(h.settings.PeerAddr)
	if !slices.Contains(holders, self) {
		return others
	}
	var weights []share.CustomerWeight
	for id := range c.Customers {
		homes := share.HomesOf(group, id, holders, shares[id])
		weight := shares[id]
		if homes.Contains(self) {
			weight /= float64(homes.Count)
		} else {
			weight *= otherHolderWeight
		}
		weights = append(weights, share.CustomerWeight{ID: id, Weight: weight})
	}
	_, size := connectionPlan(c, c.Groups[group].MaxConnections, len(sharers.Hosts))
	return &share.Customers{Known: others.Known, Preopen: share.Preopen(weights, size)}
}
