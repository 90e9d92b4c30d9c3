package target

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	ctl "nettlewalk.example/nettlewalk/internal/target"
)

const (
	serverVersion         = "16.4 (nettlewalk stand-in)"
	handshakeTimeout      = 10 * time.Second
	clientReadBufferBytes = 32 << 10
)

var startupParameters = [][2]string{
	{"server_version", serverVersion},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", "postgres"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
	{"is_superuser", "off"},
	{"default_transaction_read_only", "off"},
	{"in_hot_standby", "off"},
}

// serveConn handles one client connection from its startup message until it
// closes.
func (s *Server) serveConn(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	backend := pgproto3.NewBackend(conn, conn)
	msg, err := readStartupMessage(backend, conn)
	if err != nil {
		return
	}
	switch msg := msg.(type) {
	case *pgproto3.CancelRequest:
		s.handleCancelRequest(msg)
	case *pgproto3.StartupMessage:
		s.serveSession(conn, backend, msg)
	}
}

// readStartupMessage declines SSL and GSS encryption requests and returns the
// first other startup-phase message.
func readStartupMessage(backend *pgproto3.Backend, conn net.Conn) (pgproto3.FrontendMessage, error) {
	for {
		msg, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write([]byte{'N'}); err != nil {
				return nil, err
			}
		default:
			return msg, nil
		}
	}
}

// handleCancelRequest cancels the running statement of the session that the
// cancel key identifies.
func (s *Server) handleCancelRequest(msg *pgproto3.CancelRequest) {
	s.mu.Lock()
	sess := s.sessions[msg.ProcessID]
	s.mu.Unlock()
	if sess != nil && string(sess.cancelKey) == string(msg.SecretKey) {
		sess.cancelStatement()
	}
}

func (s *Server) serveSession(conn net.Conn, backend *pgproto3.Backend, msg *pgproto3.StartupMessage) {
	sess := s.register(conn, msg.Parameters["user"])
	if sess == nil {
		backend.Send(pgErrorf(ctl.StateTooManyConnections, "sorry, too many clients already").response())
		_ = backend.Flush()
		return
	}
	defer s.unregister(sess)
	select {
	case <-time.After(s.cfg.ConnectDelay):
	case <-sess.ctx.Done():
		return
	}
	if err := sess.openDatabase(); err != nil {
		backend.Send(toPGError(err).response())
		_ = backend.Flush()
		return
	}
	backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range startupParameters {
		backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	backend.Send(&pgproto3.ParameterStatus{Name: "session_authorization", Value: msg.Parameters["user"]})
	backend.Send(&pgproto3.ParameterStatus{Name: "application_name", Value: msg.Parameters["application_name"]})
	backend.Send(&pgproto3.BackendKeyData{ProcessID: sess.pid, SecretKey: sess.cancelKey})
	backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if backend.Flush() != nil {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	sess.run()
}

// register adds a session for the connection. It returns nil if the connection
// limit is reached or the server is closed.
func (s *Server) register(conn net.Conn, user string) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.cfg.MaxConnections || s.ctx.Err() != nil {
		return nil
	}
	s.nextPID++
	sess := &session{srv: s, conn: conn, user: user, pid: s.nextPID, cancelKey: make([]byte, 4)}
	binary.BigEndian.PutUint32(sess.cancelKey, s.nextPID)
	_, _ = rand.Read(sess.cancelKey)
	sess.ctx, sess.cancel = context.WithCancel(s.ctx)
	s.sessions[sess.pid] = sess
	s.peakConnections = max(s.peakConnections, len(s.sessions))
	return sess
}

func (s *Server) unregister(sess *session) {
	sess.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess.pid)
	for lock, pid := range s.locks {
		if pid == sess.pid {
			delete(s.locks, lock)
		}
	}
}

// newDisconnectReader forwards what the client sends and calls onDisconnect as
// soon as the connection ends, even while a statement runs.
func newDisconnectReader(conn net.Conn, onDisconnect func()) *io.PipeReader {
	r, w := io.Pipe()
	go func() {
		buf := make([]byte, clientReadBufferBytes)
		for {
			n, err := conn.Read(buf)
			if n > 0 {
				if _, werr := w.Write(buf[:n]); werr != nil {
					return
				}
			}
			if err != nil {
				onDisconnect()
				w.CloseWithError(err)
				return
			}
		}
	}()
	return r
}
