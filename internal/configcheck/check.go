package configcheck

import (
	"fmt"
	"math"
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/relay"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// shortestStatement is the time of the shortest statements known, by which the rates
	// are compared to the connections. It is that of the users' deployments.
	shortestStatement = 4 * time.Millisecond
	// targetsPerGroup is the number of targets assumed for a group, which the
	// configuration doesn't tell.
	targetsPerGroup = 3
)

// Check returns the findings on a configuration. parsed is what hosts make of the entries.
func Check(entries *catalog.Entries, parsed *catalog.Configuration, names *Names) []Finding {
	c := checker{names: names}
	c.checkGroups(entries)
	c.checkRoutes(entries.Routes, parsed)
	c.checkCustomers(entries.Customers, parsed)
	c.checkRates(entries)
	if entries.TransactionIdle < 0 {
		c.add(Error, names.TransactionIdle, "is negative")
	}
	return c.findings
}

func (c *checker) checkGroups(entries *catalog.Entries) {
	n := c.names
	last := map[topology.GroupID]int{}
	for i, g := range entries.Groups {
		last[g.ID] = i
	}
	used := map[topology.GroupID]bool{}
	for _, r := range entries.Routes {
		used[r.Group] = true
	}
	for i, g := range entries.Groups {
		place := entry(n.Groups, i) + "."
		if !n.Sendable(string(g.ID)) {
			c.add(Error, place+n.ID, "%q isn't one word", g.ID)
		}
		if last[g.ID] != i {
			c.add(Error, place+n.ID, "never has an effect: %s has the same name %q and replaces it", entry(n.Groups, last[g.ID]), g.ID)
		}
		if g.MaxConnections <= 0 {
			c.add(Error, place+n.MaxConnections, "%d allows no connection", g.MaxConnections)
		}
		if g.ReplicasWritten < 0 {
			c.add(Error, place+n.AckReplicas, "is negative")
		}
		if g.ReplicasWritten > g.AckReplicas {
			c.add(Warning, place+n.AckReplicas, "is %d, but hosts rely on %d", g.ReplicasWritten, g.AckReplicas)
		}
		if !used[g.ID] {
			c.add(Warning, place+n.ID, "no route leads to %q", g.ID)
		}
	}
}

func (c *checker) checkRoutes(routes []catalog.RouteEntry, parsed *catalog.Configuration) {
	n := c.names
	if len(routes) == 0 {
		c.add(Warning, n.Routes, "is empty: no session can start")
	}
	last := map[string]int{}
	for i, r := range routes {
		last[r.Database] = i
	}
	for i, r := range routes {
		place := entry(n.Routes, i) + "."
		if !n.Sendable(r.Database) {
			c.add(Error, place+n.Database, "%q isn't one word, so that no caller can ask for it", r.Database)
		}
		if last[r.Database] != i {
			c.add(Error, place+n.Database, "never matches: %s has the same name %q and replaces it", entry(n.Routes, last[r.Database]), r.Database)
		}
		if _, ok := parsed.Groups[r.Group]; !ok {
			c.add(Error, place+n.RouteGroup, "there is no %s %q", n.Group, r.Group)
		}
		if !r.KnownKind {
			c.add(Warning, place+n.Freshness, "%q is unknown: reads are those of kind %s", r.Kind, n.Kinds[catalog.LatestData])
		}
		if r.Freshness != catalog.LatestData && r.Route.MaxAge < relay.MinMaxAge {
			c.add(Warning, place+n.MaxAge, "%v ms is less than the %d ms that replicas can keep: all reads go to the leader", r.MaxAge, relay.MinMaxAge.Milliseconds())
		}
		if r.StatementTimeout <= 0 {
			c.add(Error, place+n.StatementTimeout, "%v ms lets no statement run", r.StatementTimeout)
		}
		if r.LatencyGoal < 0 {
			c.add(Error, place+n.LatencyGoal, "is negative")
		}
		if r.StatementTimeout > 0 && r.StatementTimeout < r.LatencyGoal {
			c.add(Warning, place+n.StatementTimeout, "%v ms is less than the latency goal of %v ms", r.StatementTimeout, r.LatencyGoal)
		}
		if r.Priority < 0 {
			c.add(Warning, place+n.Priority, "%d is more urgent than the most urgent, 0", r.Priority)
		}
	}
}

