package share

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// RankedCustomers are the configured customers in the order of their shares of the load. It
// isn't modified once it is built.
type RankedCustomers struct {
	rates  map[topology.CustomerID]float64
	shares map[topology.CustomerID]float64
	list   []CustomerWeight // share of each, largest first
	known  map[topology.CustomerID]bool
}

// RankCustomers returns the customers with these configured rates, see CustomerShares.
func RankCustomers(rates map[topology.CustomerID]float64) *RankedCustomers {
	r := &RankedCustomers{rates: rates, shares: CustomerShares(rates), known: make(map[topology.CustomerID]bool, len(rates))}
	r.list = make([]CustomerWeight, 0, len(rates))
	for id, share := range r.shares {
		r.list = append(r.list, CustomerWeight{ID: id, Weight: share})
		r.known[id] = true
	}
	slices.SortFunc(r.list, func(a, b CustomerWeight) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.ID, b.ID))
	})
	return r
}

// HasRate reports whether the customer is one of these with that rate.
func (r *RankedCustomers) HasRate(id topology.CustomerID, rate float64) bool {
	known, ok := r.rates[id]
	return ok && known == rate
}

// Len returns the number of customers.
func (r *RankedCustomers) Len() int { return len(r.list) }

// Share returns a customer's share of the sum of the rates, 0 if it isn't known.
func (r *RankedCustomers) Share(id topology.CustomerID) float64 { return r.shares[id] }

// Known returns the set of all customers. The caller must not modify it.
func (r *RankedCustomers) Known() map[topology.CustomerID]bool { return r.known }

// otherHolderWeight is the weight of a customer that isn't at home at a holder, as a part
// of its share. A holder at which no customer is at home still needs connections, over
// which it finds out which target leads.
const otherHolderWeight = 1e-6

// Preopen returns the customers of the n connections that the host, one of the group's
// holders, opens ahead of demand. It looks at customers in the order of their shares and
// stops at the n-th that is at home at the host only: later ones have smaller weights.
func (r *RankedCustomers) Preopen(group topology.GroupID, host topology.HostID, holders []topology.HostID, n int) []topology.CustomerID {
	atHome, examined := r.atHome(newHomeIndex(group, host, holders), n)
	if examined < len(r.list) {
		return Preopen(atHome, n)
	}
	home := make(map[topology.CustomerID]bool, len(atHome))
	for _, c := range atHome {
		home[c.ID] = true
	}
	all := atHome
	for _, c := range r.list {
		if !home[c.ID] {
			all = append(all, CustomerWeight{ID: c.ID, Weight: c.Weight * otherHolderWeight})
		}
	}
	return Preopen(all, n)
}

// atHome returns the customers at home at the host with their weights, and how many customers
// it has examined: all, or those until the n-th that is at home at the host only.
func (r *RankedCustomers) atHome(x *homeIndex, n int) (list []CustomerWeight, examined int) {
	single := 0
	for i, c := range r.list {
		count := homeCount(c.Weight, len(x.others)+1)
		if !x.isHome(c.ID, count) {
			continue
		}
		list = append(list, CustomerWeight{ID: c.ID, Weight: c.Weight / float64(count)})
		if count == 1 {
			single++
		}
		if single >= n {
			return list, i + 1
		}
	}
	return list, len(r.list)
}

// homeIndex tells whether a host is a home host of customers of one group, see HomesOf.
type homeIndex struct {
	group  xxhash.Digest // of what precedes the customer in the key
	host   uint64        // hash of the host
	others []uint64      // hashes of the other holders
	before []bool        // whether each other holder precedes the host if their scores are equal
}

func newHomeIndex(group topology.GroupID, host topology.HostID, holders []topology.HostID) *homeIndex {
	x := &homeIndex{host: xxhash.Sum64String(string(host))}
	x.group.Reset()
	_, _ = x.group.WriteString(string(group) + "\x00")
	for _, other := range holders {
		if other != host {
			x.others = append(x.others, xxhash.Sum64String(string(other)))
			x.before = append(x.before, other < host)
		}
	}
	return x
}

// isHome reports whether the host is among the first count holders for the customer.
func (x *homeIndex) isHome(customer topology.CustomerID, count int) bool {
	digest := x.group
	_, _ = digest.WriteString(string(customer))
	key := digest.Sum64()
	score, ahead := mix(key^x.host), 0
	for i, other := range x.others {
		if s := mix(key ^ other); s > score || s == score && x.before[i] {
			if ahead++; ahead >= count {
				return false
			}
		}
	}
	return true
}
