package confirm

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// hedgeDelay is the wait for the voters asked first before the others are asked: more
	// than the usual round trip between failure domains.
	hedgeDelay = 10 * time.Millisecond
	// retryInterval is the time between rounds while voters refuse.
	retryInterval = 10 * time.Millisecond
	// probeInterval is the time between questions whether commits can be confirmed again.
	probeInterval = 50 * time.Millisecond
	// interestPeriod is how long these questions go on after the last one by a caller.
	interestPeriod = 3 * time.Second
	// maxHold bounds how long an acknowledged commit waits for voters that refuse: a change
	// of the electorate takes some round trips, a promotion some hundred milliseconds.
	maxHold = 1 * time.Second
)

var (
	// ErrNoQuorum means that most voters don't answer.
	ErrNoQuorum = errors.New("most voters do not answer")
	// ErrSealed means that the voters record nothing while the leader may be replaced.
	ErrSealed = errors.New("the leader may be about to be replaced")
	// ErrOldTerm means that another leader has been found since.
	ErrOldTerm = errors.New("a leader of a later term was found")
)

// Options configures a Confirmer.
type Options struct {
	Self  topology.HostID
	Local *Voters
	Peers peer.Caller
	// Electorate returns the group's voters.
	Electorate func(topology.GroupID) Electorate
	// Holder returns the host that holds the group's duty, and Receipts proves receipts if that is
	// this host. They are used once a target is dropped.
	Holder   func(topology.GroupID) (topology.HostID, bool)
	Receipts Receipts
	// Needed reports whether commits of the group need confirmation: a target acknowledges
	// them once replicas have them.
	Needed func(topology.GroupID) bool
	Log    logr.Logger
}

// Confirmer has the positions of commits recorded by voters before this host passes the
// commits on. It is safe for concurrent use.
type Confirmer struct {
	opts Options
	link link

	mu     sync.Mutex
	groups map[topology.GroupID]*rounds
}

// New returns a Confirmer.
func New(opts Options) *Confirmer {
	return &Confirmer{opts: opts, link: link{self: opts.Self, local: opts.Local, peers: opts.Peers}, groups: map[topology.GroupID]*rounds{}}
}

// rounds is the state of one group. Commits that arrive during a round share the next one.
type rounds struct {
	mu        sync.Mutex
	waiting   []*commit
	running   bool
	notReady  bool          // the latest round failed
	ready     chan struct{} // closed when a round succeeds after that
	askedAt   time.Time     // when a caller last asked whether commits can be confirmed
	confirmed topology.Position
	// unreceived is the newest position whose receipt wasn't proved, zero once one was.
	unreceived topology.Position
}

// commit waits for its confirmation.
type commit struct {
	position topology.Position
	deadline time.Time
	done     chan error // buffered
}

func (c *Confirmer) group(id topology.GroupID) *rounds {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.groups[id]
	if r == nil {
		r = &rounds{ready: make(chan struct{})}
		c.groups[id] = r
	}
	return r
}

