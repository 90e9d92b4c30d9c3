package routing

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/floor"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeGroup is a group of three targets, each with two slots on separate hosts.
// It implements every dependency of a router.
type fakeGroup struct {
	customer.View
	mu          sync.Mutex
	term        uint64
	primary     topology.TargetID
	floor       topology.Position
	floorErr    error
	requests    []pool.Request
	unreachable []topology.HostID
	released    []pool.StreamID
	// answer responds to each request; if nil, each request is answered
	// completely.
	answer      func(*pool.Request) (*pool.Reply, error)
	nextReplies []*pool.Reply // chunks that Next returns
}

func (f *fakeGroup) Customer(topology.CustomerID) (*customer.Customer, bool) { return nil, false }

func (f *fakeGroup) Group(id topology.GroupID) (*topology.Group, bool) {
	g := &topology.Group{ID: id}
	for _, c := range threeTargets().Candidates {
		g.Targets = append(g.Targets, c.Target)
	}
	return g, true
}

func (f *fakeGroup) Self() topology.Host                                { return topology.Host{ID: "self"} }
func (f *fakeGroup) Hosts() []topology.Host                             { return nil }
func (f *fakeGroup) Host(topology.HostID) (h topology.Host, known bool) { return h, false }

func (f *fakeGroup) Holders(t topology.Target) []topology.HostID {
	return []topology.HostID{topology.HostID(t.ID + "-a"), topology.HostID(t.ID + "-b")}
}

func (f *fakeGroup) RecordCall(id topology.HostID, reachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !reachable {
		f.unreachable = append(f.unreachable, id)
	}
}

func (f *fakeGroup) CurrentPrimary(topology.GroupID) (uint64, topology.TargetID, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.term, f.primary, true
}

func (f *fakeGroup) LearnPrimary(_ topology.GroupID, term uint64, primary topology.TargetID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.term, f.primary = term, primary
}

func (f *fakeGroup) Session(context.Context, topology.GroupID, string) (topology.Position, error) {
	return f.floor, f.floorErr
}

func (f *fakeGroup) Confirmed(context.Context, topology.GroupID) (topology.Position, error) {
	return f.floor, f.floorErr
}

// Exec implements pool.Executor.
func (f *fakeGroup) Exec(_ context.Context, req *pool.Request) (*pool.Reply, error) {
	f.mu.Lock()
	f.requests = append(f.requests, *req)
	f.mu.Unlock()
	if f.answer == nil {
		return &pool.Reply{Messages: []byte("row"), TxStatus: 'I'}, nil
	}
	return f.answer(req)
}

func (f *fakeGroup) Next(context.Context, pool.StreamID) (*pool.Reply, error) {
	if len(f.nextReplies) == 0 {
		return &pool.Reply{}, result.New(result.HolderLost, "holder lost")
	}
	r := f.nextReplies[0]
	f.nextReplies = f.nextReplies[1:]
	return r, nil
}

func (f *fakeGroup) Cancel(context.Context, pool.StreamID) error { return nil }

func (f *fakeGroup) Release(_ context.Context, id pool.StreamID) error {
	f.released = append(f.released, id)
	return nil
}

func (f *fakeGroup) open() Conn { return f.newRouter().Open("c", "g") }

func (f *fakeGroup) newRouter() *PlainRouter {
	return New(Config{
		Self:      "self",
		Customers: f,
		Fleet:     f,
		Executor:  func(topology.HostID) pool.Executor { return f },
		State:     f,
		Floors:    f,
		Log:       logr.Discard(),
	})
}

func newFakeGroup() *fakeGroup { return &fakeGroup{term: 1, primary: "t0"} }

func run(c Conn, call Call) (Outcome, error) {
	call.Deadline = time.Now().Add(3 * time.Second)
	return c.Run(context.Background(), &call, func([]byte) error { return nil })
}

func code(err error) result.Code {
	if err == nil {
		return result.OK
	}
	return result.As(err, 0).Code
}

func refuse(code result.Code) (*pool.Reply, error) {
	return &pool.Reply{}, result.New(code, "refused")
}

