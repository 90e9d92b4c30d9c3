package capacity

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakePool reports fixed figures.
type fakePool struct {
	mu        sync.Mutex
	figures   Figures
	allocated int
}

func (p *fakePool) Figures() (Figures, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.figures, true
}

func (p *fakePool) Allocate(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocated = n
}

func (p *fakePool) last() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.allocated
}

// callerFunc implements peer.Caller.
type callerFunc func(host topology.HostID, args, reply any) error

func (f callerFunc) Call(_ context.Context, host topology.HostID, _ string, args, reply any) error {
	return f(host, args, reply)
}

// A target that is replaced under its ID begins with its whole capacity.
func TestReplacedTargetBeginsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		pool := &fakePool{figures: waiting(1, 20, "a")}
		var mu sync.Mutex
		identity := "10.0.0.1:1"
		c := NewCoordinator(ctx, Options{
			Self: "h0", Peers: callerFunc(nil), Enabled: func() bool { return true }, Log: logr.Discard(),
			Holders: func(topology.GroupID) []topology.HostID { return []topology.HostID{"h0"} },
			Targets: func(topology.GroupID) []HeldTarget {
				mu.Lock()
				defer mu.Unlock()
				return []HeldTarget{{ID: "t", Identity: identity, Slots: 4, Pool: pool}}
			},
		})
		pool.figures.Slowness = 900
		c.NoteWaiting("g")
		time.Sleep(3*time.Second + Interval/2)
		qt.Check(t, pool.last(), qt.Equals, 1)
		mu.Lock()
		identity = "10.0.0.2:1"
		mu.Unlock()
		pool.mu.Lock()
		pool.figures.Slowness = 0
		pool.mu.Unlock()
		time.Sleep(Interval)
		qt.Check(t, pool.last(), qt.Equals, 6)
		stop()
		synctest.Wait()
		qt.Check(t, c.Coordinated(), qt.Equals, 0)
	})
}

// A holder that the coordinator's list lacks counts as one once it woke the coordinator.
func TestHolderOutsideOfListIsPolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		pool := &fakePool{figures: waiting(1, 20, "a")}
		var polled atomic.Int64
		c := NewCoordinator(ctx, Options{
			Self: "h0", Enabled: func() bool { return true }, Log: logr.Discard(),
			Peers: callerFunc(func(host topology.HostID, args, reply any) error {
				polled.Add(1)
				*reply.(*PollReply) = PollReply{Holds: true, Targets: []TargetFigures{{"t", waiting(1, 20, "b")}}}
				return nil
			}),
			Holders: func(topology.GroupID) []topology.HostID { return []topology.HostID{"h0"} },
			Targets: func(topology.GroupID) []HeldTarget { return []HeldTarget{{ID: "t", Slots: 4, Pool: pool}} },
		})
		var reply WakeReply
		qt.Check(t, c.Service().Wake(&WakeArgs{From: "h9", Group: "g"}, &reply), qt.IsNil)
		qt.Check(t, reply.Coordinates, qt.IsTrue)
		time.Sleep(500 * time.Millisecond)
		qt.Check(t, polled.Load() > 0, qt.IsTrue)
		qt.Check(t, pool.last(), qt.Equals, 3)
		stop()
		synctest.Wait()
	})
}

// A host that isn't a holder in its own list doesn't coordinate: it would end the
// allocations that another one made.
func TestHostOutsideOfItsListDoesNotCoordinate(t *testing.T) {
	c := NewCoordinator(context.Background(), Options{
		Self: "h0", Enabled: func() bool { return true }, Log: logr.Discard(),
		Holders: func(topology.GroupID) []topology.HostID { return []topology.HostID{"h1"} },
		Targets: func(topology.GroupID) []HeldTarget { return []HeldTarget{{ID: "t", Slots: 4, Pool: &fakePool{}}} },
	})
	var reply WakeReply
	qt.Check(t, c.Service().Wake(&WakeArgs{From: "h1", Group: "g"}, &reply), qt.IsNil)
	qt.Check(t, reply.Coordinates, qt.IsFalse)
	qt.Check(t, c.Coordinated(), qt.Equals, 0)
}

// Malformed messages change no allocation beyond what a target may have, and end nothing.
func TestMalformedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := &fakePool{figures: waiting(1, 20, "a")}
		c := NewCoordinator(context.Background(), Options{
			Self: "h0", Enabled: func() bool { return true }, Log: logr.Discard(),
			Targets: func(topology.GroupID) []HeldTarget { return []HeldTarget{{ID: "t", Slots: 4, Pool: pool}} },
		})
		args := &PollArgs{Group: "g"}
		for range rapid.IntRange(0, 4).Draw(t, "allocations") {
			id := topology.TargetID(rapid.SampledFrom([]string{"t", "u", ""}).Draw(t, "target"))
			args.Allocations = append(args.Allocations, Allocation{id, rapid.Int().Draw(t, "n")})
		}
		var reply PollReply
		if err := c.Service().Poll(args, &reply); err != nil || !reply.Holds {
			t.Fatal(err, reply)
		}
		if n := pool.last(); n < 0 || n > 36 {
			t.Fatalf("allocated %d", n)
		}
	})
}

// The exchange of one poll, with three targets at all of which requests wait, is within 360
// bytes without the headers of RPCs. While requests wait at all holders of 8 groups, of six
// holders each, this is 2.1 KB/s for each of 67 hosts; the average over the day must be
// within 1 KB/s.
func TestMessageSize(t *testing.T) {
	args := &PollArgs{From: "10.20.30.40:7000", Group: "group-7"}
	reply := &PollReply{Holds: true}
	for i := range 3 {
		id := topology.TargetID(fmt.Sprintf("i-%08d", i))
		args.Allocations = append(args.Allocations, Allocation{id, 3})
		f := waiting(1, 20, "a", "b", "c", "d", "e", "f")
		f.Waiting, f.Started = [Priorities]int{3, 120, 40}, [Priorities]int{4, 12, 3}
		f.Slowness = 140
		reply.Targets = append(reply.Targets, TargetFigures{id, f})
	}
	size := 0
	for _, message := range []any{args, reply} {
		var buf bytes.Buffer
		enc := gob.NewEncoder(&buf)
		qt.Assert(t, enc.Encode(message), qt.IsNil)
		first := buf.Len() // with the description of the type, once for each connection
		qt.Assert(t, enc.Encode(message), qt.IsNil)
		t.Logf("%T: %d bytes, %d for the type", message, buf.Len()-first, first-(buf.Len()-first))
		size += buf.Len() - first
	}
	qt.Check(t, size <= 360, qt.IsTrue, qt.Commentf("%d bytes", size))
}
