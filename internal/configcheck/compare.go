package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Compare lists the differences of a configuration to the one in force. Keys are secret
// and only counted.
func Compare(next, current *catalog.Configuration, names *Names) []Finding {
	c := checker{names: names}
	if next.Version <= current.Version {
		c.add(Error, names.Version, "%d never comes into force: hosts have %d", next.Version, current.Version)
	} else {
		c.add(Change, names.Version, "%d instead of %d", next.Version, current.Version)
	}
	compareEntries(&c, names.Groups, next.Groups, current.Groups)
	compareEntries(&c, names.Routes, next.Routes, current.Routes)
	compareEntries(&c, names.Customers, withoutKeys(next.Customers), withoutKeys(current.Customers))
	c.compareKeys(next, current)
	if next.TransactionIdle != current.TransactionIdle {
		c.add(Change, names.TransactionIdle, "%s instead of %s", next.TransactionIdle, current.TransactionIdle)
	}
	return c.findings
}

// compareEntries lists the entries that were added, removed or changed, by name.
func compareEntries[K cmp.Ordered, V comparable](c *checker, list string, next, current map[K]V) {
	for _, name := range slices.Sorted(maps.Keys(next)) {
		place := fmt.Sprintf("%s[%q]", list, fmt.Sprint(name))
		before, ok := current[name]
		switch {
		case !ok:
			c.add(Change, place, "added")
		case before != next[name]:
			c.add(Change, place, "%s", c.changedFields(before, next[name]))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(current)) {
		if _, ok := next[name]; !ok {
			c.add(Change, fmt.Sprintf("%s[%q]", list, fmt.Sprint(name)), "removed")
		}
	}
}

// changedFields describes the fields in which two structs differ.
func (c *checker) changedFields(before, after any) string {
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	var changes []string
	for i := range b.NumField() {
		if x, y := b.Field(i).Interface(), a.Field(i).Interface(); x != y {
			changes = append(changes, fmt.Sprintf("%s %v instead of %v", c.fieldName(b.Type().Field(i).Name), c.written(y), c.written(x)))
		}
	}
	return strings.Join(changes, ", ")
}

// fieldName returns the written name of a field of catalog.Route, catalog.Group or
// customerLimits.
func (c *checker) fieldName(field string) string {
	n := c.names
	written := map[string]string{
		"Group": n.RouteGroup, "Freshness": n.Freshness, "MaxAge": n.MaxAge, "StatementTimeout": n.StatementTimeout,
		"LatencyGoal": n.LatencyGoal, "AckReplicas": n.AckReplicas, "MaxConnections": n.MaxConnections, "Rate": n.Rate,
		"Burst": n.Burst, "Priority": n.Priority,
	}
	return cmp.Or(written[field], field)
}

// written returns a value as it stands in the configuration.
func (c *checker) written(v any) any {
	switch v := v.(type) {
	case time.Duration:
		return float64(v) / float64(time.Millisecond)
	case catalog.Freshness:
		if kind, ok := c.names.Kinds[v]; ok {
			return kind
		}
	}
	return v
}

// customerLimits is a customer without its keys.
type customerLimits struct {
	Rate, Burst float64
	Priority    int
}

func withoutKeys(customers map[topology.CustomerID]catalog.Customer) map[topology.CustomerID]customerLimits {
	limits := make(map[topology.CustomerID]customerLimits, len(customers))
	for id, customer := range customers {
		limits[id] = customerLimits{customer.Rate, customer.Burst, customer.Priority}
	}
	return limits
}

// compareKeys counts, for each customer of either version, the keys that were added and
// removed and those that moved from or to another customer.
func (c *checker) compareKeys(next, current *catalog.Configuration) {
	type counts struct{ added, removed, gained, lost int }
	changes := map[topology.CustomerID]*counts{}
	of := func(id topology.CustomerID) *counts {
		if changes[id] == nil {
			changes[id] = &counts{}
		}
		return changes[id]
	}
	for key, owner := range next.KeyOwners {
		switch before, ok := current.KeyOwners[key]; {
		case !ok:
			of(owner).added++
		case before != owner:
			of(owner).gained++
			of(before).lost++
		}
	}
	for key, owner := range current.KeyOwners {
		if _, ok := next.KeyOwners[key]; !ok {
			of(owner).removed++
		}
	}
	for _, id := range slices.Sorted(maps.Keys(changes)) {
		n := changes[id]
		text := fmt.Sprintf("%d added, %d removed, %d moved from another %s", n.added, n.removed, n.gained, c.names.Customer)
		if n.lost > 0 {
			text += fmt.Sprintf(", %d moved to another %s", n.lost, c.names.Customer)
		}
		c.add(Change, fmt.Sprintf("%s[%q].%s", c.names.Customers, string(id), c.names.Keys), "%s", text)
	}
}
