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
	serverVersion    = "16.4 (nettlewalk stand-in)"
	handshakeTimeout = 10 * time.Second
	clientReadBuffer = 32 << 10 // bytes
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

// serve runs one connection from its start-up message to its end.
func (s *Server) serve(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	be := pgproto3.NewBackend(conn, conn)
	msg, err := startupMessage(be, conn)
	if err != nil {
		return
	}
	switch msg := msg.(type) {
	case *pgproto3.CancelRequest:
		s.cancelRequest(msg)
	case *pgproto3.StartupMessage:
		s.serveSession(conn, be, msg)
	}
}

// startupMessage refuses encryption and returns what the client sends next.
func startupMessage(be *pgproto3.Backend, conn net.Conn) (pgproto3.FrontendMessage, error) {
	for {
		msg, err := be.ReceiveStartupMessage()
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

func (s *Server) cancelRequest(msg *pgproto3.CancelRequest) {
	s.mu.Lock()
	sess := s.sessions[msg.ProcessID]
	s.mu.Unlock()
	if sess != nil && string(sess.key) == string(msg.SecretKey) {
		sess.cancelStatement()
	}
}

func (s *Server) serveSession(conn net.Conn, be *pgproto3.Backend, msg *pgproto3.StartupMessage) {
	sess := s.register(conn, msg.Parameters["user"])
	if sess == nil {
		be.Send(pgErrorf(ctl.StateTooManyConnections, "sorry, too many clients already").response())
		_ = be.Flush()
		return
	}
	defer s.unregister(sess)
	select {
	case <-time.After(s.cfg.ConnectCost):
	case <-sess.ctx.Done():
		return
	}
	if err := sess.openDatabase(); err != nil {
		be.Send(asPG(err).response())
		_ = be.Flush()
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	for _, p := range startupParameters {
		be.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	be.Send(&pgproto3.ParameterStatus{Name: "session_authorization", Value: msg.Parameters["user"]})
	be.Send(&pgproto3.ParameterStatus{Name: "application_name", Value: msg.Parameters["application_name"]})
	be.Send(&pgproto3.BackendKeyData{ProcessID: sess.pid, SecretKey: sess.key})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if be.Flush() != nil {
		return
	}
	_ = conn.SetDeadline(time.Time{})
	sess.run()
}

// register counts the connection, or returns nil above the limit.
func (s *Server) register(conn net.Conn, user string) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.cfg.Connections || s.ctx.Err() != nil {
		return nil
	}
	s.nextPID++
	sess := &session{srv: s, conn: conn, user: user, pid: s.nextPID, key: make([]byte, 4)}
	binary.BigEndian.PutUint32(sess.key, s.nextPID)
	_, _ = rand.Read(sess.key)
	sess.ctx, sess.cancel = context.WithCancel(s.ctx)
	s.sessions[sess.pid] = sess
	s.highest = max(s.highest, len(s.sessions))
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

// watchedReader passes on what the client sends and notices its end while a
// statement runs.
func watchedReader(conn net.Conn, onEnd func()) *io.PipeReader {
	r, w := io.Pipe()
	go func() {
		buf := make([]byte, clientReadBuffer)
		for {
			n, err := conn.Read(buf)
			if n > 0 {
				if _, werr := w.Write(buf[:n]); werr != nil {
					return
				}
			}
			if err != nil {
				onEnd()
				w.CloseWithError(err)
				return
			}
		}
	}()
	return r
}
