package pool

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	storedResponseTTL      = 10 * time.Second // an entry host asks again within 2 s
	maxStoredResponseBytes = 16 << 20         // in total
	tombstoneTTL           = 90 * time.Second // longer than a peer connection can delay a message
)

// batchCall is one batch. Its reply, with the first chunk of the response, is
// valid once done is closed.
type batchCall struct {
	batch uint32
	done  chan struct{}
	reply *Reply
	err   error
}

func newBatchCall(batch uint32) *batchCall {
	return &batchCall{batch: batch, done: make(chan struct{})}
}

// size returns how many bytes the call's reply occupies, 0 before the call is
// done.
func (c *batchCall) size() int {
	select {
	case <-c.done:
	default:
		return 0
	}
	if c.reply == nil {
		return 0
	}
	return len(c.reply.Messages)
}

// responseStore keeps the last batch of each stream that ended recently, for a
// limited time and within a limit of bytes. Beyond the limit it drops the
// oldest responses, but remembers their batches so that none runs again. Not
// safe for concurrent use.
type responseStore struct {
	ttl      time.Duration
	maxBytes int
	calls    map[StreamID]*batchCall
	order    []storedResponse // oldest first
	dropped  int              // leading entries of order whose response was dropped
	bytes    int
}

// storedResponse is an entry in the expiry order of a responseStore.
type storedResponse struct {
	id        StreamID
	expiresAt time.Time
	size      int
}

func newResponseStore(ttl time.Duration, maxBytes int) *responseStore {
	return &responseStore{ttl: ttl, maxBytes: maxBytes, calls: map[StreamID]*batchCall{}}
}

// get returns the call of the batch, or nil if the store doesn't have it.
func (s *responseStore) get(id StreamID, batch uint32) *batchCall {
	if call := s.calls[id]; call != nil && call.batch == batch {
		return call
	}
	return nil
}

// put stores a call, unless it already has one for the stream.
func (s *responseStore) put(id StreamID, call *batchCall, now time.Time) {
	if s.calls[id] != nil {
		return
	}
	s.calls[id] = call
	s.order = append(s.order, storedResponse{id: id, expiresAt: now.Add(s.ttl), size: call.size()})
	s.bytes += call.size()
	for s.bytes > s.maxBytes && s.dropped < len(s.order) {
		s.dropResponse(&s.order[s.dropped])
		s.dropped++
	}
}

// dropResponse replaces a call by one that returns an error instead of a
// response.
func (s *responseStore) dropResponse(entry *storedResponse) {
	call := newBatchCall(s.calls[entry.id].batch)
	call.err = result.New(result.HolderLost, "the stored response was dropped to free memory")
	close(call.done)
	s.calls[entry.id] = call
	s.bytes -= entry.size
	entry.size = 0
}

// expire removes the calls whose time has passed.
func (s *responseStore) expire(now time.Time) {
	n := 0
	for n < len(s.order) && s.order[n].expiresAt.Before(now) {
		s.bytes -= s.order[n].size
		delete(s.calls, s.order[n].id)
		n++
	}
	s.order = s.order[n:]
	s.dropped = max(s.dropped-n, 0)
}

// tombstones remembers streams that their caller gave up before their request
// arrived, so that a late request doesn't run.
type tombstones struct {
	expiresAt map[StreamID]time.Time
	order     []StreamID // oldest first
}

func newTombstones() *tombstones { return &tombstones{expiresAt: map[StreamID]time.Time{}} }

func (t *tombstones) has(id StreamID) bool {
	_, ok := t.expiresAt[id]
	return ok
}

func (t *tombstones) add(id StreamID, now time.Time) {
	if t.has(id) {
		return
	}
	t.expiresAt[id] = now.Add(tombstoneTTL)
	t.order = append(t.order, id)
}

func (t *tombstones) expire(now time.Time) {
	for len(t.order) > 0 && t.expiresAt[t.order[0]].Before(now) {
		delete(t.expiresAt, t.order[0])
		t.order = t.order[1:]
	}
}
