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
	statusTimeout       = 400 * time.Millisecond // longer than it takes the directory to open a new connection
	minRequestPause     = 500 * time.Microsecond // between requests whose answers bring nothing new
	maxRequestPause     = 5 * time.Millisecond
	failurePause        = 20 * time.Millisecond
	maxRequestsInFlight = 2                     // per target: the second request serves waiters that were added after the first was sent
	primaryGrace        = 20 * time.Millisecond // for the primary's answer after a majority has answered
)

// poller requests the statuses of one group's targets while any waiter needs
// them. All waiters share the requests, so the number of requests does not grow
// with the number of waiters.
type poller struct {
	directory target.Directory
	observe   func(st target.Status, err error, sentAt time.Time)

	mu      sync.Mutex // guards the fields below
	lastSeq uint64     // sequence number of the latest waiter
	waiters map[waiter]registration
	targets map[topology.TargetID]*targetRequests
}

// registration is the list of targets that a waiter waits for, and the channel that
// is closed when the waiter has finished.
type registration struct {
	group *topology.Group
	done  chan struct{}
}

// targetRequests is the state of the status requests to one target.
type targetRequests struct {
	inFlight   int
	coveredSeq uint64 // lastSeq when the latest request was sent
	received   topology.Position
	pause      time.Duration
}

func newPoller(directory target.Directory, observe func(target.Status, error, time.Time)) *poller {
	return &poller{
		directory: directory,
		observe:   observe,
		waiters:   map[waiter]registration{},
		targets:   map[topology.TargetID]*targetRequests{},
	}
}

// confirm waits until the commit at pos is confirmed. If primary is not empty, it
// names the target that committed pos, and the commit counts as its answer if the
// target is in the list.
func (p *poller) confirm(ctx context.Context, g *topology.Group, pos topology.Position, primary topology.TargetID, policy customer.AckMode) error {
	w := &commitWaiter{pos: pos, policy: policy, latest: map[topology.TargetID]target.Status{}}
	if _, listed := g.Target(primary); listed {
		w.latest[primary] = target.Status{Target: primary, Role: target.Primary, Term: pos.Term, Primary: primary, Received: pos}
	}
	done := p.addWaiter(g, w, &w.seq)
	select {
	case <-done:
		return w.failure
	case <-ctx.Done():
		p.removeWaiter(w)
		return result.New(result.UnconfirmedCommit, "no majority confirmed position %s in time", pos)
	}
}

// round returns answers to requests that were sent after the call.
func (p *poller) round(ctx context.Context, g *topology.Group) (QuorumRead, error) {
	w := &roundWaiter{answers: map[topology.TargetID]target.Status{}, failed: map[topology.TargetID]bool{}}
	done := p.addWaiter(g, w, &w.seq)
	grace := time.NewTicker(primaryGrace)
	defer grace.Stop()
	for {
		select {
		case <-done:
			return w.round, w.failure
		case <-ctx.Done():
			p.removeWaiter(w)
			return QuorumRead{}, errNoMajority("no majority of the targets of group %s answered in time", g.ID)
		case now := <-grace.C:
			if p.finishWithoutPrimary(w, now) {
				return w.round, nil
			}
		}
	}
}

// finishWithoutPrimary ends a round in which a majority has answered but the
// primary has not answered within primaryGrace.
func (p *poller) finishWithoutPrimary(w *roundWaiter, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.majorityAt.IsZero() || now.Sub(w.majorityAt) < primaryGrace {
		return false
	}
	delete(p.waiters, w)
	return true
}

// addWaiter registers a waiter, stores its sequence number in seq, and starts the
// requests that it needs.
func (p *poller) addWaiter(g *topology.Group, w waiter, seq *uint64) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSeq++
	*seq = p.lastSeq
	done := make(chan struct{})
	p.waiters[w] = registration{group: g, done: done}
	for _, t := range g.Targets {
		if p.targets[t.ID] == nil {
			p.targets[t.ID] = &targetRequests{}
		}
		if w.needsAnswer(t.ID) {
			p.startRequestLocked(t.ID)
		}
	}
	return done
}

func (p *poller) removeWaiter(w waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, w)
}

// startRequestLocked starts a request unless the requests in flight cover every
// waiter or are at their limit. The caller holds p.mu.
func (p *poller) startRequestLocked(id topology.TargetID) {
	requests := p.targets[id]
	if requests.inFlight >= maxRequestsInFlight || requests.inFlight > 0 && requests.coveredSeq >= p.lastSeq {
		return
	}
	requests.inFlight++
	requests.coveredSeq = p.lastSeq
	go p.requestLoop(id, p.lastSeq)
}

// requestLoop sends one request after another until no waiter needs another
// answer of the target.
func (p *poller) requestLoop(id topology.TargetID, coveredSeq uint64) {
	for {
		a := p.request(id, coveredSeq)
		pause, next, repeat := p.deliver(a)
		if !repeat {
			return
		}
		time.Sleep(pause)
		coveredSeq = next()
	}
}

func (p *poller) request(id topology.TargetID, coveredSeq uint64) statusAnswer {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	sentAt := time.Now()
	st, err := p.directory.Status(ctx, id)
	st.Target = id
	p.observe(st, err, sentAt)
	return statusAnswer{target: id, status: st, err: err, coveredSeq: coveredSeq, arrived: time.Now()}
}

// deliver passes an answer to the waiters whose list has the target: the list may
// have changed since the request loop began. It reports whether the request has to
// be repeated, and after which pause. The caller calls the returned function just
// before it repeats the request, to get the sequence number that the request covers.
func (p *poller) deliver(a statusAnswer) (time.Duration, func() uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	wanted := false
	for w, r := range p.waiters {
		if _, listed := r.group.Target(a.target); !listed {
			continue
		}
		size := groupSize{targets: len(r.group.Targets), majority: r.group.Majority()}
		if w.addAnswer(a, size) {
			delete(p.waiters, w)
			close(r.done)
			continue
		}
		wanted = wanted || w.needsAnswer(a.target)
	}
	requests := p.targets[a.target]
	if !wanted || requests.inFlight > 1 {
		requests.inFlight--
		return 0, nil, false
	}
	requests.pause = nextPause(requests.pause, a, a.status.Received != requests.received)
	requests.received = a.status.Received
	next := func() uint64 {
		p.mu.Lock()
		defer p.mu.Unlock()
		requests.coveredSeq = p.lastSeq
		return p.lastSeq
	}
	return requests.pause, next, true
}

// nextPause returns the pause before the next request to a target. The pause
// grows while the answers bring nothing new.
func nextPause(last time.Duration, a statusAnswer, advanced bool) time.Duration {
	if a.err != nil {
		return failurePause
	}
	if advanced {
		return 0
	}
	return min(max(2*last, minRequestPause), maxRequestPause)
}
