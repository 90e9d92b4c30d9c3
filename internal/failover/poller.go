package failover

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	askTimeout       = 400 * time.Millisecond // outlasts the directory's new connection
	shortestPause    = 500 * time.Microsecond // between requests that bring nothing new
	longestPause     = 5 * time.Millisecond
	failurePause     = 20 * time.Millisecond
	requestsInFlight = 2                     // per target: the second serves waiters that came after the first left
	primaryGrace     = 20 * time.Millisecond // for the primary's answer once a majority has answered
)

// poller asks the targets of one group for their status while anybody waits
// for it. All waiters share the requests, so their number costs nothing.
type poller struct {
	directory target.Directory
	observe   func(st target.Status, err error, sentAt time.Time)

	mu      sync.Mutex // guards the fields below
	number  uint64     // of the latest waiter
	waiters map[waiter]chan struct{}
	targets map[topology.TargetID]*polled
}

// polled is the state of one target's requests.
type polled struct {
	inFlight int
	covers   uint64 // number at the latest request's start
	received topology.Position
	pause    time.Duration
}

func newPoller(directory target.Directory, observe func(target.Status, error, time.Time)) *poller {
	return &poller{
		directory: directory,
		observe:   observe,
		waiters:   map[waiter]chan struct{}{},
		targets:   map[topology.TargetID]*polled{},
	}
}

// confirm waits until the commit is confirmed. The committing primary's own
// report of the commit counts as its answer.
func (p *poller) confirm(ctx context.Context, g *topology.Group, pos topology.Position, primary topology.TargetID, policy customer.Acknowledge) error {
	w := &commitWaiter{pos: pos, policy: policy, latest: map[topology.TargetID]target.Status{}}
	if primary != "" {
		w.latest[primary] = target.Status{Target: primary, Role: target.Primary, Term: pos.Term, Primary: primary, Received: pos}
	}
	done := p.add(g, w, &w.number)
	select {
	case <-done:
		return w.failure
	case <-ctx.Done():
		p.remove(w)
		return result.New(result.UnconfirmedCommit, "no majority confirmed %s in time", pos)
	}
}

// round returns answers asked for after the call.
func (p *poller) round(ctx context.Context, g *topology.Group) (Round, error) {
	w := &roundWaiter{answers: map[topology.TargetID]target.Status{}, failed: map[topology.TargetID]bool{}}
	done := p.add(g, w, &w.number)
	grace := time.NewTicker(primaryGrace)
	defer grace.Stop()
	for {
		select {
		case <-done:
			return w.round, w.failure
		case <-ctx.Done():
			p.remove(w)
			return Round{}, errNoMajority("no majority of %s answered in time", g.ID)
		case now := <-grace.C:
			if p.takeIncomplete(w, now) {
				return w.round, nil
			}
		}
	}
}

// takeIncomplete ends a round whose primary doesn't answer.
func (p *poller) takeIncomplete(w *roundWaiter, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.agreedAt.IsZero() || now.Sub(w.agreedAt) < primaryGrace {
		return false
	}
	delete(p.waiters, w)
	return true
}

// add numbers a waiter and asks the targets for it.
func (p *poller) add(g *topology.Group, w waiter, number *uint64) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	*number = p.number
	done := make(chan struct{})
	p.waiters[w] = done
	for _, t := range g.Targets {
		if p.targets[t.ID] == nil {
			p.targets[t.ID] = &polled{}
		}
		if w.wants(t.ID) {
			p.askLocked(g, t.ID)
		}
	}
	return done
}

func (p *poller) remove(w waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, w)
}

// askLocked sends a request unless those in flight serve every waiter.
func (p *poller) askLocked(g *topology.Group, id topology.TargetID) {
	t := p.targets[id]
	if t.inFlight >= requestsInFlight || t.inFlight > 0 && t.covers >= p.number {
		return
	}
	t.inFlight++
	t.covers = p.number
	go p.ask(g, id, p.number)
}

// ask sends one request after another until no waiter wants the target's
// answer any more.
func (p *poller) ask(g *topology.Group, id topology.TargetID, covers uint64) {
	for {
		a := p.request(id, covers)
		pause, next, again := p.deliver(g, a)
		if !again {
			return
		}
		time.Sleep(pause)
		covers = next()
	}
}

func (p *poller) request(id topology.TargetID, covers uint64) answer {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	sentAt := time.Now()
	st, err := p.directory.Status(ctx, id)
	st.Target = id
	p.observe(st, err, sentAt)
	return answer{target: id, status: st, err: err, covers: covers, arrived: time.Now()}
}

// deliver gives an answer to all waiters. It tells whether to ask again, after
// which pause; next numbers that request.
func (p *poller) deliver(g *topology.Group, a answer) (time.Duration, func() uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := quorum{targets: len(g.Targets), majority: g.Majority()}
	wanted := false
	for w, done := range p.waiters {
		if w.take(a, q) {
			delete(p.waiters, w)
			close(done)
			continue
		}
		wanted = wanted || w.wants(a.target)
	}
	t := p.targets[a.target]
	if !wanted || t.inFlight > 1 {
		t.inFlight--
		return 0, nil, false
	}
	t.pause = nextPause(t.pause, a, a.status.Received != t.received)
	t.received = a.status.Received
	next := func() uint64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		t.covers = p.number
		return p.number
	}
	return t.pause, next, true
}

// nextPause grows while a target's answers bring nothing new.
func nextPause(last time.Duration, a answer, advanced bool) time.Duration {
	if a.err != nil {
		return failurePause
	}
	if advanced {
		return 0
	}
	return min(max(2*last, shortestPause), longestPause)
}
