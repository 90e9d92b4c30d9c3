package failover

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeDirectory is a target.Directory for in-memory targets. Each call takes delay.
type fakeDirectory struct {
	mu             sync.Mutex
	targets        map[topology.TargetID]*simTarget
	delay          time.Duration
	statusRequests atomic.Int64 // count of status requests
	peakInFlight   atomic.Int64 // highest number of status requests in flight at once
	inFlight       atomic.Int64
}

func newFakeDirectory(delay time.Duration) *fakeDirectory {
	d := &fakeDirectory{targets: map[topology.TargetID]*simTarget{}, delay: delay}
	for i := range 3 {
		id := topology.TargetID(fmt.Sprintf("t%d", i))
		d.targets[id] = &simTarget{id: id, role: target.Replica, term: 1, primary: "t0", log: []uint64{1}}
	}
	d.targets["t0"].role = target.Primary
	return d
}

// group returns fakeGroup, whose targets have addresses that refuse connections.
func (d *fakeDirectory) group(topology.GroupID) (*topology.Group, bool) { return fakeGroup, true }

var fakeGroup = &topology.Group{
	ID: "g", Term: 1, Primary: "t0",
	Targets: []topology.Target{
		{ID: "t0", Group: "g", Addr: "127.0.0.1:1"},
		{ID: "t1", Group: "g", Addr: "127.0.0.1:1"},
		{ID: "t2", Group: "g", Addr: "127.0.0.1:1"},
	},
}

// write appends an entry at the primary and replicates it after lag.
func (d *fakeDirectory) write(lag time.Duration) topology.Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	primary := d.targets["t0"]
	primary.log = append(primary.log, primary.term)
	time.AfterFunc(lag, d.replicate)
	return primary.received()
}

func (d *fakeDirectory) replicate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.targets {
		if source := d.targets[t.primary]; source != nil && source != t && !source.down {
			t.replicateFrom(source, source.term, 0)
		}
	}
}

func (d *fakeDirectory) call(ctx context.Context, id topology.TargetID, handle func(*simTarget) (target.Status, error)) (target.Status, error) {
	select {
	case <-time.After(d.delay):
	case <-ctx.Done():
		return target.Status{}, ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[id]
	if t.down {
		return target.Status{}, result.New(result.TargetDown, "%s is down", id)
	}
	return handle(t)
}

func (d *fakeDirectory) Status(ctx context.Context, id topology.TargetID) (target.Status, error) {
	d.statusRequests.Add(1)
	if n := d.inFlight.Add(1); n > d.peakInFlight.Load() {
		d.peakInFlight.Store(n)
	}
	defer d.inFlight.Add(-1)
	return d.call(ctx, id, func(t *simTarget) (target.Status, error) { return t.status(), nil })
}

func (d *fakeDirectory) order(ctx context.Context, o Order) (target.Status, error) {
	return d.call(ctx, o.Target, func(t *simTarget) (target.Status, error) {
		switch t.order(o) {
		case OrderStale:
			return target.Status{}, &target.ErrStaleTerm{}
		case OrderUnknown:
			return target.Status{}, result.New(result.UnknownOutcome, "refused")
		default:
			return t.status(), nil
		}
	})
}

func (d *fakeDirectory) Fence(ctx context.Context, id topology.TargetID, term uint64) (target.Status, error) {
	return d.order(ctx, Order{Kind: OrderFence, Target: id, Term: term})
}

func (d *fakeDirectory) Promote(ctx context.Context, id topology.TargetID, term uint64) (target.Status, error) {
	return d.order(ctx, Order{Kind: OrderPromote, Target: id, Term: term})
}

func (d *fakeDirectory) Follow(ctx context.Context, id topology.TargetID, term uint64, primary topology.TargetID) (target.Status, error) {
	return d.order(ctx, Order{Kind: OrderFollow, Target: id, Term: term, Primary: primary})
}

// fakePublisher fails every call until available is set.
type fakePublisher struct {
	available atomic.Bool
	published atomic.Value // holds a primaryChange
}

func (p *fakePublisher) PublishGroup(_ context.Context, group topology.GroupID, term uint64, primary topology.TargetID) error {
	if !p.available.Load() {
		return result.New(result.PlatformUnknown, "down")
	}
	p.published.Store(primaryChange{Group: group, Term: term, Primary: primary})
	return nil
}
