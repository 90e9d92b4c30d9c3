package line

import (
	"maps"
	"slices"
)

// ConfigureKeys writes a configuration with the keys of each customer and the databases db,
// whose reads see the session's own writes, db2, whose reads see the latest data, and open,
// which needs no key.
func (b *Bed) ConfigureKeys(version int, customers map[string][]string) {
	list := []map[string]any{}
	b.mu.Lock()
	for _, name := range slices.Sorted(maps.Keys(customers)) {
		b.customers[name] = true
		for _, key := range customers[name] {
			b.keys[key] = true
		}
		list = append(list, map[string]any{"Name": name, "ApiKeys": customers[name], "Priority": 1, "RatePerS": 100000, "Burst": 100000})
	}
	b.mu.Unlock()
	b.configure(version, list, "db", "db2", "open")
}

// knowsCustomer reports whether a host may give the name to a target.
func (b *Bed) knowsCustomer(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return name == "nettlewalk" || b.customers[name]
}

// isKey reports whether the word was ever a customer's key.
func (b *Bed) isKey(word string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keys[word]
}
