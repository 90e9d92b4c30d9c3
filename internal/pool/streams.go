package pool

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// streamTable knows the open streams and, for streams of other hosts, the last
// batch of those that ended lately. A batch runs once: a repeat gets the first
// run's answer.
type streamTable struct {
	self topology.HostID

	mu     sync.Mutex
	open   map[StreamID]*stream
	stored *answerStore
	graves *tombstones
}

func newStreamTable(self topology.HostID) *streamTable {
	return &streamTable{
		self:   self,
		open:   map[StreamID]*stream{},
		stored: newAnswerStore(storedAnswerTTL, storedAnswerBytes),
		graves: newTombstones(),
	}
}

// begin returns the call of a batch. With a stream the caller runs the batch;
// without one it waits for the call's answer.
func (t *streamTable) begin(id StreamID, batch uint32, now time.Time) (*stream, *batchCall, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if call := t.known(id, batch); call != nil {
		return nil, call, nil
	}
	if t.graves.has(id) {
		return nil, nil, result.New(result.HostUnreachable, "the request arrived after its caller gave it up")
	}
	s := t.open[id]
	switch {
	case s == nil && batch != 1:
		return nil, nil, result.New(result.TransactionLost, "the transaction is over at its holder")
	case s == nil:
		s = newStream(id, now)
		t.open[id] = s
	case batch != s.call.batch+1:
		return nil, nil, result.New(result.BadProtocol, "batch %d after %d", batch, s.call.batch)
	}
	s.call = newBatchCall(batch)
	return s, s.call, nil
}

func (t *streamTable) expire(now time.Time) {
	t.stored.expire(now)
	t.graves.expire(now)
}

// known returns the call of a batch that is running or ended lately.
func (t *streamTable) known(id StreamID, batch uint32) *batchCall {
	if s := t.open[id]; s != nil && s.call.batch == batch {
		return s.call
	}
	return t.stored.get(id, batch)
}

// recall returns the call of a batch, nil if it never arrived. Such a batch
// won't run any more; the caller ends its stream, if there is one.
func (t *streamTable) recall(id StreamID, batch uint32, now time.Time) (*batchCall, *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if call := t.known(id, batch); call != nil {
		return call, nil
	}
	t.graves.add(id, now)
	return nil, t.open[id]
}

// finish publishes the answer of a stream's call; over ends the stream.
func (t *streamTable) finish(s *stream, call *batchCall, reply *Reply, err error, over bool, now time.Time) {
	call.reply, call.err = reply, err
	close(call.done)
	if over {
		t.remove(s, now)
	}
}

// remove forgets an open stream whose last call is done and keeps that call.
func (t *streamTable) remove(s *stream, now time.Time) {
	s.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.open[s.id] != s {
		return
	}
	delete(t.open, s.id)
	if s.id.Host != t.self {
		t.stored.put(s.id, s.call, now)
	}
}

func (t *streamTable) get(id StreamID) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open[id]
}

func (t *streamTable) all() []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	streams := make([]*stream, 0, len(t.open))
	for _, s := range t.open {
		streams = append(streams, s)
	}
	return streams
}
