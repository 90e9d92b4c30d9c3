package pool

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	storedAnswerTTL   = 10 * time.Second // an entry host asks again within two
	storedAnswerBytes = 16 << 20         // of answers kept
	tombstoneTTL      = 90 * time.Second // longer than a peer connection keeps a delayed message
)

// batchCall is one batch with the first chunk of its answer once done is closed.
type batchCall struct {
	batch uint32
	done  chan struct{}
	reply *Reply
	err   error
}

func newBatchCall(batch uint32) *batchCall {
	return &batchCall{batch: batch, done: make(chan struct{})}
}

// size returns the bytes that the call's answer keeps, 0 before it is done.
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

// answerStore keeps the last batch of each stream that ended lately, for a time
// and within a bound of bytes. Past the bound the oldest answers are dropped,
// but the batches stay known, so that none runs again. Not safe for concurrent use.
type answerStore struct {
	ttl     time.Duration
	limit   int // bytes
	calls   map[StreamID]*batchCall
	order   []storedAnswer // oldest first
	dropped int            // leading entries of order without their answer
	bytes   int
}

type storedAnswer struct {
	id   StreamID
	at   time.Time // when it is forgotten
	size int
}

func newAnswerStore(ttl time.Duration, limit int) *answerStore {
	return &answerStore{ttl: ttl, limit: limit, calls: map[StreamID]*batchCall{}}
}

// get returns the call if the store knows that batch.
func (a *answerStore) get(id StreamID, batch uint32) *batchCall {
	if call := a.calls[id]; call != nil && call.batch == batch {
		return call
	}
	return nil
}

// put keeps a call.
func (a *answerStore) put(id StreamID, call *batchCall, now time.Time) {
	if a.calls[id] != nil {
		return
	}
	a.calls[id] = call
	a.order = append(a.order, storedAnswer{id: id, at: now.Add(a.ttl), size: call.size()})
	a.bytes += call.size()
	for a.bytes > a.limit && a.dropped < len(a.order) {
		a.drop(&a.order[a.dropped])
		a.dropped++
	}
}

func (a *answerStore) drop(entry *storedAnswer) {
	call := newBatchCall(a.calls[entry.id].batch)
	call.err = result.New(result.HolderLost, "the answer was dropped for want of room")
	close(call.done)
	a.calls[entry.id] = call
	a.bytes -= entry.size
	entry.size = 0
}

// expire forgets the calls whose time is over.
func (a *answerStore) expire(now time.Time) {
	n := 0
	for n < len(a.order) && a.order[n].at.Before(now) {
		a.bytes -= a.order[n].size
		delete(a.calls, a.order[n].id)
		n++
	}
	a.order = a.order[n:]
	a.dropped = max(a.dropped-n, 0)
}

// tombstones are streams whose caller gave them up before they arrived.
type tombstones struct {
	until map[StreamID]time.Time
	order []StreamID // oldest first
}

func newTombstones() *tombstones { return &tombstones{until: map[StreamID]time.Time{}} }

func (t *tombstones) has(id StreamID) bool {
	_, ok := t.until[id]
	return ok
}

func (t *tombstones) add(id StreamID, now time.Time) {
	if t.has(id) {
		return
	}
	t.until[id] = now.Add(tombstoneTTL)
	t.order = append(t.order, id)
}

func (t *tombstones) expire(now time.Time) {
	for len(t.order) > 0 && t.until[t.order[0]].Before(now) {
		delete(t.until, t.order[0])
		t.order = t.order[1:]
	}
}
