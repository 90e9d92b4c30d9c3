package capacity

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// Priorities is the number of priorities that figures distinguish. Less urgent
	// requests count with the last one.
	Priorities = 4
	// listedCustomers is the number of customers that a message names: those that can
	// make others wait.
	listedCustomers = 4
)

// Figures describe one holder's statements at a target.
type Figures struct {
	// Pool identifies the connection pool. Its counters begin anew with another one.
	Pool     uint64
	InFlight int
	Waiting  [Priorities]int
	// Started is the number of statements that began within about the last Interval.
	Started   [Priorities]int
	Customers []CustomerDemand // with the most demand
	Others    int              // further customers with demand
	Refused   int              // statements that the target refused as BUSY, since the pool's start
	// Slowness is the response time as a percentage of the usual one, 0 if it wasn't
	// measured within slownessMaxAge.
	Slowness int
}

// CustomerDemand is what waits of one customer, and what began within the last Interval.
type CustomerDemand struct {
	Customer uint32 // hash of the ID
	Priority int
	Count    int
}

// CustomerKey returns the hash by which figures name a customer.
func CustomerKey(id topology.CustomerID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// PriorityIndex returns the index of a route's priority in figures.
func PriorityIndex(priority int) int { return min(max(priority, 0), Priorities-1) }

// SetCustomers sets the demand of the customers, each of which must be listed once for
// each priority. It reorders list. Waiting must have been set: where nothing waits, only the
// number of customers counts, since each is served as it asks.
func (f *Figures) SetCustomers(list []CustomerDemand) {
	slices.SortFunc(list, func(a, b CustomerDemand) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Customer, b.Customer))
	})
	f.Customers = nil
	if f.waits() {
		f.Customers = slices.Clone(list[:min(len(list), listedCustomers)])
	}
	f.Others = len(list) - len(f.Customers)
}

func (f *Figures) demand(priority int) int { return f.Waiting[priority] + f.Started[priority] }

// idle reports whether the holder has nothing to run.
func (f *Figures) idle() bool {
	for p := range Priorities {
		if f.demand(p) > 0 {
			return false
		}
	}
	return f.InFlight == 0
}

// waits reports whether anything waits.
func (f *Figures) waits() bool { return f.Waiting != [Priorities]int{} }

// valid reports whether the figures, which came from another host, can be computed with.
func (f *Figures) valid() bool {
	const most = 1 << 20
	ok := func(n int) bool { return n >= 0 && n <= most }
	for p := range Priorities {
		if !ok(f.Waiting[p]) || !ok(f.Started[p]) {
			return false
		}
	}
	for _, c := range f.Customers {
		if c.Priority < 0 || c.Priority >= Priorities || !ok(c.Count) {
			return false
		}
	}
	return ok(f.InFlight) && ok(f.Others) && f.Refused >= 0 && f.Slowness >= 0 && len(f.Customers) <= listedCustomers
}
