package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// awaitLeader returns the target that leads as far as the group finds out in time.
func awaitLeader(t *testing.T, g *Group) topology.TargetID {
	t.Helper()
	id, _, _ := g.WaitLeader(t.Context(), time.Now().Add(5*time.Second))
	return id
}

// A target that is promoted while it is missing in the register must not end the process when it
// proves that it leads, and must start slowly once it is registered again.
func TestProofOfUnregisteredTargetStartsNoSlowStart(t *testing.T) {
	g, _ := newRecoveryGroup(t, true)
	qt.Assert(t, awaitLeader(t, g), qt.Equals, topology.TargetID("c"))
	g.opts.Dialer.(recoveryDialer).setLeader("d")
	g.NoteLeading("d", steady.Now(), &statement.Answer{})
	last, _ := g.LastLeader()
	qt.Check(t, last, qt.Equals, topology.TargetID("d"))
	qt.Check(t, g.recovery.ramps["d"], qt.IsNil)
	setRecoveryMembers(t, g, recoveryMember("a", "a"), recoveryMember("b", "b"), recoveryMember("c", "c"), recoveryMember("d", "d"))
	qt.Check(t, awaitLeader(t, g), qt.Equals, topology.TargetID("d"))
	qt.Check(t, g.heldOff("d"), qt.IsTrue)
}

// While the leader isn't registered, the replaced one must not count as the leader.
func TestProofOfUnregisteredTargetRefutesLeader(t *testing.T) {
	g, _ := newRecoveryGroup(t, true)
	qt.Assert(t, awaitLeader(t, g), qt.Equals, topology.TargetID("c"))
	g.opts.Dialer.(recoveryDialer).setLeader("d")
	g.NoteLeading("d", steady.Now(), &statement.Answer{})
	_, _, known := g.Leader()
	qt.Check(t, known, qt.IsFalse)
	qt.Check(t, g.LeaderLoss().Demoted, qt.IsTrue)
}

// A leader that never registers again and is replaced in turn must not keep the host from finding
// its successor.
func TestSuccessorOfUnregisteredLeaderIsFound(t *testing.T) {
	for name, recoveryOn := range map[string]bool{"with slow start": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			g, _ := newRecoveryGroup(t, recoveryOn)
			qt.Assert(t, awaitLeader(t, g), qt.Equals, topology.TargetID("c"))
			dialer := g.opts.Dialer.(recoveryDialer)
			dialer.setLeader("d")
			g.NoteLeading("d", steady.Now(), &statement.Answer{})
			time.Sleep(2 * probeInterval)
			dialer.setLeader("b")
			qt.Check(t, awaitLeader(t, g), qt.Equals, topology.TargetID("b"))
		})
	}
}

// A request may prove the leadership of a target that left the register while it ran.
func TestProofOfTargetThatLeftIsNoLeader(t *testing.T) {
	g, _ := newRecoveryGroup(t, true)
	qt.Assert(t, awaitLeader(t, g), qt.Equals, topology.TargetID("c"))
	members := []catalog.Member{recoveryMember("b", "b"), recoveryMember("c", "c")}
	setRecoveryMembers(t, g, members...)
	g.opts.Dialer.(recoveryDialer).setLeader("a")
	g.NoteLeading("a", steady.Now(), &statement.Answer{})
	for _, note := range []func(){
		func() { g.NoteServed("a", time.Millisecond, &statement.Answer{}) },
		func() { g.NoteFailedAnswer("a") },
		func() { g.NoteUnreachable("a") },
		func() { g.NoteLagging("a", &statement.Answer{}) },
		func() { g.recordDial("a", nil) },
		func() { g.recordAnsweredProbe("a") },
		func() { g.NoteNotLeading("a", steady.Now()) },
	} {
		note()
	}
	_, _, known := g.Leader()
	qt.Check(t, known, qt.IsFalse)
	qt.Check(t, g.DomainOf("a"), qt.Equals, topology.Domain(""))
}
