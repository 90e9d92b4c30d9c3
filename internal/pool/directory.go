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
	hedgeDelay    = 50 * time.Millisecond  // before the next holder is tried; a round trip takes a few milliseconds
	directDelay   = 250 * time.Millisecond // before a direct connection is tried while no holder answers
	directTimeout = time.Second            // for connecting, one command and closing
)

// DirectoryOptions configures a Directory.
type DirectoryOptions struct {
	Manager      *Manager
	Caller       peer.Caller
	Fleet        fleet.View
	LookupTarget func(topology.TargetID) (topology.Target, bool)
	Login        target.Login
	Dial         target.DialFunc // nil: net.Dialer
}

// Directory sends control commands to any target. It uses this host's control
// connection if this host holds the target, otherwise the target's holders, and
// finally a connection of its own. While one attempt is slow, it starts the
// next. A command may reach the target more than once; commands are idempotent.
// It implements target.Directory.
type Directory struct{ opts DirectoryOptions }

// NewDirectory returns a Directory with the given options.
func NewDirectory(opts DirectoryOptions) *Directory {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	return &Directory{opts: opts}
}

// Status implements target.Directory.
func (d *Directory) Status(ctx context.Context, id topology.TargetID) (target.Status, error) {
	return d.sendCommand(ctx, "Status", ControlArgs{Target: id}, func(ctx context.Context, c target.Control) (target.Status, error) {
		return c.Status(ctx)
	})
}

// Fence implements target.Directory.
func (d *Directory) Fence(ctx context.Context, id topology.TargetID, term uint64) (target.Status, error) {
	return d.sendCommand(ctx, "Fence", ControlArgs{Target: id, Term: term}, func(ctx context.Context, c target.Control) (target.Status, error) {
		return c.Fence(ctx, term)
	})
}

// Promote implements target.Directory.
func (d *Directory) Promote(ctx context.Context, id topology.TargetID, term uint64) (target.Status, error) {
	return d.sendCommand(ctx, "Promote", ControlArgs{Target: id, Term: term}, func(ctx context.Context, c target.Control) (target.Status, error) {
		return c.Promote(ctx, term)
	})
}

// Follow implements target.Directory.
func (d *Directory) Follow(ctx context.Context, id topology.TargetID, term uint64, primary topology.TargetID) (target.Status, error) {
	args := ControlArgs{Target: id, Term: term, Primary: primary}
	return d.sendCommand(ctx, "Follow", args, func(ctx context.Context, c target.Control) (target.Status, error) {
		return c.Follow(ctx, term, primary)
	})
}

// attempt is one way to send a command to a target.
type attempt struct {
	startAfter time.Duration // starts after this time, or once all earlier attempts have failed
	send       func(ctx context.Context) (target.Status, error)
}

// controlCommand sends one command through a target.Control.
type controlCommand func(ctx context.Context, c target.Control) (target.Status, error)

func (d *Directory) sendCommand(ctx context.Context, method string, args ControlArgs, command controlCommand) (target.Status, error) {
	t, ok := d.opts.LookupTarget(args.Target)
	if !ok {
		return target.Status{}, result.New(result.NotFound, "target %s does not exist", args.Target)
	}
	return firstConclusive(ctx, d.attempts(t, method, args, command))
}

// attempts returns the ways to send a command to the target, in the order in
// which they are tried.
func (d *Directory) attempts(t topology.Target, method string, args ControlArgs, command controlCommand) []attempt {
	var attempts []attempt
	add := func(send func(context.Context) (target.Status, error)) {
		attempts = append(attempts, attempt{startAfter: time.Duration(len(attempts)) * hedgeDelay, send: send})
	}
	if c, ok := d.opts.Manager.Control(t.ID); ok {
		add(func(ctx context.Context) (target.Status, error) { return command(ctx, c) })
	}
	self := d.opts.Fleet.Self().ID
	tried := map[topology.HostID]bool{self: true}
	for _, holder := range d.opts.Fleet.Holders(t) {
		if tried[holder] {
			continue
		}
		tried[holder] = true
		add(func(ctx context.Context) (target.Status, error) {
			return Remote{Caller: d.opts.Caller, Host: holder}.callControl(ctx, method, args)
		})
	}
	direct := func(ctx context.Context) (target.Status, error) { return d.sendDirect(ctx, t, command) }
	return append(attempts, attempt{startAfter: directDelay, send: direct})
}

// sendDirect opens a connection for one command. It uses the connections that
// the slots' shares leave free.
func (d *Directory) sendDirect(ctx context.Context, t topology.Target, command controlCommand) (target.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	conn, err := target.Dial(ctx, t.Addr, d.opts.Login, d.opts.Dial)
	if err != nil {
		return target.Status{}, asResult(connectFailure(err), t.ID)
	}
	defer closeControlConn(conn)
	st, err := command(ctx, conn)
	return st, asResult(err, t.ID)
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	status target.Status
	err    error
}

// conclusive reports whether the result is final, so that no other attempt is
// needed.
func (r attemptResult) conclusive() bool { return r.err == nil || staleTerm(r.err) != nil }

// firstConclusive starts the attempts one after the other and returns the first
// conclusive result. It cancels the remaining attempts.
func firstConclusive(ctx context.Context, attempts []attempt) (target.Status, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan attemptResult, len(attempts))
	began := time.Now()
	var last error
	started, pending := 0, 0
	for {
		if started < len(attempts) && (pending == 0 || time.Since(began) >= attempts[started].startAfter) {
			go runAttempt(ctx, attempts[started], results)
			started++
			pending++
			continue
		}
		var next <-chan time.Time
		if started < len(attempts) {
			next = time.After(attempts[started].startAfter - time.Since(began))
		}
		select {
		case <-next:
		case <-ctx.Done():
			return target.Status{}, result.New(result.TargetDown, "no attempt to reach the target succeeded: %s", errors.CombineErrors(ctx.Err(), last))
		case r := <-results:
			pending--
			if r.conclusive() {
				return r.status, r.err
			}
			last = r.err
			if pending == 0 && started == len(attempts) {
				return target.Status{}, last
			}
		}
	}
}

func runAttempt(ctx context.Context, a attempt, results chan<- attemptResult) {
	st, err := a.send(ctx)
	results <- attemptResult{status: st, err: err}
}
