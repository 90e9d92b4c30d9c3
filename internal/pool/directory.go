package pool

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	secondHolderAfter = 50 * time.Millisecond  // a round trip takes a few milliseconds
	directAfter       = 250 * time.Millisecond // of holders that don't answer
	directTimeout     = time.Second            // connecting, one statement and closing
)

// DirectoryOptions are what a Directory needs.
type DirectoryOptions struct {
	Manager *Manager
	Caller  peer.Caller
	Fleet   fleet.View
	Target  func(topology.TargetID) (topology.Target, bool)
	Login   target.Login
	Dial    target.DialFunc // nil dials directly
}

// Directory gives orders to any target: on this host's control connection if
// it holds the target, else through the target's holders, the next one while
// the one before is slow, and last on a connection of its own. It implements
// target.Directory. Orders may arrive more than once: they are idempotent.
type Directory struct{ opts DirectoryOptions }

// NewDirectory returns a directory.
func NewDirectory(opts DirectoryOptions) *Directory {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	return &Directory{opts: opts}
}

// Status implements target.Directory.
func (d *Directory) Status(ctx context.Context, id topology.TargetID) (target.Status, error) {
	return d.order(ctx, "Status", ControlArgs{Target: id}, func(ctx context.Context, c target.Control) (target.Status, error) {
		return c.Status(ctx)
	})
}

// Fence implements target.Directory.
func (d *Directory) Fence(ctx context.Context, id topology.TargetID, term uint64) (target.Status, error) {
	return d.order(ctx, "Fence", ControlArgs{Target: id, Term: term}, func(ctx context.Context, c target.Control) (target.Status, error) {
		return c.Fence(ctx, term)
	})
}

// Promote implements target.Directory.
func (d *Directory) Promote(ctx context.Context, id topology.TargetID, term uint64) (target.Status, error) {
	return d.order(ctx, "Promote", ControlArgs{Target: id, Term: term}, func(ctx context.Context, c target.Control) (target.Status, error) {
		return c.Promote(ctx, term)
	})
}

// Follow implements target.Directory.
func (d *Directory) Follow(ctx context.Context, id topology.TargetID, term uint64, primary topology.TargetID) (target.Status, error) {
	args := ControlArgs{Target: id, Term: term, Primary: primary}
	return d.order(ctx, "Follow", args, func(ctx context.Context, c target.Control) (target.Status, error) {
		return c.Follow(ctx, term, primary)
	})
}

// way is one way to give an order to a target.
type way struct {
	after time.Duration // it is tried then, or once every earlier way has failed
	give  func(ctx context.Context) (target.Status, error)
}

type controlFunc func(ctx context.Context, c target.Control) (target.Status, error)

func (d *Directory) order(ctx context.Context, method string, args ControlArgs, give controlFunc) (target.Status, error) {
	t, ok := d.opts.Target(args.Target)
	if !ok {
		return target.Status{}, result.New(result.NotFound, "no target %s", args.Target)
	}
	return firstAnswer(ctx, d.ways(t, method, args, give))
}

func (d *Directory) ways(t topology.Target, method string, args ControlArgs, give controlFunc) []way {
	var ways []way
	add := func(give func(context.Context) (target.Status, error)) {
		ways = append(ways, way{after: time.Duration(len(ways)) * secondHolderAfter, give: give})
	}
	if c, ok := d.opts.Manager.Control(t.ID); ok {
		add(func(ctx context.Context) (target.Status, error) { return give(ctx, c) })
	}
	self := d.opts.Fleet.Self().ID
	asked := map[topology.HostID]bool{self: true}
	for _, holder := range d.opts.Fleet.Holders(t) {
		if asked[holder] {
			continue
		}
		asked[holder] = true
		add(func(ctx context.Context) (target.Status, error) {
			return Remote{Caller: d.opts.Caller, Host: holder}.control(ctx, method, args)
		})
	}
	direct := func(ctx context.Context) (target.Status, error) { return d.direct(ctx, t, give) }
	return append(ways, way{after: directAfter, give: direct})
}

// direct opens a connection for one order. It uses what the slots' shares leave.
func (d *Directory) direct(ctx context.Context, t topology.Target, give controlFunc) (target.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	conn, err := target.Dial(ctx, t.Addr, d.opts.Login, d.opts.Dial)
	if err != nil {
		return target.Status{}, asResult(connectFailure(err), t.ID)
	}
	defer closeControl(conn)
	st, err := give(ctx, conn)
	return st, asResult(err, t.ID)
}

// outcome is what one way gave.
type outcome struct {
	status target.Status
	err    error
}

// conclusive tells whether no other way could say more.
func (o outcome) conclusive() bool { return o.err == nil || staleTerm(o.err) != nil }

// firstAnswer starts the ways one after the other and returns the first
// conclusive outcome; the others are given up.
func firstAnswer(ctx context.Context, ways []way) (target.Status, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, len(ways))
	began := time.Now()
	var last error
	started, pending := 0, 0
	for {
		if started < len(ways) && (pending == 0 || time.Since(began) >= ways[started].after) {
			go run(ctx, ways[started], outcomes)
			started++
			pending++
			continue
		}
		var next <-chan time.Time
		if started < len(ways) {
			next = time.After(ways[started].after - time.Since(began))
		}
		select {
		case <-next:
		case <-ctx.Done():
			return target.Status{}, result.New(result.TargetDown, "no way to the target answered: %s", errors.CombineErrors(ctx.Err(), last))
		case o := <-outcomes:
			pending--
			if o.conclusive() {
				return o.status, o.err
			}
			last = o.err
			if pending == 0 && started == len(ways) {
				return target.Status{}, last
			}
		}
	}
}

func run(ctx context.Context, w way, outcomes chan<- outcome) {
	st, err := w.give(ctx)
	outcomes <- outcome{status: st, err: err}
}
