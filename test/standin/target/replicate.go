package target

import (
	"context"
	"encoding/gob"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	ctl "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	replicationBeat    = 100 * time.Millisecond // sent when there is nothing new
	replicationTimeout = time.Second            // a silent stream is opened again
	replicationRetry   = 50 * time.Millisecond
	replicationBatch   = 500 // entries a message
)

// hello opens a stream: the replica tells which log it has.
type hello struct {
	Term  uint64 // of the primary that it was told to follow
	Spans []topology.Position
}

// batch is one message of the primary.
type batch struct {
	Refused bool   // neither the primary of that term nor its fenced former one
	Keep    uint64 // in the first message: last offset that both logs share
	Entries []Entry
}

// serveReplica streams the log to one replica. A fenced primary goes on, so
// that replicas of its term get its last entries.
func (s *Server) serveReplica(conn net.Conn) {
	defer conn.Close()
	dec, enc := gob.NewDecoder(conn), gob.NewEncoder(conn)
	_ = conn.SetDeadline(time.Now().Add(replicationTimeout))
	var h hello
	if dec.Decode(&h) != nil {
		return
	}
	next, first := uint64(0), true
	for {
		b := s.node.nextBatch(s.ctx, h, next, first)
		if first {
			next, first = b.Keep, false
		}
		_ = conn.SetDeadline(time.Now().Add(replicationTimeout))
		if enc.Encode(b) != nil || b.Refused || s.ctx.Err() != nil {
			return
		}
		next += uint64(len(b.Entries))
	}
}

// nextBatch returns the entries past offset, waiting for one beat if there are none.
func (n *node) nextBatch(ctx context.Context, h hello, after uint64, first bool) batch {
	serves := func() bool { return n.servesLocked(h.Term) }
	if !first {
		ctx, cancel := context.WithTimeout(ctx, replicationBeat)
		defer cancel()
		_ = n.wait(ctx, func() bool { return !serves() || n.log.len() > after })
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !serves() {
		return batch{Refused: true}
	}
	var b batch
	if first {
		b.Keep = n.log.common(h.Spans)
		after = b.Keep
	}
	end := min(n.log.len(), after+replicationBatch)
	b.Entries = append(b.Entries, n.log.entries[after:end]...)
	return b
}

// pullLoop follows the primary that the server was told to follow.
func (s *Server) pullLoop() {
	for s.ctx.Err() == nil {
		following := func() bool { return s.node.meta.Role == ctl.Replica }
		if s.node.wait(s.ctx, following) != nil {
			return
		}
		if err := s.pull(); err != nil {
			s.logf("replication: %v", err)
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(replicationRetry):
		}
	}
}

func (s *Server) pull() error {
	s.node.mu.Lock()
	m, h := s.node.meta, hello{Term: s.node.meta.Term, Spans: s.node.log.spans()}
	s.node.mu.Unlock()
	addr, ok := s.peerAddr(m.Primary)
	if !ok {
		return errors.Newf("no address of %s", m.Primary)
	}
	conn, err := net.DialTimeout("tcp", addr, replicationTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	go s.closeWhenStale(ctx, conn, m)
	dec, enc := gob.NewDecoder(conn), gob.NewEncoder(conn)
	_ = conn.SetDeadline(time.Now().Add(replicationTimeout))
	if err := enc.Encode(h); err != nil {
		return err
	}
	for first := true; ; first = false {
		_ = conn.SetReadDeadline(time.Now().Add(replicationTimeout))
		var b batch
		if err := dec.Decode(&b); err != nil {
			return err
		}
		if b.Refused {
			return errors.Newf("%s is not the primary of term %d", m.Primary, m.Term)
		}
		if err := s.node.receive(s.ctx, m, b, first); err != nil {
			return err
		}
	}
}

// closeWhenStale ends a stream once ctx is over or the server has other orders:
// a silent primary must not keep it from the next one.
func (s *Server) closeWhenStale(ctx context.Context, conn net.Conn, m meta) {
	_ = s.node.wait(ctx, func() bool { return s.node.meta != m })
	conn.Close()
}

// receive appends a batch, after the receive lag, while the server still
// follows as m says.
func (n *node) receive(ctx context.Context, m meta, b batch, first bool) error {
	if first {
		if err := n.keep(m, b.Keep); err != nil {
			return err
		}
	}
	for _, e := range b.Entries {
		if err := n.waitLag(ctx, m, e.Time); err != nil {
			return err
		}
		if err := n.receiveOne(m, e); err != nil {
			return err
		}
	}
	return nil
}

// waitLag waits until the receive lag since the commit is over.
func (n *node) waitLag(ctx context.Context, m meta, committed time.Time) error {
	for {
		n.mu.Lock()
		due, changed, same := committed.Add(n.receiveLag), n.changed, n.meta == m && !n.closed
		n.mu.Unlock()
		if !same {
			return errors.New("no longer follows")
		}
		left := time.Until(due)
		if left <= 0 {
			return nil
		}
		select {
		case <-time.After(left):
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *node) receiveOne(m meta, e Entry) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.meta != m || n.closed || time.Until(e.Time.Add(n.receiveLag)) > 0 {
		return errors.New("no longer follows, or is paused since")
	}
	if err := n.appendLocked(e); err != nil {
		return err
	}
	n.notifyLocked()
	return nil
}

// keep drops what the primary doesn't have. Entries that readers saw need a
// new database.
func (n *node) keep(m meta, offset uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.meta != m || n.closed {
		return errors.New("no longer follows")
	}
	if offset == n.log.len() {
		return nil
	}
	if err := n.log.truncate(offset); err != nil {
		return err
	}
	n.receivedAt = n.receivedAt[:offset]
	if n.applied <= offset {
		return nil
	}
	if err := n.onRebuild(); err != nil {
		return err
	}
	n.applied = offset
	n.notifyLocked()
	return nil
}
