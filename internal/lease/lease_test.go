package lease

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func atMS(n int) time.Time { return time.Unix(1000, 0).Add(time.Duration(n) * time.Millisecond) }

// A host's lease on a target has always ended when the grantor counts none as
// outstanding, however answers and revocations are delayed or lost and clocks drift.
func TestNoLeaseOutlivesItsGrantor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type message struct {
			due    int
			lease  Lease
			sentAt time.Time
			revoke bool
			period uint64
		}
		drift := rapid.IntRange(-9, 9).Draw(t, "drift per mille")
		clock := func(ms int) time.Time { return atMS(ms + ms*drift/1000) }
		var grants Grants
		var held Held
		var inFlight []message
		target := topology.TargetID("a")
		grants.Allow(target, 1, atMS(0))
		for now := 0; now < 20_000; now += 50 {
			var rest []message
			for _, m := range inFlight {
				switch {
				case m.due > now:
					rest = append(rest, m)
				case m.revoke:
					held.Revoke(1, clock(now))
					if rapid.Bool().Draw(t, "confirmed") {
						grants.ConfirmEnd("h", m.period)
					}
				default:
					held.Note(m.lease, m.sentAt)
				}
			}
			inFlight = rest
			due := now + 50*rapid.IntRange(0, 40).Draw(t, "delay")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				grants.Allow(target, 1, atMS(now))
			case 2:
				if granted, ok := grants.Grant("h", 1, atMS(now)); ok {
					inFlight = append(inFlight, message{due: due, lease: Lease{Group: "g", Target: granted, Token: 1}, sentAt: clock(now)})
				}
			case 3:
				grants.Stop()
				inFlight = append(inFlight, message{due: due, revoke: true, period: grants.Period()})
			case 4: // another target leads once no lease is left
				grants.Stop()
				if _, until := grants.Outstanding(atMS(now)); until.IsZero() {
					if held.ValidAt(clock(now)) {
						t.Fatalf("a lease on %s is valid at %d ms, none is outstanding", held.Lease().Target, now)
					}
					target = map[topology.TargetID]topology.TargetID{"a": "b", "b": "a"}[target]
				}
			}
			if held.ValidAt(clock(now)) && held.Lease().Target != target {
				t.Fatalf("a lease on %s is valid at %d ms, %s leads", held.Lease().Target, now, target)
			}
		}
	})
}

func TestGrantNeedsARecentProofUnderTheSameToken(t *testing.T) {
	var g Grants
	_, ok := g.Grant("h", 1, atMS(0))
	qt.Check(t, ok, qt.IsFalse)
	g.Allow("a", 1, atMS(0))
	target, ok := g.Grant("h", 1, atMS(600))
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, target, qt.Equals, topology.TargetID("a"))
	_, ok = g.Grant("h", 1, atMS(601))
	qt.Check(t, ok, qt.IsFalse, qt.Commentf("the proof is too old"))
	g.Allow("a", 1, atMS(700))
	_, ok = g.Grant("h", 2, atMS(700))
	qt.Check(t, ok, qt.IsFalse, qt.Commentf("the leader was verified under another token"))
}

// An answer of the former leader may be passed on for a moment after the revocation,
// which a promotion can't outrun, but nothing new may be started.
func TestRevokedLeaseCoversAnswersUnderWay(t *testing.T) {
	var h Held
	h.Note(Lease{Group: "g", Target: "a", Token: 1}, atMS(0))
	h.Revoke(1, atMS(100))
	qt.Check(t, h.ValidAt(atMS(101)), qt.IsFalse)
	qt.Check(t, h.CoversAt(atMS(179)), qt.IsTrue)
	qt.Check(t, h.CoversAt(atMS(180)), qt.IsFalse)
	h.Note(Lease{Group: "g", Target: "a", Token: 1}, atMS(90)) // requested before the revocation
	qt.Check(t, h.ValidAt(atMS(101)), qt.IsFalse)
	h.Note(Lease{Group: "g", Target: "b", Token: 1}, atMS(110))
	qt.Check(t, h.ValidAt(atMS(120)), qt.IsTrue)
	h.Note(Lease{Group: "g", Target: "a", Token: 1}, atMS(105)) // an answer that was overtaken
	qt.Check(t, h.Lease().Target, qt.Equals, topology.TargetID("b"))
	h.Note(Lease{Group: "g", Target: "a", Token: 0}, atMS(115)) // of an earlier holder
	qt.Check(t, h.Lease().Target, qt.Equals, topology.TargetID("b"))
}

// An expired lease covers nothing: the promoter counts on its end.
func TestExpiredLeaseCoversNoAnswer(t *testing.T) {
	var h Held
	h.Note(Lease{Group: "g", Target: "a", Token: 1}, atMS(0))
	qt.Check(t, h.CoversAt(atMS(999)), qt.IsTrue)
	qt.Check(t, h.CoversAt(atMS(1000)), qt.IsFalse)
}

// A late confirmation of an earlier revocation doesn't end the record of a lease that
// was granted since.
func TestLateConfirmationKeepsANewerLease(t *testing.T) {
	var g Grants
	g.Allow("a", 1, atMS(0))
	_, _ = g.Grant("h", 1, atMS(0))
	g.Stop()
	revoked := g.Period()
	g.Allow("a", 1, atMS(10))
	_, ok := g.Grant("h", 1, atMS(10))
	qt.Assert(t, ok, qt.IsTrue)
	g.ConfirmEnd("h", revoked)
	g.Stop()
	hosts, until := g.Outstanding(atMS(20))
	qt.Check(t, hosts, qt.DeepEquals, []topology.HostID{"h"})
	qt.Check(t, until, qt.Equals, atMS(10).Add(MaxLifetime))
	g.ConfirmEnd("h", g.Period())
	hosts, _ = g.Outstanding(atMS(20))
	qt.Check(t, hosts, qt.HasLen, 0)
}