// Ready reports whether commits of the group can be confirmed at present, as far as this
// host knows. After a failure it is asked again whether they can.
func (c *Confirmer) Ready(id topology.GroupID) bool {
	if !c.opts.Needed(id) {
		return true
	}
	e := c.opts.Electorate(id)
	r := c.group(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(e.Members()) == 0 {
		r.notReady = true
	}
	if !r.notReady {
		return true
	}
	r.askedAt = steady.Now()
	c.start(id, r)
	return false
}

// Starting reports whether no voters of the group are known yet.
func (c *Confirmer) Starting(id topology.GroupID) bool {
	e := c.opts.Electorate(id)
	return c.opts.Needed(id) && len(e.Members()) == 0
}

// AwaitReady waits until commits of the group can be confirmed, at most until the deadline.
func (c *Confirmer) AwaitReady(ctx context.Context, id topology.GroupID, deadline time.Time) bool {
	if c.Ready(id) {
		return true
	}
	r := c.group(id)
	r.mu.Lock()
	ready, notReady := r.ready, r.notReady
	r.mu.Unlock()
	if !notReady {
		return true
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-ready:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Confirm returns nil once most voters have recorded the position, so that every later
// promotion of the group is sure to keep it.
func (c *Confirmer) Confirm(ctx context.Context, id topology.GroupID, position topology.Position, deadline time.Time) error {
	if !c.opts.Needed(id) {
		return nil
	}
	if latest := time.Now().Add(maxHold); latest.Before(deadline) {
		deadline = latest
	}
	r := c.group(id)
	w := &commit{position: position, deadline: deadline, done: make(chan error, 1)}
	r.mu.Lock()
	if position.Term == r.confirmed.Term && r.confirmed.AtLeast(position) {
		r.mu.Unlock()
		return nil
	}
	r.waiting = append(r.waiting, w)
	c.start(id, r)
	r.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case err := <-w.done:
		return err
	case <-timer.C:
		return errors.New("the voters did not confirm the commit in time")
	case <-ctx.Done():
		return ctx.Err()
	}
}

// start runs rounds unless they are running. The caller holds r.mu.
func (c *Confirmer) start(id topology.GroupID, r *rounds) {
	if !r.running {
		r.running = true
		go c.run(id, r)
	}
}

// run performs rounds while commits wait, or callers wait for commits to be confirmable.
func (c *Confirmer) run(id topology.GroupID, r *rounds) {
	for {
		r.mu.Lock()
		r.dropExpired(time.Now())
		position, waits := r.next()
		if !waits && !(r.notReady && steady.Now().Sub(r.askedAt) < interestPeriod) {
			r.running = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		err := c.round(id, position)
		r.mu.Lock()
		r.finish(position, err)
		pause := time.Duration(0)
		if err != nil {
			pause = probeInterval
			if len(r.waiting) > 0 {
				pause = retryInterval
			}
		}
		r.mu.Unlock()
		time.Sleep(pause)
	}
}

// dropExpired removes the commits that nobody waits for any more.
func (r *rounds) dropExpired(now time.Time) {
	kept := r.waiting[:0]
	for _, w := range r.waiting {
		if now.Before(w.deadline) {
			kept = append(kept, w)
		}
	}
	r.waiting = kept
}

// next returns the position for the next round: the newest in the term of the commit that
// has waited longest. If none waits, it is the one whose receipt wasn't proved.
func (r *rounds) next() (position topology.Position, waits bool) {
	if len(r.waiting) == 0 {
		return r.unreceived, false
	}
	position = r.waiting[0].position
	for _, w := range r.waiting {
		if w.position.Term == position.Term {
			position = topology.Later(position, w.position)
		}
	}
	return position, true
}

// finish applies the outcome of a round. Commits that the voters may confirm later keep
// waiting.
func (r *rounds) finish(position topology.Position, err error) {
	r.unreceived = topology.Position{}
	if errors.Is(err, ErrNotReceived) {
		r.unreceived = position
	}
	switch {
	case err == nil:
		r.confirmed = topology.Later(r.confirmed, position)
		if r.notReady {
			r.notReady = false
			close(r.ready)
			r.ready = make(chan struct{})
		}
	case !errors.Is(err, ErrOldTerm):
		r.notReady = true
	}
	if errors.Is(err, ErrSealed) || errors.Is(err, errOldEpoch) {
		return
	}
	kept := r.waiting[:0]
	for _, w := range r.waiting {
		if w.position.Term == position.Term && position.AtLeast(w.position) {
			w.done <- err
		} else {
			kept = append(kept, w)
		}
	}
	r.waiting = kept
}

// errOldEpoch means that this host doesn't know the present electorate yet.
var errOldEpoch = errors.New("the electorate has changed")

// round asks the voters to record a position, first as many as are needed.
func (c *Confirmer) round(id topology.GroupID, position topology.Position) error {
	e := c.opts.Electorate(id)
	voters := c.order(e.Members())
	if len(voters) == 0 {
		return ErrNoQuorum
	}
	// Voters record only what has been received: a promotion needs what they have recorded.
	if e.NeedsReceipts() && !position.IsZero() && !c.received(id, &e, position) {
		return ErrNotReceived
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	args := RecordArgs{Address: Address{Group: id, Epoch: e.Epoch, FromTerm: e.FromTerm}, Position: position}
	verdicts := make(chan Verdict, len(voters))
	ask := func(list []Voter) {
		for _, v := range list {
			if v.Host == c.opts.Self {
				verdicts <- c.link.verdict(ctx, v, args)
				continue
			}
			go func() { verdicts <- c.link.verdict(ctx, v, args) }()
		}
	}
	first, rest := voters[:e.Quorum()], voters[e.Quorum():]
	ask(first)
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	count := tally{voters: len(voters), quorum: e.Quorum()}
	for {
		select {
		case v := <-verdicts:
			count.add(v)
		case <-hedge.C:
			ask(rest)
			rest = nil
			continue
		}
		if done, err := count.outcome(); done {
			return err
		}
		if count.answers == len(first) && rest != nil {
			ask(rest)
			rest = nil
		}
	}
}

// order returns the voters with this host first.
func (c *Confirmer) order(voters []Voter) []Voter {
	list := make([]Voter, 0, len(voters))
	for _, v := range voters {
		if v.Host == c.opts.Self {
			list = append(list, v)
		}
	}
	for _, v := range voters {
		if v.Host != c.opts.Self {
			list = append(list, v)
		}
	}
	return list
}

// tally counts the verdicts of one round.
type tally struct {
	voters, quorum             int
	answers, recorded          int
	sealed, oldTerm, oldEpochs int
}

func (t *tally) add(v Verdict) {
	t.answers++
	switch v {
	case Recorded:
		t.recorded++
	case Sealed:
		t.sealed++
	case OldTerm:
		t.oldTerm++
	case OldEpoch:
		t.oldEpochs++
	}
}

// outcome reports whether the round is decided, and its error.
func (t *tally) outcome() (done bool, err error) {
	left := t.voters - t.answers
	switch {
	case t.recorded >= t.quorum:
		return true, nil
	case t.recorded+left >= t.quorum:
		return false, nil
	case t.oldTerm > 0:
		return true, ErrOldTerm
	case t.oldEpochs > 0:
		return true, errOldEpoch
	case t.sealed > 0:
		return true, ErrSealed
	}
	return true, ErrNoQuorum
}
