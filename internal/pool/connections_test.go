package pool

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Guards against applying the last batch's deadline to an idle connection: the
// connection would then be taken for closed.
func TestIdleConnectionIsReusedAfterItsLastDeadline(t *testing.T) {
	f := newFixture(t)
	short := f.query(Read, "ECHO x")
	short.TimeLeft = 100 * time.Millisecond
	_, err := f.exec(short)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(short.TimeLeft) // let the deadline pass
	_, err = f.exec(f.query(Read, "ECHO x"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.fake.readInt(func() int { return f.fake.opened }), qt.Equals, 2)
}

// Without the probe of idle connections, the write would end with an unknown
// outcome at its deadline.
func TestWriteDoesNotUseASilentIdleConnection(t *testing.T) {
	f := newFixture(t)
	_, err := f.exec(f.query(Write, "INSERT a"))
	qt.Assert(t, err, qt.IsNil)
	f.dialer.mute(1)
	time.Sleep(idleProbeAfter) // idle long enough to be probed
	_, err = f.exec(f.query(Write, "INSERT b"))
	qt.Assert(t, err, qt.IsNil)
}

// Without the retry, the read would end at its deadline.
func TestSilentReadIsRetriedOnAnotherConnection(t *testing.T) {
	f := newFixture(t)
	_, err := f.exec(f.query(Read, "ROWS 1 1"))
	qt.Assert(t, err, qt.IsNil)
	f.dialer.mute(1)
	began := time.Now()
	_, err = f.exec(f.query(Read, "ROWS 1 1"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, time.Since(began) < 4*time.Second, qt.IsTrue)
}

func TestSilentSlotOwnerIsEvicted(t *testing.T) {
	f := newFixture(t)
	f.dialer.mute(0) // the target keeps its lock
	next := NewManager(Options{Self: topology.Host{ID: "next"}, Log: logr.Discard()})
	defer next.Close()
	next.SetHeldSlots([]HeldSlot{{Target: f.fake.topology(), Slot: 0, Takeover: true}})
	eventually(t, "the successor holds the slot", func() bool { return next.Dump().(State).Slots[0].Locked })
	_, err := f.mgr.VerifySlot(context.Background(), "t1", 0)
	qt.Assert(t, err, qt.IsNotNil)
	next.SetHeldSlots(nil)
}

// Guards against closing a slot that is handed over as soon as its connections
// are free: the lock would then be lost before the session of a pending commit
// is recorded.
func TestHandoverWaitsForCommits(t *testing.T) {
	recorded := make(chan topology.Position, 1)
	f := newFixture(t, func(o *Options) {
		o.OnCommit = func(_ topology.TargetID, _ int, _ string, pos topology.Position) { recorded <- pos }
	})
	f.confirm.gate = make(chan struct{})
	req := f.query(Write, "INSERT a")
	req.Session = "s"
	done := make(chan error, 1)
	go func() {
		_, err := f.exec(req)
		done <- err
	}()
	eventually(t, "the commit waits", func() bool {
		f.confirm.mu.Lock()
		defer f.confirm.mu.Unlock()
		return len(f.confirm.requested) == 1
	})
	f.mgr.SetHeldSlots(nil)
	time.Sleep(50 * time.Millisecond) // the handover must not finish in this time
	qt.Assert(t, f.fake.readInt(func() int { return len(f.fake.locks) }), qt.Equals, 1)
	close(f.confirm.gate)
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, (<-recorded).Offset, qt.Equals, uint64(1))
}

// Guards against requests that stay queued at a slot which moves to another
// host before this host has acquired its lock. The lock is then never acquired,
// and the requests used to wait for drainTimeout.
func TestDrainRefusesRequestsQueuedWithoutTheLock(t *testing.T) {
	dialing := make(chan struct{}, 10)
	opts := Options{Self: topology.Host{ID: "self"}, Log: logr.Discard(), Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		dialing <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	s := newSlot(&opts, HeldSlot{Target: topology.Target{ID: "t1", Group: "g1", Addr: "127.0.0.1:1", Connections: 16, Slots: 2}})
	defer s.close()
	<-dialing
	refused := make(chan error, 1)
	go func() {
		_, err := s.acquire(context.Background(), arrival{customer: "c", weight: 1, timeLeft: 5 * time.Second}, false)
		refused <- err
	}()
	eventually(t, "the request is queued", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.queue.len() == 1
	})
	s.drain()
	assertCode(t, <-refused, result.NotHolder)
}

// The target keeps the slot lock for the old connection. Unless that owner is
// evicted, the lock can't be acquired again.
func TestSilentControlConnectionIsReplaced(t *testing.T) {
	locks := make(chan int, 10)
	f := newFixture(t, func(o *Options) { o.OnLock = func(_ topology.TargetID, slot int) { locks <- slot } })
	qt.Assert(t, <-locks, qt.Equals, 0)
	f.dialer.mute(0)
	select {
	case <-locks:
	case <-time.After(5 * time.Second):
		t.Fatal("the lock is not reacquired")
	}
	f.awaitLock()
	_, err := f.mgr.VerifySlot(context.Background(), "t1", 0)
	qt.Assert(t, err, qt.IsNil)
	_, err = f.exec(f.query(Write, "INSERT a"))
	qt.Assert(t, err, qt.IsNil)
}

func TestLeaveFinishesStreamsAndRefusesNewOnes(t *testing.T) {
	f := newFixture(t)
	done := make(chan error, 1)
	req := f.query(Write, "HOLD")
	go func() {
		_, err := f.exec(req)
		done <- err
	}()
	eventually(t, "the statement runs", func() bool { return f.fake.readInt(func() int { return f.fake.ran["HOLD"] }) == 1 })
	left := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		f.mgr.Shutdown(ctx)
		close(left)
	}()
	eventually(t, "new streams are refused", func() bool {
		_, err := f.exec(f.query(Read, "ROWS 1 1"))
		return codeOf(err) == result.Draining
	})
	close(f.fake.unblock)
	qt.Assert(t, <-done, qt.IsNil)
	<-left
	eventually(t, "no connection is left", func() bool { return f.fake.readInt(func() int { return len(f.fake.conns) }) == 0 })
}