func TestTransactionKeepsStream(t *testing.T) {
	f := newFakeGroup()
	c := f.open()
	f.answer = func(*pool.Request) (*pool.Reply, error) { return &pool.Reply{TxStatus: 'T'}, nil }
	for range 2 {
		_, err := run(c, Call{Class: pool.Write})
		qt.Assert(t, err, qt.IsNil)
	}
	f.answer = nil
	_, err := run(c, Call{Class: pool.Write, MayCommit: true})
	qt.Assert(t, err, qt.IsNil)
	for i, r := range f.requests {
		qt.Assert(t, r.Stream, qt.Equals, f.requests[0].Stream)
		qt.Assert(t, r.Slot, qt.Equals, f.requests[0].Slot)
		qt.Assert(t, r.Batch, qt.Equals, uint32(i+1))
	}
	_, _ = run(c, Call{Class: pool.Write, MayCommit: true})
	qt.Assert(t, f.requests[3].Stream, qt.Not(qt.Equals), f.requests[0].Stream)
}

func TestHolderLossEndsTransactionAndUnpins(t *testing.T) {
	for mayCommit, want := range map[bool]result.Code{false: result.TransactionLost, true: result.UnknownOutcome} {
		f := newFakeGroup()
		c := f.open()
		f.answer = func(*pool.Request) (*pool.Reply, error) { return &pool.Reply{TxStatus: 'T'}, nil }
		_, _ = run(c, Call{Class: pool.Write})
		f.answer = func(*pool.Request) (*pool.Reply, error) { return refuse(result.HolderLost) }
		_, err := run(c, Call{Class: pool.Write, MayCommit: mayCommit})
		qt.Assert(t, code(err), qt.Equals, want)
		c.Close()
		qt.Assert(t, f.released, qt.HasLen, 0)
		f.answer = nil
		_, err = run(c, Call{Class: pool.Write})
		qt.Assert(t, err, qt.IsNil)
	}
}

func TestCloseReleasesOpenTransaction(t *testing.T) {
	f := newFakeGroup()
	c := f.open()
	f.answer = func(*pool.Request) (*pool.Reply, error) { return &pool.Reply{TxStatus: 'E'}, nil }
	_, _ = run(c, Call{Class: pool.Write})
	c.Close()
	qt.Assert(t, f.released, qt.DeepEquals, []pool.StreamID{f.requests[0].Stream})
}

func TestWriteWithUnknownOutcomeRunsOnce(t *testing.T) {
	f := newFakeGroup()
	f.answer = func(*pool.Request) (*pool.Reply, error) { return refuse(result.HolderLost) }
	_, err := run(f.open(), Call{Class: pool.Write, MayCommit: true})
	qt.Assert(t, code(err), qt.Equals, result.UnknownOutcome)
	qt.Assert(t, f.requests, qt.HasLen, 1)
	qt.Assert(t, f.unreachable, qt.HasLen, 1)
}

func TestRefusalAfterUnknownOutcomeReportsUnknownOutcome(t *testing.T) {
	f := newFakeGroup()
	f.answer = func(*pool.Request) (*pool.Reply, error) {
		if len(f.requests) == 1 {
			return refuse(result.HolderLost)
		}
		return refuse(result.LimitReached)
	}
	_, err := run(f.open(), Call{Class: pool.Write, MayCommit: true, Idempotent: true})
	qt.Assert(t, code(err), qt.Equals, result.UnknownOutcome)
	qt.Assert(t, f.requests, qt.HasLen, 2)
}

func TestWriteWaitsThroughFailover(t *testing.T) {
	f := newFakeGroup()
	f.answer = func(r *pool.Request) (*pool.Reply, error) {
		switch {
		case r.Target == "t2":
			return &pool.Reply{TxStatus: 'I', Position: pos(11)}, nil
		case len(f.requests) < 4:
			return refuse(result.FailoverUnderway)
		}
		hint := pool.Hint{Term: 2, Primary: "t2", Status: target.Status{Target: "t0", Role: target.Replica, Term: 2}}
		return &pool.Reply{Hint: hint}, result.New(result.NotPrimary, "primary replaced")
	}
	out, err := run(f.open(), Call{Class: pool.Write, MayCommit: true})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.Target, qt.Equals, topology.TargetID("t2"))
	qt.Assert(t, f.term, qt.Equals, uint64(2))
}

// The fake clock of the synctest bubble advances only while all goroutines are
// blocked, so load on the machine doesn't affect the measured time.
func TestWaitingWritesShareProbe(t *testing.T) { synctest.Test(t, testWaitingWritesShareProbe) }