// The records of hosts that no longer ask are removed, so that they don't grow with all
// hosts that ever did.
func TestRecordsOfHostsThatLeftAreRemoved(t *testing.T) {
	f := &fakeHost{settled: true}
	g := NewGrantor(GrantorOptions{Duty: f, Peers: f, OnAvailable: func() {}, Log: logr.Discard()})
	g.Allow("g", "t1", 1)
	g.Grant("gone", []topology.GroupID{"g"})
	state := g.groups["g"]
	state.revokedAt["gone"] = steady.Now()
	state.prunedAt = steady.Now().Add(-pruneInterval)
	g.Allow("g", "t1", 1)
	qt.Check(t, state.askedAt, qt.HasLen, 1, qt.Commentf("the host asked just now"))
	state.askedAt["gone"] = steady.Now().Add(-interestPeriod)
	state.prunedAt = steady.Now().Add(-pruneInterval)
	g.Allow("g", "t1", 1)
	qt.Check(t, state.askedAt, qt.HasLen, 0)
	qt.Check(t, state.revokedAt, qt.HasLen, 0)
}

// fakeHost is a holder and lessees in one process. It implements Duty and peer.Caller.
type fakeHost struct {
	mu          sync.Mutex
	settled     bool
	unreachable map[topology.HostID]bool
	lessees     map[topology.HostID]*Lessee
}

func (f *fakeHost) Token(topology.GroupID) (uint64, bool) { return 1, true }
func (f *fakeHost) Settled(topology.GroupID) bool         { f.mu.Lock(); defer f.mu.Unlock(); return f.settled }

func (f *fakeHost) Call(_ context.Context, id topology.HostID, method string, args, reply any) error {
	f.mu.Lock()
	l, cut := f.lessees[id], f.unreachable[id]
	f.mu.Unlock()
	if l == nil || cut {
		return errors.New("cut off")
	}
	s := NewService(nil, l)
	if method == revokeMethod {
		return s.Revoke(args.(*RevokeArgs), reply.(*Empty))
	}
	return s.Available(args.(*AvailableArgs), reply.(*Empty))
}

// The leases of hosts that answer end at once; that of one that is cut off is waited
// for.
func TestRevocationWaitsOnlyForSilentHosts(t *testing.T) {
	f := &fakeHost{settled: true, unreachable: map[topology.HostID]bool{}, lessees: map[topology.HostID]*Lessee{}}
	g := NewGrantor(GrantorOptions{Duty: f, Peers: f, OnAvailable: func() {}, Log: logr.Discard()})
	ended := map[topology.HostID]int{}
	for _, id := range []topology.HostID{"a", "b", "c"} {
		l := NewLessee(LesseeOptions{OnBegin: func(topology.GroupID, topology.TargetID) {}, OnEnd: func(topology.GroupID) { f.mu.Lock(); defer f.mu.Unlock(); ended[id]++ }, Log: logr.Discard()})
		f.lessees[id] = l
	}
	g.Allow("g", "t1", 1)
	for id, l := range f.lessees {
		sentAt := steady.Now()
		leases := g.Grant(id, []topology.GroupID{"g"})
		qt.Assert(t, leases, qt.HasLen, 1)
		l.Note(leases, sentAt)
		qt.Check(t, l.Holds("g", "t1"), qt.IsTrue)
	}
	f.mu.Lock()
	f.unreachable["c"] = true
	f.mu.Unlock()
	g.Revoke("g")
	qt.Check(t, g.Grant("a", []topology.GroupID{"g"}), qt.HasLen, 0)
	for deadline := time.Now().Add(5 * time.Second); len(g.Dump()[0].GrantedMS) > 1 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, g.Dump()[0].Outstanding, qt.Equals, 1)
	qt.Check(t, g.Outstanding("g").IsZero(), qt.IsFalse)
	qt.Check(t, f.lessees["a"].Holds("g", "t1"), qt.IsFalse)
	qt.Check(t, f.lessees["c"].Holds("g", "t1"), qt.IsTrue)
	f.mu.Lock()
	qt.Check(t, ended, qt.DeepEquals, map[topology.HostID]int{"a": 1, "b": 1})
	f.mu.Unlock()
	for deadline := time.Now().Add(5 * time.Second); !g.Outstanding("g").IsZero() && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	qt.Check(t, f.lessees["c"].Holds("g", "t1"), qt.IsFalse)
	f.mu.Lock()
	f.settled = false
	f.mu.Unlock()
	g.Allow("g", "t2", 1)
	qt.Check(t, g.Grant("a", []topology.GroupID{"g"}), qt.HasLen, 0, qt.Commentf("a holder without lasting contact grants nothing"))
}

// Hosts that asked for a lease in vain are told once one can be granted, and so is this
// host itself.
func TestHostsAreToldOfANewLeader(t *testing.T) {
	f := &fakeHost{settled: true, lessees: map[topology.HostID]*Lessee{}}
	told := 0
	g := NewGrantor(GrantorOptions{Duty: f, Peers: f, OnAvailable: func() { told++ }, Log: logr.Discard()})
	l := NewLessee(LesseeOptions{Log: logr.Discard()})
	f.lessees["a"] = l
	qt.Check(t, g.Grant("a", []topology.GroupID{"g"}), qt.HasLen, 0)
	g.Allow("g", "t1", 1)
	select {
	case <-l.wake:
	case <-time.After(5 * time.Second):
		t.Fatal("the host isn't told")
	}
	g.Allow("g", "t1", 1)
	qt.Check(t, told, qt.Equals, 1)
}
