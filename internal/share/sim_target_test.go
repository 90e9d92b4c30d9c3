package share

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// simTarget runs statements and handshakes in its work slots.
type simTarget struct {
	id      topology.TargetID
	slots   chan struct{}
	mu      sync.Mutex
	open    int
	maxOpen int
	refused int // dials
	dials   int
	working int           // work slots in use and statements that wait for one
	shed    int           // statements
	busy    time.Duration // work of all slots
}

// work takes a work slot. It returns false if the queue for one is full.
func (s *simTarget) work(d time.Duration) bool {
	s.mu.Lock()
	if s.working >= simWorkSlots+simQueue {
		s.shed++
		s.mu.Unlock()
		return false
	}
	s.working++
	s.mu.Unlock()
	s.slots <- struct{}{}
	time.Sleep(d)
	<-s.slots
	s.mu.Lock()
	s.busy += d
	s.working--
	s.mu.Unlock()
	return true
}

func (s *simTarget) Dial(_ context.Context, _ topology.Target, customer topology.CustomerID) (statement.Conn, error) {
	s.mu.Lock()
	s.dials++
	if s.open >= simLimit {
		s.refused++
		s.mu.Unlock()
		return nil, &statement.DialError{Outcome: statement.DialRejected, Code: statement.TooManyConnections, Cause: errors.New("too many connections")}
	}
	s.open++
	s.maxOpen = max(s.maxOpen, s.open)
	s.mu.Unlock()
	time.Sleep(simRoundTrip)
	for !s.work(simDialWork) {
		time.Sleep(time.Millisecond)
	}
	return &simConn{target: s, customer: customer}, nil
}

func (s *simTarget) openNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

type simConn struct {
	statement.Conn
	target   *simTarget
	customer topology.CustomerID
	once     sync.Once
}

// Exchange runs one statement, whose Text is its work. Its Name is "more" if the
// transaction goes on.
func (c *simConn) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	time.Sleep(simRoundTrip)
	work, err := time.ParseDuration(batch[0].Text)
	if err != nil {
		return nil, err
	}
	if !c.target.work(work) {
		return []statement.Answer{{Code: statement.Busy}}, nil
	}
	if batch[0].Name == "more" {
		return []statement.Answer{{State: statement.InTransaction}}, nil
	}
	return []statement.Answer{{}}, nil
}

func (c *simConn) Alive() bool { return true }
func (c *simConn) Close() {
	c.once.Do(func() {
		c.target.mu.Lock()
		defer c.target.mu.Unlock()
		c.target.open--
	})
}