func (c *checker) checkCustomers(customers []catalog.Customer, parsed *catalog.Configuration) {
	n := c.names
	limiting := limitingCustomers(customers)
	counted := map[string]bool{} // keys of the entries so far
	for i, t := range customers {
		place := entry(n.Customers, i)
		if !n.Sendable(string(t.ID)) {
			c.add(Error, place+"."+n.ID, "%q isn't one word, so that targets can't be told it", t.ID)
		}
		if len(t.Keys) == 0 && len(parsed.Customers[t.ID].Keys) == 0 {
			c.add(Warning, place+"."+n.Keys, "is empty: nobody can use the %s", n.Customer)
		}
		c.checkKeys(place, &t, parsed)
		addsKey := false
		for _, key := range t.Keys {
			addsKey = addsKey || n.Sendable(key) && !counted[key] && parsed.KeyOwners[key] == t.ID
			counted[key] = true
		}
		switch first := limiting[t.ID]; {
		case first == i || !n.Sendable(string(t.ID)):
			c.checkLimits(place, &t)
		case addsKey:
			c.add(Warning, place+"."+n.ID, "only the keys have an effect: %s has the same name %q, and its limits apply to the keys of both", entry(n.Customers, first), t.ID)
		default:
			c.add(Error, place+"."+n.ID, "never has an effect: %s has the same name %q, its limits apply, and this entry adds no key", entry(n.Customers, first), t.ID)
		}
	}
}

// limitingCustomers returns, by ID, the index of the entry whose limits are in force: the
// first one with that ID.
func limitingCustomers(customers []catalog.Customer) map[topology.CustomerID]int {
	first := map[topology.CustomerID]int{}
	for i, t := range customers {
		if _, ok := first[t.ID]; !ok {
			first[t.ID] = i
		}
	}
	return first
}

func (c *checker) checkLimits(place string, t *catalog.Customer) {
	n := c.names
	switch {
	case t.Rate < 0 || t.Burst < 0:
		c.add(Error, place+"."+n.Rate, "a rate of %v and a burst of %v: one is negative", t.Rate, t.Burst)
	case t.Rate > 0 && t.Burst == 0:
		c.add(Error, place+"."+n.Burst, "is 0 with a rate of %v: no operation fits", t.Rate)
	case t.Rate > 0 && t.Burst < 1:
		c.add(Error, place+"."+n.Burst, "%v is less than one operation", t.Burst)
	case t.Rate == 0 && t.Burst > 0:
		c.add(Warning, place+"."+n.Burst, "has no effect without a rate")
	}
	if t.Priority < 0 {
		c.add(Warning, place+"."+n.Priority, "%d is more urgent than the most urgent, 0", t.Priority)
	}
}

// checkKeys checks the keys of a customer. It doesn't look for the owner of keys that can't
// be sent, nor for those of a customer without a usable name: they have no owner.
func (c *checker) checkKeys(place string, t *catalog.Customer, parsed *catalog.Configuration) {
	n := c.names
	seen := map[string]int{}
	for i, key := range t.Keys {
		keyPlace := place + "." + entry(n.Keys, i)
		if !n.Sendable(key) {
			c.add(Error, keyPlace, "isn't one word, so that no caller can send it")
			continue
		}
		if first, ok := seen[key]; ok {
			c.add(Error, keyPlace, "is the same as %s", entry(n.Keys, first))
			continue
		}
		seen[key] = i
		if owner := parsed.KeyOwners[key]; n.Sendable(string(t.ID)) && owner != t.ID {
			c.add(Error, keyPlace, "never matches: the key belongs to %s %q", n.Customer, owner)
		}
	}
}

// checkRates compares the rates to what the connections to all targets could serve if
// every statement were as short as the shortest ones known.
func (c *checker) checkRates(entries *catalog.Entries) {
	n := c.names
	connections, rates := 0, 0.0
	for _, g := range entries.Groups {
		connections += max(0, g.MaxConnections) * targetsPerGroup
	}
	capacity := float64(connections) / shortestStatement.Seconds()
	explanation := fmt.Sprintf("%d connections (%d targets a %s) serve %.0f a second if each takes %v", connections, targetsPerGroup, n.Group, capacity, shortestStatement)
	limiting := limitingCustomers(entries.Customers)
	for i, t := range entries.Customers {
		if limiting[t.ID] != i {
			continue // its limits are ignored
		}
		if t.Rate > capacity {
			c.add(Warning, entry(n.Customers, i)+"."+n.Rate, "%v is never reached: %s", t.Rate, explanation)
		}
		rates += math.Max(0, t.Rate)
	}
	if rates > capacity {
		c.add(Warning, n.Customers, "the rates add up to %.0f: %s", rates, explanation)
	}
}
