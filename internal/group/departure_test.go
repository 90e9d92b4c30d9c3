package group

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const testNotice = 7 * time.Second

func TestDepartureEnd(t *testing.T) {
	qt.Check(t, departure{}.end(testNotice).IsZero(), qt.IsTrue)
	qt.Check(t, departure{known: true, since: atMS(0)}.end(0).IsZero(), qt.IsTrue)
	qt.Check(t, departure{known: true, since: atMS(0)}.end(testNotice), qt.Equals, atMS(6700))
	unknown := departure{known: true}.end(testNotice)
	qt.Check(t, !unknown.IsZero() && unknown.Before(start), qt.IsTrue, qt.Commentf("it may stop at any moment"))
}

// newDepartingGroup returns a group whose target t leads and r is a replica.
func newDepartingGroup(t *testing.T) *Group {
	t.Helper()
	g := New(Options{ID: "g", Dialer: leadingDialer{}, Log: logr.Discard(), LeaveNotice: testNotice})
	t.Cleanup(g.Close)
	setDepartingMembers(g, "t")
	id, _, found := g.WaitLeader(t.Context(), time.Now().Add(5*time.Second))
	qt.Assert(t, found, qt.IsTrue)
	qt.Assert(t, id, qt.Equals, topology.TargetID("t"))
	return g
}

func setDepartingMembers(g *Group, ids ...topology.TargetID) {
	var members []catalog.Member
	for _, id := range ids {
		members = append(members, catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id)}})
	}
	g.SetMembers(members, func(topology.Target) int { return 1 })
}

// A leaving leader that can't be replaced was used until it stopped.
func TestLeaderIsNotUsedAfterItsLeaveNotice(t *testing.T) {
	g := newDepartingGroup(t)
	ago := func(d time.Duration) map[topology.TargetID]time.Time {
		return map[topology.TargetID]time.Time{"t": steady.Now().Add(-d)}
	}
	g.SetDepartures(ago(testNotice - 2*time.Second))
	_, pool, ok := g.Leader()
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("its notice hasn't ended"))
	qt.Check(t, g.Readers(topology.Position{}), qt.HasLen, 1)
	qt.Check(t, g.offer().Leads, qt.IsTrue)
	qt.Check(t, g.LeaderLoss(), qt.Equals, LeaderLoss{})

	g.SetDepartures(ago(testNotice - arrivalMargin))
	_, _, ok = g.Leader()
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, pool.TryAcquire(""), qt.IsNil)
	qt.Check(t, g.Readers(topology.Position{}), qt.HasLen, 0)
	o := g.offer()
	qt.Check(t, o.Leads || o.Open > 0, qt.IsFalse)
	loss := g.LeaderLoss()
	qt.Check(t, loss.Leaving, qt.IsTrue)
	qt.Check(t, loss.Duration >= testNotice-arrivalMargin, qt.IsTrue)
	_, _, found := g.WaitLeader(t.Context(), time.Now().Add(5*time.Millisecond))
	qt.Check(t, found, qt.IsFalse)

	qt.Check(t, g.pools(), qt.HasLen, 0, qt.Commentf("a search for another leader needn't ask it"))

	// Anchors still come from it, so that replicas serve reads.
	id, _, ok := g.provedLeader()
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, id, qt.Equals, topology.TargetID("t"))

	g.SetDepartures(nil) // it is back
	_, _, ok = g.Leader()
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, g.LeaderLoss(), qt.Equals, LeaderLoss{})
}

// Nothing is sent to the old leader any more, so that its refusals can't tell that it was
// replaced.
func TestLeaderIsSearchedAfterLeaveNoticeOfOldOne(t *testing.T) {
	g := newDepartingGroup(t)
	g.SetDepartures(map[topology.TargetID]time.Time{"t": {}})
	setDepartingMembers(g, "t", "next")
	g.SetDepartures(map[topology.TargetID]time.Time{"t": {}})
	id, _, found := g.WaitLeader(t.Context(), time.Now().Add(5*time.Second))
	qt.Check(t, found, qt.IsTrue)
	qt.Check(t, id, qt.Equals, topology.TargetID("next"))
}

// A leaving replica is used only if it is the last target, and not after its notice either.
func TestLastReplicaIsNotUsedAfterItsLeaveNotice(t *testing.T) {
	g := newDepartingGroup(t)
	g.mu.Lock()
	g.view = leaderView{}
	g.mu.Unlock()
	qt.Check(t, g.Readers(topology.Position{}), qt.HasLen, 1)
	g.SetDepartures(map[topology.TargetID]time.Time{"t": steady.Now().Add(-testNotice)})
	qt.Check(t, g.Readers(topology.Position{}), qt.HasLen, 0)
}
