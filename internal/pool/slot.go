package pool

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// slot is one held slot of a target: its control connection, its share of the
// target's connections and the queue of requests for them. It starts without
// the slot's lock; requests wait then, but for the lock of another host. A
// dropped slot takes no new streams and is over when the last one has ended.
type slot struct {
	opts    *Options
	id      topology.TargetID
	group   topology.GroupID
	number  int
	control *control
	metrics *metrics.Set

	mu       sync.Mutex
	held     Held
	leftAt   time.Time // when the target was first seen leaving
	queue    *admission
	idle     []*conn // the most recently used last
	open     int     // connections, those being opened included
	opening  int
	streams  int // streams that own a connection
	repeats  repeatBudget
	commits  int // commits that wait for their confirmation
	retryAt  time.Time
	draining bool
	drained  chan struct{} // closed when draining and no stream is left
	latest   observed
}

// observed is a status with the time at which it was asked for.
type observed struct {
	status target.Status
	sentAt time.Time // zero: none yet
}

func newSlot(opts *Options, held Held) *slot {
	s := &slot{
		opts:    opts,
		id:      held.Target.ID,
		group:   held.Target.Group,
		number:  held.Slot,
		held:    held,
		queue:   newAdmission(queueBound),
		drained: make(chan struct{}),
	}
	s.control = &control{
		target: held.Target,
		slot:   held.Slot,
		login:  opts.Login,
		dial:   opts.Dial,
		log:    opts.Log,
		mayEnd: s.mayEnd,
		wanted: s.wanted,
		hooks: controlHooks{
			answered: s.onStatus,
			failed:   s.onFailure,
			locked:   s.onLocked,
		},
	}
	s.control.ready = s.dispatch
	s.metrics = slotMetrics(s)
	s.control.start()
	return s
}

func (s *slot) target() topology.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held.Target
}

// mayEnd tells whether a predecessor that has kept the lock for so long is
// taken for silent.
func (s *slot) mayEnd(refusedFor time.Duration) bool {
	s.mu.Lock()
	takeover := s.held.Takeover
	s.mu.Unlock()
	patience := takeoverAfter
	if s.opts.Handovers != nil && s.opts.Handovers() {
		patience = drainTimeout + takeoverAfter
	}
	return takeover || refusedFor >= patience
}

// wanted tells whether the slot's lock is to be taken.
func (s *slot) wanted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining
}

// update takes new values of the same slot.
func (s *slot) update(held Held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
	switch {
	case !held.Target.Leaving:
		s.leftAt = time.Time{}
	case s.leftAt.IsZero():
		s.leftAt = time.Now()
	}
}

// refusesLeaving tells whether a leaving target takes no new stream: no reads
// at once, and no writes once another target had time to become the primary.
func (s *slot) refusesLeaving(class Class, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held.Target.Leaving {
		return false
	}
	return class == Read || now.Sub(s.leftAt) > leavingGrace
}

func (s *slot) onStatus(st target.Status, sentAt time.Time) {
	s.mu.Lock()
	if s.latest.sentAt.Before(sentAt) {
		s.latest = observed{status: st, sentAt: sentAt}
	}
	s.mu.Unlock()
	if s.opts.OnStatus != nil {
		s.opts.OnStatus(st, nil, sentAt)
	}
}

// onFailure ends what a dead target can't serve any more.
func (s *slot) onFailure(failure *HealthError, sentAt time.Time) {
	if failure.Kind != HealthFull {
		s.closeIdle(func(*conn) bool { return true })
	}
	if failure.Kind == HealthRefused || failure.Kind == HealthNoAnswer {
		s.failQueue(result.New(result.TargetDown, "%s: %s", s.id, failure))
	}
	if !s.wanted() {
		s.failQueue(s.handedOver()) // the lost lock is not taken again
	}
	if s.opts.OnStatus != nil {
		s.opts.OnStatus(target.Status{Target: s.id}, failure, sentAt)
	}
}

func (s *slot) onLocked() {
	if s.opts.OnLock != nil {
		s.opts.OnLock(s.id, s.number)
	}
}

// committed notes that the target has applied a position.
func (s *slot) committed(position topology.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &s.latest.status
	if st.Role == target.Primary && st.Term == position.Term {
		st.Applied = topology.Later(st.Applied, position)
		st.Received = topology.Later(st.Received, position)
	}
}

func (s *slot) observed() observed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// beginCommit keeps the slot's lock until endCommit.
func (s *slot) beginCommit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits++
}

func (s *slot) endCommit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits--
	s.endIfDrained()
}

// drain refuses new streams and lets the others end; drained tells when.
// Without the lock, which is not taken any more, those that wait can't be
// served: they are refused, so that they go where the slot went.
func (s *slot) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	if !s.control.holds() {
		s.failQueueLocked(s.handedOver())
	}
	s.endIfDrained()
}

func (s *slot) handedOver() *result.Error {
	return result.New(result.NotHolder, "slot %d of %s is handed over", s.number, s.id)
}

// done tells whether nothing needs another connection any more. Needs s.mu.
func (s *slot) done() bool { return s.draining && s.queue.len() == 0 }

func (s *slot) endIfDrained() {
	if !s.done() || s.streams > 0 || s.commits > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// close ends all idle connections, then the control connection. Streams must
// have ended or been killed.
func (s *slot) close() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.failQueue(result.New(result.Draining, "slot %d of %s is handed over", s.number, s.id))
	s.closeIdle(func(*conn) bool { return true })
	s.control.stop()
	metrics.UnregisterSet(s.metrics, true)
}

func (s *slot) closeIdle(which func(*conn) bool) {
	s.mu.Lock()
	var closing []*conn
	kept := s.idle[:0]
	for _, c := range s.idle {
		if which(c) {
			closing = append(closing, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(s.idle[len(kept):])
	s.idle = kept
	s.open -= len(closing)
	s.mu.Unlock()
	for _, c := range closing {
		go c.bye()
	}
}

func (s *slot) failQueue(e *result.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failQueueLocked(e)
}

func (s *slot) failQueueLocked(e *result.Error) {
	for t := s.queue.pop(); t != nil; t = s.queue.pop() {
		t.grant <- grant{err: e}
	}
	s.endIfDrained()
}