func testWaitingWritesShareProbe(t *testing.T) {
	f := newFakeGroup()
	failoverEnd := time.Now().Add(400 * time.Millisecond)
	f.answer = func(*pool.Request) (*pool.Reply, error) {
		if time.Now().Before(failoverEnd) {
			return refuse(result.FailoverUnderway)
		}
		return &pool.Reply{TxStatus: 'I', Position: pos(11)}, nil
	}
	const writes = 100
	router := f.newRouter()
	start := time.Now()
	var callers sync.WaitGroup
	for range writes {
		callers.Go(func() {
			_, err := run(router.Open("c", "g"), Call{Class: pool.Write, MayCommit: true})
			qt.Check(t, err, qt.IsNil)
		})
	}
	callers.Wait()
	// Each write sends one request before and one after the failover ends; the
	// probe sends more in between.
	qt.Check(t, len(f.requests) < 3*writes, qt.IsTrue, qt.Commentf("%d requests", len(f.requests)))
	qt.Check(t, time.Since(start) < waiterRecheckInterval, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
}

func TestFailedProbeHandsOff(t *testing.T) {
	var g probeGate
	probe, _ := g.wait(context.Background(), false, 0)
	qt.Assert(t, probe, qt.IsTrue)
	woken := make(chan bool)
	_, succeeded, handoff := g.tryProbe()
	go func() {
		select {
		case <-handoff:
			woken <- true
		case <-succeeded:
			woken <- false
		}
	}()
	g.endProbe(false)
	qt.Assert(t, <-woken, qt.IsTrue)
}

func TestSessionWritesUseFloorSlot(t *testing.T) {
	f := newFakeGroup()
	for _, session := range []string{"a", "b", "c", "d"} {
		_, err := run(f.open(), Call{Class: pool.Write, Floor: FloorSource{Session: session}})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, f.requests[len(f.requests)-1].Slot, qt.Equals, floor.SlotOf(session, 2))
	}
}

func TestReadUsesLaterFloorAndFallsBackToPrimary(t *testing.T) {
	f := newFakeGroup()
	f.floor = pos(7)
	f.answer = func(r *pool.Request) (*pool.Reply, error) {
		if r.Target != "t0" {
			return refuse(result.BehindFloor)
		}
		return &pool.Reply{TxStatus: 'I'}, nil
	}
	out, err := run(f.open(), Call{Class: pool.Read, ReadOnly: true, Floor: FloorSource{Known: true, Position: pos(5), Session: "s"}})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out.ReadAt, qt.Equals, pos(7))
	qt.Assert(t, out.Replica, qt.IsFalse)
	qt.Assert(t, f.requests, qt.HasLen, 3) // each target once
	for _, r := range f.requests {
		qt.Assert(t, r.Floor, qt.Equals, pos(7))
	}
}

func TestReadsAvoidUnreachableHost(t *testing.T) {
	f := newFakeGroup()
	f.answer = func(r *pool.Request) (*pool.Reply, error) {
		if r.Target == "t1" {
			return refuse(result.HostUnreachable)
		}
		return &pool.Reply{TxStatus: 'I'}, nil
	}
	router := f.newRouter()
	for range 10 {
		_, err := run(router.Open("c", "g"), Call{Class: pool.Read, Floor: FloorSource{Known: true}})
		qt.Assert(t, err, qt.IsNil)
	}
	failed := 0
	for _, r := range f.requests {
		if r.Target == "t1" {
			failed++
		}
	}
	qt.Assert(t, failed <= 2, qt.IsTrue, qt.Commentf("%d requests to an unreachable host", failed))
}

func TestReadWithUnknownFloorIsRefused(t *testing.T) {
	f := newFakeGroup()
	f.floorErr = errors.New("no majority")
	_, err := run(f.open(), Call{Class: pool.Read})
	qt.Assert(t, code(err), qt.Equals, result.NoReadableTarget)
	_, err = run(f.open(), Call{Class: pool.Read, Floor: FloorSource{Known: true}})
	qt.Assert(t, err, qt.IsNil)
}

func TestNoRetryAfterPartialResponse(t *testing.T) {
	f := newFakeGroup()
	f.answer = func(*pool.Request) (*pool.Reply, error) { return &pool.Reply{Messages: []byte("row"), More: true}, nil }
	f.nextReplies = []*pool.Reply{{Messages: []byte("row"), More: true}}
	_, err := run(f.open(), Call{Class: pool.Read, ReadOnly: true, Floor: FloorSource{Known: true}})
	qt.Assert(t, code(err), qt.Equals, result.HolderLost)
	qt.Assert(t, f.requests, qt.HasLen, 1)
}
