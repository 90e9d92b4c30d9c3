package confirm

import (
	"context"
	"fmt"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// order is a request for a promotion. It is carried out, when the platform checks its token,
// and takes effect later.
type order struct {
	sentAt     time.Time
	at         time.Time // when it is carried out, then when it takes effect
	carriedOut bool
	delay      time.Duration // from then to its effect
	target     int
	token      uint64
	floor      topology.Position // of the target's log
	answered   bool
}

func (f *fleet) lose(p topology.Position) {
	if f.lost == "" {
		f.lost = fmt.Sprintf("commit %v was passed on and is lost in term %d", p, f.term)
	}
}

// promote has a host order a promotion once the voters are sealed. The host may not know yet
// that another one holds the duty by now. While an order may still be carried out, it orders no other target under the same token.
func (h *simHost) promote(target int, delay time.Duration, answered bool) {
	f := h.fleet
	if h.token == 0 {
		return
	}
	if h.isNew() || time.Since(h.effectAt) < cooldown {
		return // a request that was carried out may have its effect yet
	}
	h.settle()
	if h.ordered != nil && (h.ordered.answered && time.Now().Before(h.ordered.at) || h.ordered.target == f.primary) {
		return // it waits for the effect, or sees it first
	}
	if h.ordered != nil {
		target = h.ordered.target
	} else if target == f.primary {
		return
	}
	if h.inDoubt != nil && h.inDoubt.target != target && !h.renew() {
		return
	}
	s := h.holder.Seal(context.Background(), simGroup, h.leadsTerm)
	f.tracef("h%d seal under %d: %+v", h.index, h.token, s)
	if !s.Closed || !s.Known || !h.holder.Order(context.Background(), simGroup, targetID(target)) {
		return
	}
	o := &order{delay: min(delay, effectWindow), target: target, token: h.token, floor: s.Floor, answered: answered}
	if !f.request(o, delay) {
		return
	}
	f.tracef("h%d orders t%d, answered %v, %v", h.index, target, answered, delay)
	h.ordered, h.orderedAt = o, time.Now()
	if !answered {
		h.inDoubt = o
	}
}

func targetID(i int) topology.TargetID { return topology.TargetID(rune('a' + i)) }

// request sends a request, which is carried out late if it gets no answer. It returns false if
// the platform refuses it.
func (f *fleet) request(o *order, lateBy time.Duration) bool {
	o.sentAt, o.at = time.Now(), time.Now()
	if !o.answered {
		o.at = o.at.Add(lateBy)
		f.effects = append(f.effects, o)
		return true
	}
	return f.carryOut(o)
}

// carryOut checks the token of a request. It returns false if the platform refuses it.
func (f *fleet) carryOut(o *order) bool {
	if o.token < f.platformToken {
		return false
	}
	f.platformToken = o.token
	if o.target != f.primary {
		o.carriedOut, o.at = true, o.at.Add(o.delay)
		f.effects = append(f.effects, o)
	}
	return true
}

// voidEarlier requests the promotion of the primary, so that the platform refuses requests of
// earlier holders.
func (h *simHost) voidEarlier(position topology.Position, delay time.Duration, answered bool) {
	f := h.fleet
	if h.ordered != nil || h.inDoubt != nil && h.inDoubt.target != f.primary && !h.renew() {
		return
	}
	if s := h.holder.Seal(context.Background(), simGroup, f.term); !s.Closed || !h.holder.Order(context.Background(), simGroup, targetID(f.primary)) {
		return
	}
	o := &order{delay: min(delay, effectWindow), target: f.primary, token: h.token, floor: position, answered: answered}
	accepted := f.request(o, delay)
	f.tracef("h%d voids requests before %d for t%d, answered %v, accepted %v, %v", h.index, h.token, f.primary, answered, accepted, delay)
	switch {
	case !answered:
		h.inDoubt, h.voids = o, append(h.voids, o)
	case accepted:
		h.voidedAt = time.Now()
		h.voids = slices.DeleteFunc(h.voids, func(v *order) bool { return v.token < h.token })
	}
}

// voidMayPromoteOther reports whether a request that was to void others may replace the
// primary, which has been replaced since.
func (h *simHost) voidMayPromoteOther() bool {
	return slices.ContainsFunc(h.voids, func(v *order) bool {
		return v.target != h.fleet.primary && time.Since(v.sentAt) < settleTime
	})
}

// renew gets a higher token, under which the platform refuses earlier orders.
func (h *simHost) renew() bool {
	f := h.fleet
	if f.storeDown || f.claim.boot != h.boot {
		return false
	}
	f.claim.token++
	h.token, h.inDoubt = f.claim.token, nil
	f.tracef("h%d renews its token to %d", h.index, h.token)
	return true
}

// settle forgets an order that can't be carried out any more.
func (h *simHost) settle() {
	if h.ordered != nil && time.Since(h.orderedAt) > settleTime {
		h.ordered = nil
	}
}

// takeEffect carries out the orders that are due.
func (f *fleet) takeEffect() {
	due := f.effects
	f.effects = nil
	for _, o := range due {
		switch {
		case time.Now().Before(o.at):
			f.effects = append(f.effects, o)
		case !o.carriedOut:
			f.tracef("late request for t%d under %d, accepted %v", o.target, o.token, f.carryOut(o))
		case o.target != f.primary:
			f.takeLead(o)
		}
	}
}

func (f *fleet) takeLead(o *order) {
	f.term, f.primary = f.term+1, o.target
	f.newest++
	f.tracef("term %d begins at t%d with a log up to %v", f.term, o.target, o.floor)
	for p := range f.passed {
		if p.Term < f.term && !o.floor.AtLeast(p) {
			f.lose(p)
		}
	}
}

// isNew reports whether a request of the holder before, which it sent right before its end, may
// have its effect yet.
func (h *simHost) isNew() bool { return h.token > 1 && time.Since(h.heldSince) < 2*time.Second }
