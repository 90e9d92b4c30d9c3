package pool

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
)

// stream is the use of one connection by one caller. It waits for the
// connection, then owns it until it goes back to a slot. Only the holder of
// runMu works on a batch or chunk.
type stream struct {
	id       StreamID
	ctx      context.Context // canceled to end a wait in the queue
	cancel   context.CancelFunc
	lastCall *batchCall // guarded by streamTable.mu

	mu          sync.Mutex // guards the fields up to runMu
	conn        *conn      // nil while waiting and after the end
	connSlot    *slot      // slot that conn belongs to
	class       Class      // of the first batch
	activeCalls int        // calls that work on the stream
	lastUsedAt  time.Time
	killed      bool

	runMu sync.Mutex // guards batchRun
	batchRun
}

// batchRun is the state of the current batch.
type batchRun struct {
	slot            *slot // nil before the first connection and after the stream's end
	req             *Request
	response        *response     // nil if none is being read
	openTransaction bool          // an earlier batch opened a transaction
	dirty           bool          // the connection keeps session state of this caller
	retried         bool          // the read was already retried because of a silent connection
	partlyDelivered bool          // a chunk of the response was returned
	statusBefore    target.Status // latest status of the target before the batch was sent
	grantedAt       time.Time
	sentAt          time.Time
	deadline        time.Time
	bytes           uint64 // of the batch and of its response so far
}

func newStream(id StreamID, now time.Time) *stream {
	ctx, cancel := context.WithCancel(context.Background())
	return &stream{id: id, ctx: ctx, cancel: cancel, lastUsedAt: now}
}

// attach gives the stream a connection. It returns false if the stream was
// killed in the meantime; the caller then keeps the connection.
func (s *stream) attach(sl *slot, c *conn, class Class) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed {
		return false
	}
	s.conn, s.connSlot, s.class = c, sl, class
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

// kill cancels what the stream waits for and closes its connection, so that the
// target rolls back.
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

// usesSlot reports whether the stream owns a connection of the slot.
func (s *stream) usesSlot(sl *slot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conn != nil && s.connSlot == sl
}

// writeSlot returns the slot on which the stream may write. It returns nil for
// a read stream, and if the stream owns no connection or was killed.
func (s *stream) writeSlot() *slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn == nil || s.killed || s.class != Write {
		return nil
	}
	return s.connSlot
}

// beginCall marks the start of a call that works on the stream.
func (s *stream) beginCall(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls++
	s.lastUsedAt = now
}

// endCall marks the end of a call that works on the stream.
func (s *stream) endCall(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeCalls--
	s.lastUsedAt = now
}

// idleSince returns when the stream was last used, and false while a call works
// on it.
func (s *stream) idleSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastUsedAt, s.activeCalls == 0
}
