package pool

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
)

// stream is the use of one connection by one caller: waiting for it, then
// owning it until a slot takes it back. One batch or chunk is worked on at a
// time, by whoever holds run.
type stream struct {
	id     StreamID
	ctx    context.Context // ended by cancel: a wait in the queue ends
	cancel context.CancelFunc
	call   *batchCall // of the last batch; guarded by the table

	mu     sync.Mutex // guards what follows
	conn   *conn      // nil: waiting, or over
	at     *slot      // where conn belongs
	class  Class      // of the first batch
	busy   int        // calls that work on the stream
	usedAt time.Time
	killed bool

	run sync.Mutex // guards the rest
	batchRun
}

// batchRun is the state of the batch under way.
type batchRun struct {
	slot     *slot // nil before the first grant and after the stream's end
	req      *Request
	answer   *answer       // nil: none is under way
	open     bool          // an earlier batch opened a transaction
	unclean  bool          // the connection keeps state of this caller
	retried  bool          // a silent connection was given up for this one
	passedOn bool          // a chunk of the answer was returned
	before   target.Status // the latest before the batch was sent
	granted  time.Time
	sentAt   time.Time
	deadline time.Time
	bytes    uint64 // of the batch and of its answer so far
}

func newStream(id StreamID, now time.Time) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	return &stream{id: id, ctx: ctx, cancel: cancel, usedAt: now}
}

// attach gives the stream a connection; false if it was killed meanwhile, the
// caller keeps the connection then.
func (s *stream) attach(sl *slot, c *conn, class Class) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return false
	}
	s.conn, s.at, s.class = c, sl, class
	return true
}

// detach takes the connection from the stream.
func (s *stream) detach() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.conn
	s.conn = nil
	return c
}

func (s *stream) connection() *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn
}

// kill ends what the stream waits for or reads; its connection is closed, so
// that the target rolls back.
func (s *stream) kill() {
	s.mu.Lock()
	s.killed = true
	c := s.conn
	s.mu.Unlock()
	s.cancel()
	if c != nil {
		c.close()
	}
}

// uses tells whether the stream owns a connection of the slot.
func (s *stream) uses(sl *slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.at == sl
}

// writesAt returns the slot at which the stream may write, nil for a read and
// for one that doesn't own a connection or was killed.
func (s *stream) writesAt() *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil || s.killed || s.class != Write {
		return nil
	}
	return s.at
}

// enter and leave mark a call that works on the stream.
func (s *stream) enter(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy++
	s.usedAt = now
}

func (s *stream) leave(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.usedAt = now
}

// idleSince returns when the stream was last used, false while a call works on it.
func (s *stream) idleSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usedAt, s.busy == 0
}
