package relay

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/statement"
)

// waitingCaller sends statements from a channel and can be interrupted.
type waitingCaller struct {
	scriptedCaller
	startup     Startup
	mu          sync.Mutex
	interrupted chan struct{}
	statements  chan statement.Statement
	answered    chan statement.Answer
	closed      bool
}

func newWaitingCaller(key string) *waitingCaller {
	return &waitingCaller{startup: Startup{Database: "db", Key: key}, interrupted: make(chan struct{}, 1),
		statements: make(chan statement.Statement), answered: make(chan statement.Answer, 1)}
}

func (c *waitingCaller) ReadStartup() (Startup, error) { return c.startup, nil }
func (c *waitingCaller) Interrupt() {
	select {
	case c.interrupted <- struct{}{}:
	default:
	}
}

func (c *waitingCaller) ClearInterrupt() {
	select {
	case <-c.interrupted:
	default:
	}
}

func (c *waitingCaller) Next(deadline time.Time) (statement.Statement, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return statement.Statement{}, ErrSessionEnded
	}
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		timeout = time.After(time.Until(deadline))
	}
	select {
	case st := <-c.statements:
		return st, nil
	case <-c.interrupted:
	case <-timeout:
	}
	return statement.Statement{}, ErrNoMessage
}

func (c *waitingCaller) Answer(a *statement.Answer) error {
	c.answered <- *a
	return nil
}

func (c *waitingCaller) CloseWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// exec returns the answer to a statement, or an unrecognized one if there is none in time.
func (c *waitingCaller) exec(st statement.Statement) statement.Answer {
	st.ID = "q"
	timeout := time.After(5 * time.Second)
	select {
	case c.statements <- st:
	case <-timeout:
		return statement.Answer{Code: statement.Unrecognized}
	}
	select {
	case a := <-c.answered:
		return a
	case <-timeout:
		return statement.Answer{Code: statement.Unrecognized}
	}
}

// serveCaller runs a session of the caller and returns a channel that is closed at its end.
func (f *fixture) serveCaller(c Caller) <-chan struct{} {
	s := f.server.newSession(c)
	f.server.mu.Lock()
	f.server.sessions[s] = true
	f.server.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.run(context.Background())
	}()
	return done
}

func isOpen(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	default:
		return true
	}
}
