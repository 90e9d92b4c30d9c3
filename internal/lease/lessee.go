package lease

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	checkInterval = 100 * time.Millisecond // between checks for leases to renew
	// renewAfter is the age at which a lease is renewed by a call of its own. In a
	// small fleet gossip renews it earlier.
	renewAfter   = 350 * time.Millisecond
	renewTimeout = 300 * time.Millisecond // of one renewal call
)

// LesseeOptions configures a Lessee.
type LesseeOptions struct {
	Self    topology.HostID
	Peers   peer.Caller
	Grantor *Grantor // of this host
	// Holder returns the host that holds a group's duty, and false if none is known.
	Holder func(topology.GroupID) (topology.HostID, bool)
	// Groups returns the groups on which this host needs leases.
	Groups func() []topology.GroupID
	// OnBegin is called after a lease on a target has begun, OnEnd after the lease
	// on a group was revoked or has expired.
	OnBegin func(topology.GroupID, topology.TargetID)
	OnEnd   func(topology.GroupID)
	Log     logr.Logger
}

// Lessee keeps this host's leases valid.
type Lessee struct {
	*Table
	opts LesseeOptions
	wake chan struct{}

	mu      sync.Mutex
	calling map[topology.HostID]bool               // holders with a renewal under way
	active  map[topology.GroupID]topology.TargetID // leases that were valid at the last check
}

// NewLessee returns a Lessee without leases.
func NewLessee(opts LesseeOptions) *Lessee {
	return &Lessee{Table: NewTable(), opts: opts, wake: make(chan struct{}, 1),
		calling: map[topology.HostID]bool{}, active: map[topology.GroupID]topology.TargetID{}}
}

// Run renews leases until ctx is done.
func (l *Lessee) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		l.check(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.wake:
		}
	}
}

// check reports ended leases and renews those that are due.
func (l *Lessee) check(ctx context.Context) {
	now := steady.Now()
	due := map[topology.HostID][]topology.GroupID{}
	isDue := map[topology.HostID]bool{}
	for _, id := range l.opts.Groups() {
		l.reportExpiry(id)
		holder, ok := l.opts.Holder(id)
		if !ok {
			continue
		}
		age, valid := l.age(id, now)
		due[holder] = append(due[holder], id)
		isDue[holder] = isDue[holder] || !valid || age >= renewAfter
	}
	for holder, ids := range due {
		if isDue[holder] {
			l.startRenewal(ctx, holder, ids)
		}
	}
}

// reportExpiry calls OnEnd if the lease on the group has expired since the last check.
func (l *Lessee) reportExpiry(id topology.GroupID) {
	_, valid := l.Target(id)
	l.mu.Lock()
	target, wasActive := l.active[id]
	expired := wasActive && !valid
	if expired {
		delete(l.active, id)
	}
	l.mu.Unlock()
	if expired {
		expiredCounter.Inc()
		l.opts.Log.Info("lease expired", "group", id, "target", target)
		l.opts.OnEnd(id)
	}
}

// startRenewal asks a holder for leases on the groups, unless a call to it is under
// way.
func (l *Lessee) startRenewal(ctx context.Context, holder topology.HostID, ids []topology.GroupID) {
	if holder == l.opts.Self {
		sentAt := steady.Now()
		l.Note(l.opts.Grantor.Grant(holder, ids), sentAt)
		return
	}
	l.mu.Lock()
	busy := l.calling[holder]
	l.calling[holder] = true
	l.mu.Unlock()
	if busy {
		return
	}
	go func() {
		l.renew(ctx, holder, ids)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.calling, holder)
	}()
}

func (l *Lessee) renew(ctx context.Context, holder topology.HostID, ids []topology.GroupID) {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	sentAt := steady.Now()
	var reply RenewReply
	if err := l.opts.Peers.Call(ctx, holder, renewMethod, &RenewArgs{From: l.opts.Self, Groups: ids}, &reply); err != nil {
		l.opts.Log.V(1).Info("lease not renewed", "holder", holder, "error", err.Error())
		return
	}
	l.Note(reply.Leases, sentAt)
}

// Note records leases that were granted in the answer to a request sent at sentAt.
func (l *Lessee) Note(leases []Lease, sentAt time.Time) {
	for _, begun := range l.note(leases, sentAt) {
		l.mu.Lock()
		l.active[begun.Group] = begun.Target
		l.mu.Unlock()
		l.opts.Log.Info("lease begun", "group", begun.Group, "target", begun.Target, "token", begun.Token)
		l.opts.OnBegin(begun.Group, begun.Target)
	}
}

// revoke ends the lease on a group at its holder's request.
func (l *Lessee) revoke(id topology.GroupID, token uint64) {
	l.Table.revoke(id, token)
	if _, valid := l.Target(id); valid {
		return // of a newer holder
	}
	l.mu.Lock()
	target, wasActive := l.active[id]
	delete(l.active, id)
	l.mu.Unlock()
	if wasActive {
		l.opts.Log.Info("lease revoked", "group", id, "target", target, "token", token)
		l.opts.OnEnd(id)
	}
}

// WakeUp makes Run check at once.
func (l *Lessee) WakeUp() {
	select {
	case l.wake <- struct{}{}:
	default: // a check is already due
	}
}
