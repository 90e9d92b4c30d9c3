package pool

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// staticFleet is a fleet whose holders the test sets.
type staticFleet struct{ holders []topology.HostID }

func (f staticFleet) Self() topology.Host                           { return topology.Host{ID: "self"} }
func (f staticFleet) Hosts() []topology.Host                        { return nil }
func (f staticFleet) Host(topology.HostID) (topology.Host, bool)    { return topology.Host{}, false }
func (f staticFleet) Holders(topology.Target) []topology.HostID     { return f.holders }
func (f staticFleet) RecordCall(id topology.HostID, reachable bool) {}

func TestDirectoryFallsBackToADirectConnection(t *testing.T) {
	f := startFakeTarget(t)
	m := NewManager(Options{Self: topology.Host{ID: "self"}, Log: logr.Discard()})
	t.Cleanup(func() {
		m.Close()
		f.stop()
		goleak.VerifyNone(t)
	})
	d := NewDirectory(DirectoryOptions{
		Manager:      m,
		Caller:       &fakePeers{},
		Fleet:        staticFleet{holders: []topology.HostID{"b", "c"}},
		LookupTarget: func(id topology.TargetID) (topology.Target, bool) { return f.topology(), id == "t1" },
	})
	st, err := d.Status(context.Background(), "t1")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, st.Role, qt.Equals, target.Primary)
	_, err = d.Fence(context.Background(), "t1", 7)
	qt.Assert(t, err, qt.IsNil)
	_, err = d.Status(context.Background(), "t2")
	assertCode(t, err, result.NotFound)
}

func TestFirstConclusiveHedgesAndStopsAtARefusal(t *testing.T) {
	hang := attempt{send: func(ctx context.Context) (target.Status, error) {
		<-ctx.Done()
		return target.Status{}, ctx.Err()
	}}
	respond := func(startAfter time.Duration, err error) attempt {
		return attempt{startAfter: startAfter, send: func(context.Context) (target.Status, error) {
			return target.Status{Term: 3}, err
		}}
	}
	down := result.New(result.TargetDown, "down")
	stale := &target.ErrStaleTerm{Detail: "4"}
	for _, test := range []struct {
		name     string
		attempts []attempt
		want     error
	}{
		{"a slow first attempt", []attempt{hang, respond(time.Millisecond, nil)}, nil},
		{"a failed first attempt isn't waited for", []attempt{respond(0, down), respond(time.Hour, nil)}, nil},
		{"a higher term is conclusive", []attempt{respond(0, stale), respond(time.Hour, nil)}, stale},
		{"all attempts failed", []attempt{respond(0, down), respond(0, down)}, down},
	} {
		_, err := firstConclusive(context.Background(), test.attempts)
		qt.Check(t, err, qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	_, err := firstConclusive(ctx, []attempt{hang})
	assertCode(t, err, result.TargetDown)
}

func TestStatusRoundTripsAreCoalesced(t *testing.T) {
	began := make(chan struct{}, 10)
	end := make(chan struct{})
	r := &statusCoalescer{roundTrip: func() (target.Status, error) {
		began <- struct{}{}
		<-end
		return target.Status{}, nil
	}}
	first := r.join()
	<-began
	second, third := r.join(), r.join()
	qt.Assert(t, second == first, qt.IsFalse) // the running round trip began before the call
	qt.Assert(t, second == third, qt.IsTrue)
	close(end)
	<-first.done
	<-second.done
	qt.Assert(t, len(began), qt.Equals, 1)
}

func BenchmarkExec(b *testing.B) {
	t := &testing.T{}
	f := startFakeTarget(t)
	defer f.stop()
	m := NewManager(Options{Self: topology.Host{ID: "self"}, Log: logr.Discard()})
	defer m.Close()
	m.SetHeldSlots([]HeldSlot{{Target: f.topology(), Slot: 0}})
	eventually(t, "slot locked", func() bool { return m.Dump().(State).Slots[0].Locked })
	fix := &fixture{t: t, fake: f, mgr: m}
	req := fix.query(Read, "PING")
	req.Stream.Host = "self"
	for b.Loop() {
		req.Stream.Seq++
		if _, err := m.Exec(context.Background(), req); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDirect runs the same statement without the pool, for comparison.
func BenchmarkDirect(b *testing.B) {
	t := &testing.T{}
	f := startFakeTarget(t)
	defer f.stop()
	c, err := target.DialPG(context.Background(), f.topology().Addr, target.Login{}, nil)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close(context.Background())
	for b.Loop() {
		if _, err := c.Exec(context.Background(), "PING").ReadAll(); err != nil {
			b.Fatal(err)
		}
	}
}
