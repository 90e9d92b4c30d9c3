package group

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/outlier"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// recoveryDialer opens connections to targets of which the named one leads.
type recoveryDialer struct {
	leader *atomic.Pointer[topology.TargetID]
}

func (d recoveryDialer) setLeader(id topology.TargetID) { d.leader.Store(&id) }

func (d recoveryDialer) Dial(_ context.Context, t topology.Target, _ topology.CustomerID) (statement.Conn, error) {
	return recoveryConn{target: t.ID, leader: d.leader}, nil
}

type recoveryConn struct {
	leadingConn
	target topology.TargetID
	leader *atomic.Pointer[topology.TargetID]
}

func (c recoveryConn) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	answers := make([]statement.Answer, len(batch))
	if c.target != *c.leader.Load() {
		answers[0].Code = statement.ReadOnly
	}
	return answers, nil
}

func recoveryMember(id topology.TargetID, addr string) catalog.Member {
	return catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: addr}}
}

// newRecoveryGroup returns a group with open connections to targets a, b and c. Draws give
// *draw.
func newRecoveryGroup(t *testing.T, on bool) (g *Group, draw *float64) {
	t.Helper()
	dialer := recoveryDialer{&atomic.Pointer[topology.TargetID]{}}
	dialer.setLeader("c")
	options := Options{ID: "g", Dialer: dialer, Log: logr.Discard(), OnSuspect: func(topology.GroupID, topology.TargetID, statement.DialOutcome) {}}
	if on {
		options.Recovery = func() bool { return true }
	}
	g = New(options)
	t.Cleanup(g.Close)
	draw = new(float64)
	*draw = 0.5
	g.draw = func() float64 { return *draw }
	setRecoveryMembers(t, g, recoveryMember("a", "a"), recoveryMember("b", "b"), recoveryMember("c", "c"))
	return g, draw
}

// setRecoveryMembers sets the group's targets and waits for connections to all of them.
func setRecoveryMembers(t *testing.T, g *Group, members ...catalog.Member) {
	t.Helper()
	g.SetMembers(members, func(topology.Target) int { return 2 })
	for deadline := time.Now().Add(5 * time.Second); len(g.Readers(topology.Position{})) < len(members); {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("connections to all targets are open"))
		time.Sleep(time.Millisecond)
	}
}

// state returns how a target stands in the order of readers.
func (g *Group) state(id topology.TargetID) (heldOff, probe, first bool) {
	readers := g.Readers(topology.Position{})
	for i, c := range readers {
		if c.ID == id {
			return c.HeldOff, c.Probe, i == 0
		}
	}
	return false, false, false
}

func (g *Group) heldOff(id topology.TargetID) bool {
	heldOff, _, _ := g.state(id)
	return heldOff
}

func (g *Group) noteFailures(id topology.TargetID, failed, served int) {
	for range served {
		g.NoteServed(id, time.Millisecond, &statement.Answer{})
	}
	for range failed {
		g.NoteFailedAnswer(id)
	}
}

// A target that fails statements but answers probes and dials, as a health check does, must
// get one read in 20, and its reads back when it has recovered.
func TestGreyTargetIsHeldOffWhileProbesPass(t *testing.T) {
	g, draw := newRecoveryGroup(t, true)
	for _, id := range []topology.TargetID{"a", "b", "c"} {
		g.noteFailures(id, 0, 20)
	}
	g.noteFailures("b", 16, 0)
	g.recordAnsweredProbe("b")
	g.recordDial("b", nil)
	heldOff, probe, first := g.state("b")
	qt.Check(t, heldOff, qt.IsTrue)
	qt.Check(t, probe || first, qt.IsFalse)
	readers := g.Readers(topology.Position{})
	qt.Check(t, readers[len(readers)-1].ID, qt.Equals, topology.TargetID("b"))
	*draw = outlier.ProbeShare / 2
	heldOff, probe, first = g.state("b")
	qt.Check(t, heldOff, qt.IsFalse)
	qt.Check(t, probe && first, qt.IsTrue)
	*draw = 0.5
	for _, d := range g.Dump().Members {
		qt.Check(t, d.Recovery.Ejected, qt.Equals, d.Target.Target.ID == "b")
	}
	g.noteFailures("b", 0, 10)
	qt.Check(t, g.heldOff("b"), qt.IsTrue) // slow start
	for _, d := range g.Dump().Members {
		qt.Check(t, d.Recovery.Ejected, qt.IsFalse)
		qt.Check(t, d.Recovery.Weight < 0.9, qt.Equals, d.Target.Target.ID == "b")
	}
	*draw = 0.05
	qt.Check(t, g.heldOff("b"), qt.IsFalse) // it gets some reads
}

