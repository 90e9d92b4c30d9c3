package pool

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// streamTable holds the open streams and, for streams of other hosts, the last
// batch of recently ended streams. A batch runs only once: a repeated batch
// gets the reply of the first run.
type streamTable struct {
	self topology.HostID

	mu          sync.Mutex
	openStreams map[StreamID]*stream
	stored      *responseStore
	tombstones  *tombstones
}

func newStreamTable(self topology.HostID) *streamTable {
	return &streamTable{
		self:        self,
		openStreams: map[StreamID]*stream{},
		stored:      newResponseStore(storedResponseTTL, maxStoredResponseBytes),
		tombstones:  newTombstones(),
	}
}

// begin returns the call of a batch. If it also returns a stream, the caller
// must run the batch; otherwise the caller waits for the call's reply.
func (t *streamTable) begin(id StreamID, batch uint32, now time.Time) (*stream, *batchCall, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if call := t.findCall(id, batch); call != nil {
		return nil, call, nil
	}
	if t.tombstones.has(id) {
		return nil, nil, result.New(result.HostUnreachable, "the request arrived after its caller had given up")
	}
	s := t.openStreams[id]
	switch {
	case s == nil && batch != 1:
		return nil, nil, result.New(result.TransactionLost, "the transaction has already ended at its holder")
	case s == nil:
		s = newStream(id, now)
		t.openStreams[id] = s
	case batch != s.lastCall.batch+1:
		return nil, nil, result.New(result.BadProtocol, "received batch %d after batch %d", batch, s.lastCall.batch)
	}
	s.lastCall = newBatchCall(batch)
	return s, s.lastCall, nil
}

func (t *streamTable) expire(now time.Time) {
	t.stored.expire(now)
	t.tombstones.expire(now)
}

// findCall returns the call of a batch that is running or ended recently, or
// nil. The caller must hold t.mu.
func (t *streamTable) findCall(id StreamID, batch uint32) *batchCall {
	if s := t.openStreams[id]; s != nil && s.lastCall.batch == batch {
		return s.lastCall
	}
	return t.stored.get(id, batch)
}

// recall returns the call of a batch, or nil if the batch never arrived. Such a
// batch can no longer run; the caller ends the returned stream, if any.
func (t *streamTable) recall(id StreamID, batch uint32, now time.Time) (*batchCall, *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if call := t.findCall(id, batch); call != nil {
		return call, nil
	}
	t.tombstones.add(id, now)
	return nil, t.openStreams[id]
}

// finish publishes the reply of a stream's call and removes the stream if it
// has ended.
func (t *streamTable) finish(s *stream, call *batchCall, reply *Reply, err error, ended bool, now time.Time) {
	call.reply, call.err = reply, err
	close(call.done)
	if ended {
		t.remove(s, now)
	}
}

// remove removes an open stream whose last call is done. It stores that call if
// the stream belongs to another host.
func (t *streamTable) remove(s *stream, now time.Time) {
	s.cancel()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.openStreams[s.id] != s {
		return
	}
	delete(t.openStreams, s.id)
	if s.id.Host != t.self {
		t.stored.put(s.id, s.lastCall, now)
	}
}

func (t *streamTable) get(id StreamID) *stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.openStreams[id]
}

func (t *streamTable) all() []*stream {
	t.mu.Lock()
	defer t.mu.Unlock()
	streams := make([]*stream, 0, len(t.openStreams))
	for _, s := range t.openStreams {
		streams = append(streams, s)
	}
	return streams
}
