package limit

import (
	"cmp"
	"slices"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Use is the present use of a customer's limits in one group at this host.
type Use struct {
	Customer topology.CustomerID `json:"customer"`
	Group    topology.GroupID    `json:"group"`
	Running  int                 `json:"running"`
	Waiting  int                 `json:"waiting"`
	Promised int                 `json:"promised"` // reservations for refused callers
	Share    float64             `json:"share"`    // this host's fraction of the customer's limits
	Limits   customer.Limits     `json:"limits"`   // this host's share of the limits
}

// Uses returns the present use of every customer and group, sorted by customer and
// group.
func (l *Limiter) Uses() []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	uses := make([]Use, 0, len(l.entries))
	for k, e := range l.entries {
		uses = append(uses, Use{
			Customer: k.customer,
			Group:    k.group,
			Running:  e.account.running,
			Waiting:  e.account.waiting,
			Promised: len(e.account.reservations.times),
			Share:    e.share,
			Limits:   e.account.limits,
		})
	}
	slices.SortFunc(uses, func(a, b Use) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Group, b.Group))
	})
	return uses
}

// Dump returns the state for operators, as a []Use.
func (l *Limiter) Dump() any { return l.Uses() }
