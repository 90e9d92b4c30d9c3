package main

import (
	"maps"
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
	mu        sync.Mutex
	config    *catalog.Configuration
	hosts     uint64 // version of the list of hosts
	customers *share.RankedCustomers
	homes     map[homeKey]share.Homes
	// groups has the results of groupCustomers: others for groups of which this host holds
	// no connections.
	groups map[topology.GroupID]*groupEntry
	others *share.Customers
}

type homeKey struct {
	group    topology.GroupID
	customer topology.CustomerID
}

// groupEntry is the result of groupCustomers for one group, with what it follows from. It
// is kept when the configuration or the list of hosts changes in other respects.
type groupEntry struct {
	result    *share.Customers
	customers *share.RankedCustomers
	holders   []topology.Host
	size      int
	// config and hosts are those for which the entry was found to be valid, guarded by the
	// cache's mu.
	config *catalog.Configuration
	hosts  uint64
}

// follows reports whether the entry follows from these values.
func (e *groupEntry) follows(customers *share.RankedCustomers, holders []topology.Host, size int) bool {
	sameHolders := len(e.holders) == len(holders) && (len(holders) == 0 || &e.holders[0] == &holders[0])
	return e.customers == customers && e.size == size && sameHolders
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
		c.updateCustomers(config)
	}
	c.config, c.hosts, c.homes = config, hosts, map[homeKey]share.Homes{}
}

// updateCustomers ranks the customers of the configuration unless they are those of the
// previous one, and drops groups that it doesn't have. The caller holds c.mu.
func (c *homeCache) updateCustomers(config *catalog.Configuration) {
	if c.customers == nil || !sameRates(c.customers, config) {
		rates := make(map[topology.CustomerID]float64, len(config.Customers))
		for id, customer := range config.Customers {
			rates[id] = customer.Rate
		}
		c.customers = share.RankCustomers(rates)
		c.others = &share.Customers{Known: c.customers.Known()}
	}
	if c.groups == nil {
		c.groups = map[topology.GroupID]*groupEntry{}
	}
	maps.DeleteFunc(c.groups, func(id topology.GroupID, _ *groupEntry) bool {
		_, ok := config.Groups[id]
		return !ok
	})
}

// sameRates reports whether the configuration has these customers with the same rates.
func sameRates(customers *share.RankedCustomers, config *catalog.Configuration) bool {
	if customers.Len() != len(config.Customers) {
		return false
	}
	for id, customer := range config.Customers {
		if !customers.HasRate(id, customer.Rate) {
			return false
		}
	}
	return true
}

// isFor reports whether the cache was computed from the configuration and the list of
// hosts. The caller holds c.mu.
func (c *homeCache) isFor(config *catalog.Configuration, hosts uint64) bool {
	return c.config == config && c.hosts == hosts
}

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
	customerShare := cache.customers.Share(customer)
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
	entry := cache.groups[group]
	if entry != nil && entry.config == c && entry.hosts == sharers.Version {
		cache.mu.Unlock()
		return entry.result
	}
	customers, others := cache.customers, cache.others
	cache.mu.Unlock()
	holders := h.holdersOf(group, c, sharers)
	if holders == nil {
		holders = sharers.Hosts
	}
	_, size := connectionPlan(c, c.Groups[group].MaxConnections, len(sharers.Hosts))
	next := entry
	if entry == nil || !entry.follows(customers, holders, size) {
		next = &groupEntry{customers: customers, holders: holders, size: size}
		next.result = h.newCustomers(group, next, others)
	}
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if !cache.isFor(c, sharers.Version) {
		return next.result
	}
	if other := cache.groups[group]; other != nil && other.config == c && other.hosts == sharers.Version {
		return other.result // of a concurrent call
	}
	next.config, next.hosts = c, sharers.Version
	cache.groups[group] = next
	return next.result
}

// newCustomers returns the customers of this host's connections to a group's targets, or
// others if it holds none.
func (h *fleetHost) newCustomers(group topology.GroupID, e *groupEntry, others *share.Customers) *share.Customers {
	if !slices.ContainsFunc(e.holders, h.isSelf) {
		return others
	}
	ids := make([]topology.HostID, 0, len(e.holders))
	for _, host := range e.holders {
		ids = append(ids, host.ID)
	}
	self := topology.HostID(h.settings.PeerAddr)
	return &share.Customers{Known: others.Known, Preopen: e.customers.Preopen(group, self, ids, e.size)}
}