// The only target that can serve a read must get it, whatever it did before.
func TestLastTargetIsNotHeldOff(t *testing.T) {
	g, _ := newRecoveryGroup(t, true)
	g.noteFailures("a", 0, 20)
	g.noteFailures("b", 16, 0)
	qt.Check(t, g.heldOff("b"), qt.IsTrue)
	g.NoteFailing("a")
	g.NoteFailing("c")
	qt.Check(t, g.heldOff("b"), qt.IsFalse)
}

// A probe that wasn't answered must not remove a target that answers statements.
func TestUnansweredProbeOfAnsweringTargetIsIgnored(t *testing.T) {
	for _, on := range []bool{true, false} {
		g, _ := newRecoveryGroup(t, on)
		failing := func(sent time.Time) bool {
			g.mu.Lock()
			m := g.members["b"]
			g.mu.Unlock()
			for range maxUnansweredProbes {
				g.recordUnansweredProbe("b", m.pool, sent)
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			return steady.Now().Before(m.failingUntil)
		}
		sent := steady.Now().Add(-time.Millisecond)
		g.NoteServed("b", time.Millisecond, &statement.Answer{})
		qt.Check(t, failing(sent), qt.Equals, !on)
		qt.Check(t, failing(steady.Now()), qt.IsTrue)
	}
}

// unreachableDial is the result of a dial to a target that is down.
var unreachableDial = &statement.DialError{Outcome: statement.DialTimedOut, Cause: errors.New("cut")}

// A target that is reachable again must not get its full share of reads at once, unless all
// targets of the group return together.
func TestReachableTargetStartsSlowly(t *testing.T) {
	g, draw := newRecoveryGroup(t, true)
	g.recordDial("a", unreachableDial)
	g.recordDial("a", nil)
	clearFailing(g)
	qt.Check(t, g.heldOff("a"), qt.IsTrue)
	qt.Check(t, g.heldOff("b") || g.heldOff("c"), qt.IsFalse)
	*draw = 0.05
	qt.Check(t, g.heldOff("a"), qt.IsFalse)
	*draw = 0.5
	for _, id := range []topology.TargetID{"a", "b", "c"} {
		g.recordDial(id, unreachableDial)
	}
	for _, id := range []topology.TargetID{"a", "b", "c"} {
		g.recordDial(id, nil)
	}
	clearFailing(g)
	now := steady.Now()
	g.mu.Lock()
	candidates := []Candidate{{ID: "b", Open: 1}, {ID: "c", Open: 1}}
	g.holdOff(candidates, now)
	g.mu.Unlock()
	// Equal weights but for the time between the two returns; 0.2 s make 0.5 of them.
	qt.Check(t, candidates[0].HeldOff && candidates[1].HeldOff, qt.IsFalse)
}

// clearFailing ends the time during which targets count as failing.
func clearFailing(g *Group) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		m.failingUntil = time.Time{}
	}
}

// A target that was ejected for the answers it failed while it went down gets a slow start when it
// is reachable again, not one read in 20.
func TestOutageIsNoReasonForEjection(t *testing.T) {
	g, draw := newRecoveryGroup(t, true)
	g.noteFailures("b", 16, 0)
	qt.Check(t, g.Dump().Members, qt.HasLen, 3)
	g.recordDial("b", unreachableDial)
	g.recordDial("b", nil)
	clearFailing(g)
	*draw = 0.09 // below the initial weight and above the share of probes
	qt.Check(t, g.heldOff("b"), qt.IsFalse)
}

// Targets that are registered after the first list, or with another address, are cold.
func TestNewRegistrationStartsSlowly(t *testing.T) {
	g, _ := newRecoveryGroup(t, true)
	for _, id := range []topology.TargetID{"a", "b", "c"} {
		qt.Check(t, g.heldOff(id), qt.IsFalse)
	}
	setRecoveryMembers(t, g, recoveryMember("a", "a"), recoveryMember("b", "elsewhere"), recoveryMember("c", "c"), recoveryMember("d", "d"))
	qt.Check(t, g.heldOff("a") || g.heldOff("c"), qt.IsFalse)
	qt.Check(t, g.heldOff("b") && g.heldOff("d"), qt.IsTrue)
}

