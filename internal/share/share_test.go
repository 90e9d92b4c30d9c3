package share

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// All hosts together stay within the limit, with spare connections for a host
// that restarts.
func TestPlanStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, hosts := rapid.IntRange(1, 200).Draw(t, "limit"), rapid.IntRange(1, 300).Draw(t, "hosts")
		holders, size := Plan(limit, hosts)
		if holders < 1 || size < 1 || holders > hosts || holders*size > limit {
			t.Fatalf("%d holders of %d hosts with %d connections each, limit %d", holders, hosts, size, limit)
		}
	})
	for _, test := range []struct{ limit, hosts, holders, size int }{
		{16, 6, 6, 2}, {32, 8, 8, 3}, {16, 9, 9, 1}, {26, 86, 7, 3}, {98, 68, 68, 1}, {98, 20, 20, 4},
	} {
		holders, size := Plan(test.limit, test.hosts)
		qt.Check(t, []int{holders, size}, qt.DeepEquals, []int{test.holders, test.size}, qt.Commentf("%+v", test))
	}
}

func TestQueueServesPriorityThenArrival(t *testing.T) {
	now := time.Now()
	var q waitQueue
	for i, priority := range []int{2, 1, 2, 0, 1} {
		q.add(&waiter{priority: priority, arrivedAt: now.Add(time.Duration(i)), deadline: now.Add(time.Second), granted: make(chan *Conn, 1)})
	}
	qt.Check(t, q.countAhead(1), qt.Equals, 3)
	var got []time.Duration
	for w := q.popNext(now); w != nil; w = q.popNext(now) {
		got = append(got, w.arrivedAt.Sub(now))
	}
	qt.Check(t, got, qt.DeepEquals, []time.Duration{3, 1, 4, 0, 2})
}

func TestQueueRefusesExpiredWaiters(t *testing.T) {
	now := time.Now()
	var q waitQueue
	expired := &waiter{deadline: now.Add(-1), granted: make(chan *Conn, 1)}
	q.add(expired)
	qt.Check(t, q.popNext(now), qt.IsNil)
	c, open := <-expired.granted
	qt.Check(t, c, qt.IsNil)
	qt.Check(t, open, qt.IsFalse)
}

// fakeDialer opens connections up to its limit and rejects further dials.
type fakeDialer struct {
	mu    sync.Mutex
	open  int
	limit int
}

func (d *fakeDialer) Dial(context.Context, topology.Target, topology.CustomerID) (statement.Conn, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open >= d.limit {
		return nil, &statement.DialError{Outcome: statement.DialRejected, Code: statement.TooManyConnections, Cause: errors.New("connection limit reached")}
	}
	d.open++
	return &fakeConn{dialer: d}, nil
}

type fakeConn struct{ dialer *fakeDialer }

func (c *fakeConn) Exchange(time.Time, ...statement.Statement) ([]statement.Answer, error) {
	return nil, nil
}
func (c *fakeConn) Alive() bool { return true }
func (c *fakeConn) Close() {
	c.dialer.mu.Lock()
	defer c.dialer.mu.Unlock()
	c.dialer.open--
}

func newPool(t *testing.T, limit, size int) (*Pool, *fakeDialer) {
	t.Helper()
	d := &fakeDialer{limit: limit}
	p := NewPool(Options{Dialer: d, Size: size, OnDial: func(topology.TargetID, error) {}})
	t.Cleanup(p.Close)
	eventually(t, func() bool { return p.Load().Open == min(limit, size) })
	return p, d
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !condition(); {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
		<-time.After(time.Millisecond)
	}
}

func TestPoolMaintainsSize(t *testing.T) {
	p, d := newPool(t, 5, 3)
	c := p.TryAcquire("")
	p.Release(c, false)
	eventually(t, func() bool { return p.Load().Idle == 3 })
	p.SetSize(1)
	eventually(t, func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.open == 1 })
}

func TestPoolGrantsReleasedConnectionToWaiter(t *testing.T) {
	p, _ := newPool(t, 1, 1)
	c := p.TryAcquire("")
	got := make(chan *Conn)
	go func() {
		c, _ := p.Acquire("", time.Now().Add(time.Second), time.Second, 1)
		got <- c
	}()
	eventually(t, func() bool { return p.Load().Waiting == 1 })
	p.Release(c, true)
	qt.Check(t, <-got, qt.Equals, c)
}

// A request whose expected wait exceeds its deadline or its maximum wait is
// refused at once.
func TestPoolRefusesLongExpectedWaitAtOnce(t *testing.T) {
	p, _ := newPool(t, 1, 1)
	p.TryAcquire("")
	p.mu.Lock()
	p.meanHold = time.Hour // makes the expected wait long
	p.mu.Unlock()
	began := time.Now()
	_, err := p.Acquire("", began.Add(2*time.Hour), time.Minute, 1)
	qt.Check(t, err, qt.Equals, ErrWaitTooLong)
	_, err = p.Acquire("", began.Add(time.Minute), 2*time.Hour, 1)
	qt.Check(t, err, qt.Equals, ErrWaitTooLong)
	qt.Check(t, time.Since(began) < time.Minute, qt.IsTrue)
}

func TestPoolWithoutConnectionsRefuses(t *testing.T) {
	p := NewPool(Options{Dialer: &fakeDialer{}, Size: 1, OnDial: func(topology.TargetID, error) {}})
	_, err := p.Acquire("", time.Now().Add(time.Second), time.Second, 1)
	qt.Check(t, err, qt.Equals, ErrNoConnection)
	p.Close()
	_, err = p.Acquire("", time.Now().Add(time.Second), time.Second, 1)
	qt.Check(t, err, qt.Equals, ErrClosed)
}

// A wait that takes longer than expected ends after the maximum wait, so that
// the caller still has time to ask another host. Without this bound, requests
// were held for 800 ms.
func TestPoolEndsWaitAfterMaxWait(t *testing.T) {
	p, _ := newPool(t, 1, 1)
	p.TryAcquire("")
	began := time.Now()
	_, err := p.Acquire("", began.Add(time.Minute), 30*time.Millisecond, 1)
	qt.Check(t, err, qt.Equals, ErrWaitTooLong)
	qt.Check(t, time.Since(began) < 10*time.Second, qt.IsTrue)
}
