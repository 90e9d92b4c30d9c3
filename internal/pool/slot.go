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
// the slot lock. Requests are queued until the lock is acquired, but refused if
// another host holds it. A dropped slot accepts no new streams and is closed
// when the last one has ended.
type slot struct {
	opts    *Options
	id      topology.TargetID
	group   topology.GroupID
	number  int
	control *controlConn
	metrics *metrics.Set

	mu             sync.Mutex
	held           HeldSlot
	leavingSince   time.Time // when the target was first seen leaving
	queue          *admissionQueue
	idle           []*conn // most recently used last
	openConns      int     // data connections, including those being opened
	openingConns   int
	activeStreams  int // streams that own a connection
	readRetries    readRetryBudget
	pendingCommits int       // commits that wait for their confirmation
	connectRetryAt time.Time // no connection is opened before this time
	draining       bool
	drained        chan struct{} // closed when the slot is draining and no request, stream or commit is left
	latest         observedStatus
}

// observedStatus is a status and the time at which it was requested.
type observedStatus struct {
	status target.Status
	sentAt time.Time // zero if no status is known
}

func newSlot(opts *Options, held HeldSlot) *slot {
	s := &slot{
		opts:    opts,
		id:      held.Target.ID,
		group:   held.Target.Group,
		number:  held.Slot,
		held:    held,
		queue:   newAdmissionQueue(maxQueuedRequests),
		drained: make(chan struct{}),
	}
	s.control = &controlConn{
		target:        held.Target,
		slot:          held.Slot,
		login:         opts.Login,
		dial:          opts.Dial,
		log:           opts.Log,
		mayEvictOwner: s.mayEvictOwner,
		wantsLock:     s.wantsLock,
		hooks: controlHooks{
			onStatus:  s.onStatus,
			onFailure: s.onFailure,
			onLocked:  s.onLocked,
		},
	}
	s.control.onReady = s.dispatch
	s.metrics = slotMetrics(s)
	s.control.start()
	return s
}

func (s *slot) target() topology.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held.Target
}

// mayEvictOwner reports whether an owner that has kept the lock for refusedFor
// counts as silent and may be evicted.
func (s *slot) mayEvictOwner(refusedFor time.Duration) bool {
	s.mu.Lock()
	takeover := s.held.Takeover
	s.mu.Unlock()
	evictAfter := takeoverAfter
	if s.opts.AnyHostLeaving != nil && s.opts.AnyHostLeaving() {
		evictAfter = drainTimeout + takeoverAfter
	}
	return takeover || refusedFor >= evictAfter
}

// wantsLock reports whether the slot lock should be acquired.
func (s *slot) wantsLock() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.draining
}

// update applies changed properties of the same slot.
func (s *slot) update(held HeldSlot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
	switch {
	case !held.Target.Leaving:
		s.leavingSince = time.Time{}
	case s.leavingSince.IsZero():
		s.leavingSince = time.Now()
	}
}

// refusesAsLeaving reports whether the slot refuses a new stream because its
// target is leaving. Reads are refused at once, writes only after another
// target has had time to become the primary.
func (s *slot) refusesAsLeaving(class Class, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.held.Target.Leaving {
		return false
	}
	return class == Read || now.Sub(s.leavingSince) > leavingWriteGrace
}

func (s *slot) onStatus(st target.Status, sentAt time.Time) {
	s.mu.Lock()
	if s.latest.sentAt.Before(sentAt) {
		s.latest = observedStatus{status: st, sentAt: sentAt}
	}
	s.mu.Unlock()
	if s.opts.OnStatus != nil {
		s.opts.OnStatus(st, nil, sentAt)
	}
}

// onFailure closes the idle connections and refuses the queued requests that
// the failed target can no longer serve.
func (s *slot) onFailure(failure *HealthError, sentAt time.Time) {
	if failure.Kind != HealthFull {
		s.closeIdle(func(*conn) bool { return true })
	}
	if failure.Kind == HealthRefused || failure.Kind == HealthNoAnswer {
		s.failQueue(result.New(result.TargetDown, "%s: %s", s.id, failure))
	}
	if !s.wantsLock() {
		s.failQueue(s.handedOverRefusal()) // a draining slot does not reacquire its lock
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

// recordCommit notes that the target has applied a commit at position.
func (s *slot) recordCommit(position topology.Position) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := &s.latest.status
	if st.Role == target.Primary && st.Term == position.Term {
		st.Applied = topology.Later(st.Applied, position)
		st.Received = topology.Later(st.Received, position)
	}
}

func (s *slot) latestStatus() observedStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// beginCommit keeps a draining slot, and with it the slot lock, until
// endCommit.
func (s *slot) beginCommit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingCommits++
}

func (s *slot) endCommit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingCommits--
	s.signalIfDrained()
}

// drain refuses new streams and lets running streams end; s.drained is closed
// when they have. Without the slot lock, which is no longer acquired, queued
// requests can't be served. They are refused, so that they are sent to the new
// holder.
func (s *slot) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return
	}
	s.draining = true
	if !s.control.holdsLock() {
		s.failQueueLocked(s.handedOverRefusal())
	}
	s.signalIfDrained()
}

func (s *slot) handedOverRefusal() *result.Error {
	return result.New(result.NotHolder, "slot %d of %s is being handed over", s.number, s.id)
}

// finished reports whether the slot is draining and no request needs a
// connection any more. The caller must hold s.mu.
func (s *slot) finished() bool { return s.draining && s.queue.len() == 0 }

// signalIfDrained closes s.drained if the slot is draining and no request,
// stream or commit is left. The caller must hold s.mu.
func (s *slot) signalIfDrained() {
	if !s.finished() || s.activeStreams > 0 || s.pendingCommits > 0 {
		return
	}
	select {
	case <-s.drained:
	default:
		close(s.drained)
	}
}

// close closes all idle connections, then the control connection. All streams
// must have ended or been aborted.
func (s *slot) close() {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.failQueue(result.New(result.Draining, "slot %d of %s is being handed over", s.number, s.id))
	s.closeIdle(func(*conn) bool { return true })
	s.control.stop()
	metrics.UnregisterSet(s.metrics, true)
}

// closeIdle closes the idle connections for which shouldClose returns true.
func (s *slot) closeIdle(shouldClose func(*conn) bool) {
	s.mu.Lock()
	var closing []*conn
	kept := s.idle[:0]
	for _, c := range s.idle {
		if shouldClose(c) {
			closing = append(closing, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(s.idle[len(kept):])
	s.idle = kept
	s.openConns -= len(closing)
	s.mu.Unlock()
	for _, c := range closing {
		go c.terminate()
	}
}

// failQueue refuses all queued requests.
func (s *slot) failQueue(e *result.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failQueueLocked(e)
}

func (s *slot) failQueueLocked(e *result.Error) {
	for t := s.queue.pop(); t != nil; t = s.queue.pop() {
		t.grant <- grant{err: e}
	}
	s.signalIfDrained()
}
