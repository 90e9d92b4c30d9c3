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
	groups map[topology.GroupID]*share.Customers // without groups of which this host holds no connections
	// others is the result for these other groups.
	others *share.Customers
}

type homeKey struct {
	group    topology.GroupID
	customer topology.CustomerID
}

// maxCachedHomes bounds the memory of the cache: a host serves statements of few
// customers and groups at a time.
const maxCachedHomes = 20_000

// update drops what was computed from another configuration or list of hosts. The
// caller holds c.mu.
func (c *homeCache) update(config *catalog.Configuration, hosts uint64) {
	if c.config == config && c.hosts == hosts && len(c.homes) < maxCachedHomes {
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

// otherHolderWeight is the weight of a customer that isn't at home at a holder, as a part
// of its share. A holder at which no customer is at home still needs connections, over
// which it finds out which target leads.
const otherHolderWeight = 1e-6

// customerHolders returns the hosts that hold a group's connections, or nil if every
// host does, where connections belong to customers.
func (h *fleetHost) customerHolders(id topology.GroupID, c *catalog.Configuration, sharers gossip.Sharers) []topology.Host {
	n, _ := share.PlanForCustomers(c.Groups[id].MaxConnections, len(sharers.Hosts))
	if n >= len(sharers.Hosts) {
		return nil
	}
	return h.holders.WeightedForGroup(id, n, sharers.Hosts, sharers.Version)
}

// customerHomes returns the order in which the holders of a group serve a customer.
func (h *fleetHost) customerHomes(group topology.GroupID, customer topology.CustomerID) share.Homes {
	c := h.catalog.Configuration()
	if c == nil || len(c.Customers) == 0 {
		return share.Homes{}
	}
	sharers := h.gossip.Sharers()
	h.homes.mu.Lock()
	defer h.homes.mu.Unlock()
	h.homes.update(c, sharers.Version)
	key := homeKey{group, customer}
	homes, ok := h.homes.homes[key]
	if !ok {
		homes = share.HomesOf(group, customer, h.holderIDs(group, c, sharers), h.homes.shares[customer])
		h.homes.homes[key] = homes
	}
	return homes
}

func (h *fleetHost) holderIDs(group topology.GroupID, c *catalog.Configuration, sharers gossip.Sharers) []topology.HostID {
	holders := h.customerHolders(group, c, sharers)
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
	if c == nil || len(c.Customers) == 0 {
		return nil
	}
	sharers := h.gossip.Sharers()
	h.homes.mu.Lock()
	defer h.homes.mu.Unlock()
	h.homes.update(c, sharers.Version)
	if customers := h.homes.groups[group]; customers != nil {
		return customers
	}
	holders := h.holderIDs(group, c, sharers)
	self := topology.HostID(h.settings.PeerAddr)
	if !slices.Contains(holders, self) {
		return h.homes.others
	}
	var weights []share.CustomerWeight
	for id := range c.Customers {
		homes := share.HomesOf(group, id, holders, h.homes.shares[id])
		weight := h.homes.shares[id]
		if homes.Contains(self) {
			weight /= float64(homes.Count)
		} else {
			weight *= otherHolderWeight
		}
		weights = append(weights, share.CustomerWeight{ID: id, Weight: weight})
	}
	_, size := share.PlanForCustomers(c.Groups[group].MaxConnections, len(sharers.Hosts))
	customers := &share.Customers{Known: h.homes.others.Known, Preopen: share.Preopen(weights, size)}
	h.homes.groups[group] = customers
	return customers
}
