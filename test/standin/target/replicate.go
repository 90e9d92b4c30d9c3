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
	heartbeatInterval     = 100 * time.Millisecond // interval between messages when there are no new entries
	replicationTimeout    = time.Second            // after this time without a message, the stream is reopened
	replicationRetryDelay = 50 * time.Millisecond
	maxEntriesPerMessage  = 500
)

// replicationRequest opens a replication stream and describes the replica's
// log.
type replicationRequest struct {
	Term  uint64              // term in which the replica was told to follow this primary
	Spans []topology.Position // last position of each term in the replica's log
}

// replicationMessage is one message from the primary to a replica.
type replicationMessage struct {
	Refused bool   // the server is neither the primary of the requested term nor the fenced former one
	Keep    uint64 // in the first message: last offset that both logs share
	Entries []Entry
}

// serveReplica streams the log to one replica. A fenced primary continues to
// stream, so that the replicas of its term receive its last entries.
func (s *Server) serveReplica(conn net.Conn) {
	defer conn.Close()
	dec, enc := gob.NewDecoder(conn), gob.NewEncoder(conn)
	_ = conn.SetDeadline(time.Now().Add(replicationTimeout))
	var request replicationRequest
	if dec.Decode(&request) != nil {
		return
	}
	next, first := uint64(0), true
	for {
		msg := s.node.nextMessage(s.ctx, request, next, first)
		if first {
			next, first = msg.Keep, false
		}
		_ = conn.SetDeadline(time.Now().Add(replicationTimeout))
		if enc.Encode(msg) != nil || msg.Refused || s.ctx.Err() != nil {
			return
		}
		next += uint64(len(msg.Entries))
	}
}

// nextMessage returns the entries after an offset. It waits for up to one
// heartbeat interval if there are none.
func (n *node) nextMessage(ctx context.Context, request replicationRequest, after uint64, first bool) replicationMessage {
	servesTerm := func() bool { return n.servesTermLocked(request.Term) }
	if !first {
		ctx, cancel := context.WithTimeout(ctx, heartbeatInterval)
		defer cancel()
		_ = n.wait(ctx, func() bool { return !servesTerm() || n.log.length() > after })
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if !servesTerm() {
		return replicationMessage{Refused: true}
	}
	var msg replicationMessage
	if first {
		msg.Keep = n.log.commonPrefix(request.Spans)
		after = msg.Keep
	}
	end := min(n.log.length(), after+maxEntriesPerMessage)
	msg.Entries = append(msg.Entries, n.log.entries[after:end]...)
	return msg
}

// replicationLoop replicates from the primary that the server was told to
// follow, reconnecting after errors.
func (s *Server) replicationLoop() {
	for s.ctx.Err() == nil {
		following := func() bool { return s.node.persisted.Role == ctl.Replica }
		if s.node.wait(s.ctx, following) != nil {
			return
		}
		if err := s.replicate(); err != nil {
			s.logf("replication: %v", err)
		}
		select {
		case <-s.ctx.Done():
		case <-time.After(replicationRetryDelay):
		}
	}
}

// replicate streams entries from the primary until an error.
func (s *Server) replicate() error {
	s.node.mu.Lock()
	role, request := s.node.persisted, replicationRequest{Term: s.node.persisted.Term, Spans: s.node.log.termEnds()}
	s.node.mu.Unlock()
	addr, ok := s.peerAddr(role.Primary)
	if !ok {
		return errors.Newf("no replication address for %s", role.Primary)
	}
	conn, err := net.DialTimeout("tcp", addr, replicationTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	go s.closeOnRoleChange(ctx, conn, role)
	dec, enc := gob.NewDecoder(conn), gob.NewEncoder(conn)
	_ = conn.SetDeadline(time.Now().Add(replicationTimeout))
	if err := enc.Encode(request); err != nil {
		return err
	}
	for first := true; ; first = false {
		_ = conn.SetReadDeadline(time.Now().Add(replicationTimeout))
		var msg replicationMessage
		if err := dec.Decode(&msg); err != nil {
			return err
		}
		if msg.Refused {
			return errors.Newf("%s is not the primary of term %d", role.Primary, role.Term)
		}
		if err := s.node.receiveMessage(s.ctx, role, msg, first); err != nil {
			return err
		}
	}
}

// closeOnRoleChange closes the stream when ctx ends or the server's role
// changes. Otherwise an unresponsive primary would keep the server from
// following the next one.
func (s *Server) closeOnRoleChange(ctx context.Context, conn net.Conn, role persistedRole) {
	_ = s.node.wait(ctx, func() bool { return s.node.persisted != role })
	conn.Close()
}

// receiveMessage appends the entries of a message, each after the receive lag.
// It fails once the server's role differs from role.
func (n *node) receiveMessage(ctx context.Context, role persistedRole, msg replicationMessage, first bool) error {
	if first {
		if err := n.truncateDiverged(role, msg.Keep); err != nil {
			return err
		}
	}
	for _, e := range msg.Entries {
		if err := n.waitReceiveLag(ctx, role, e.Time); err != nil {
			return err
		}
		if err := n.receiveEntry(role, e); err != nil {
			return err
		}
	}
	return nil
}

// waitReceiveLag waits until the receive lag since the commit time has passed.
func (n *node) waitReceiveLag(ctx context.Context, role persistedRole, committed time.Time) error {
	for {
		n.mu.Lock()
		due, changed, following := committed.Add(n.receiveLag), n.changed, n.persisted == role && !n.closed
		n.mu.Unlock()
		if !following {
			return errors.New("server no longer follows this primary")
		}
		remaining := time.Until(due)
		if remaining <= 0 {
			return nil
		}
		select {
		case <-time.After(remaining):
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *node) receiveEntry(role persistedRole, e Entry) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.persisted != role || n.closed || time.Until(e.Time.Add(n.receiveLag)) > 0 {
		return errors.New("server no longer follows this primary, or replication is paused")
	}
	if err := n.appendLocked(e); err != nil {
		return err
	}
	n.notifyLocked()
	return nil
}

// truncateDiverged drops the entries after offset, which the primary doesn't
// have. If any of them was already applied, the database is rebuilt.
func (n *node) truncateDiverged(role persistedRole, offset uint64) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.persisted != role || n.closed {
		return errors.New("server no longer follows this primary")
	}
	if offset == n.log.length() {
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

// ConfirmsPosition reports whether the server confirms a log position to the primary of the
// position's term. The server must have the entry and still be in that term:
// after a change of primary, the entry may be truncated from the server's log
// at any time.
func (s *Server) ConfirmsPosition(p topology.Position) bool {
	s.node.mu.Lock()
	defer s.node.mu.Unlock()
	return s.node.persisted.Term == p.Term && s.node.log.positionAt(p.Offset) == p
}