// A target that states that it is cold, or that it was started again under its ID and address,
// gets few reads at first.
func TestRestartedAndColdTargetsStartSlowly(t *testing.T) {
	g, draw := newRecoveryGroup(t, true)
	first := recoveryMember("a", "a")
	first.Incarnation = 1000
	members := []catalog.Member{first, recoveryMember("b", "b"), recoveryMember("c", "c")}
	setRecoveryMembers(t, g, members...)
	qt.Check(t, g.heldOff("a"), qt.IsFalse) // it stated no incarnation before
	members[0].Incarnation = 2000
	setRecoveryMembers(t, g, members...)
	qt.Check(t, g.heldOff("a"), qt.IsTrue)
	cold := recoveryMember("d", "d")
	cold.Cold = time.Hour
	setRecoveryMembers(t, g, append(members, cold)...)
	time.Sleep(20 * time.Millisecond)
	*draw = 0.11 // above the initial weight, and that after 20 ms of an hour
	qt.Check(t, g.heldOff("d"), qt.IsTrue)
}

// A promoted target keeps its own work as the leader, and gets few of the reads that others
// can serve.
func TestPromotedTargetStartsSlowly(t *testing.T) {
	g, _ := newRecoveryGroup(t, true)
	first, _, ok := g.WaitLeader(t.Context(), time.Now().Add(5*time.Second))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, first, qt.Equals, topology.TargetID("c"))
	qt.Check(t, g.heldOff("c"), qt.IsFalse) // found, not promoted
	g.NoteLeading("a", steady.Now().Add(time.Second), &statement.Answer{})
	leader, _, ok := g.Leader()
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, leader, qt.Equals, topology.TargetID("a"))
	qt.Check(t, g.heldOff("a"), qt.IsTrue)
}

// Where the feature is off, nothing may be held off, whatever happens.
func TestWithoutRecoveryNothingIsHeldOff(t *testing.T) {
	g, draw := newRecoveryGroup(t, false)
	*draw = 0
	g.noteFailures("a", 0, 20)
	g.noteFailures("b", 16, 0)
	g.recordDial("c", unreachableDial)
	g.recordDial("c", nil)
	clearFailing(g)
	setRecoveryMembers(t, g, recoveryMember("a", "elsewhere"), recoveryMember("b", "b"), recoveryMember("c", "c"), recoveryMember("d", "d"))
	for _, c := range g.Readers(topology.Position{}) {
		qt.Check(t, c.HeldOff || c.Probe, qt.IsFalse, qt.Commentf("%s", c.ID))
	}
	for _, d := range g.Dump().Members {
		qt.Check(t, d.Recovery, qt.IsNil)
	}
	qt.Check(t, g.recovery.ramps, qt.HasLen, 0)
}

// A probed target comes first, and one that is held off before those that can't be expected to
// serve the read.
func TestOrderOfHeldOffAndProbedTargets(t *testing.T) {
	got := Order([]Candidate{
		candidate("failing", func(c *Candidate) { c.Failing = true }),
		candidate("lagging", func(c *Candidate) { c.Lagging = true }),
		candidate("held off", func(c *Candidate) { c.HeldOff, c.Latency = true, time.Millisecond }),
		candidate("usual", nil),
		candidate("probed", func(c *Candidate) { c.Probe, c.Latency = true, time.Second }),
	})
	var ids []topology.TargetID
	for _, c := range got {
		ids = append(ids, c.ID)
	}
	qt.Check(t, ids, qt.DeepEquals, []topology.TargetID{"probed", "usual", "held off", "lagging", "failing"})
}

// Slow starts of removed targets are remembered for those that leave the list and come back, but
// not without bound.
func TestRemovedRampsAreBounded(t *testing.T) {
	g, _ := newRecoveryGroup(t, true)
	for i := range 100 {
		id := topology.TargetID(rune('d' + i))
		g.SetMembers([]catalog.Member{recoveryMember("a", "a"), recoveryMember(id, "x")}, func(topology.Target) int { return 0 })
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	qt.Check(t, len(g.recovery.ramps) <= 2*len(g.members)+maxRemovedRamps, qt.IsTrue)
}
