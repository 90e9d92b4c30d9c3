package group

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

var start = time.Unix(1000, 0)

func atMS(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

func position(term, offset uint64) topology.Position {
	return topology.Position{Term: term, Offset: offset}
}

func TestOlderProofDoesNotOverrideRefutation(t *testing.T) {
	var view leaderView
	qt.Check(t, view.recordLeading("a", atMS(10), position(1, 5), true, atMS(12)), qt.IsTrue)
	qt.Check(t, view.recordNotLeading("a", atMS(20), atMS(22), true), qt.IsTrue)
	qt.Check(t, view.recordLeading("a", atMS(15), position(1, 5), true, atMS(25)), qt.IsFalse)
	qt.Check(t, view.leader, qt.Equals, topology.TargetID(""))
	qt.Check(t, view.loss(atMS(30)), qt.Equals, LeaderLoss{Duration: 8 * time.Millisecond, Demoted: true})
	qt.Check(t, view.recordLeading("b", atMS(30), position(2, 6), true, atMS(31)), qt.IsTrue)
	qt.Check(t, view.loss(atMS(30)), qt.Equals, LeaderLoss{})
}

// Anchors of the previous leader must be dropped: the change of leader may have
// rolled back positions that they name.
func TestNewLeaderInvalidatesAnchors(t *testing.T) {
	var view leaderView
	view.recordLeading("a", atMS(10), position(1, 50), true, atMS(12))
	view.recordLeading("b", atMS(20), position(2, 41), true, atMS(22)) // positions after 1/40 are rolled back
	p, ok := view.anchors.CoveringPosition(atMS(5))
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, p, qt.Equals, position(2, 41))
}

func TestServedWriteIsTheNewestOfAllTerms(t *testing.T) {
	var view leaderView
	qt.Check(t, view.served.logFields(atMS(0)), qt.HasLen, 0)
	view.recordServedWrite("a", position(1, 50), atMS(10))
	view.recordServedWrite("a", position(1, 49), atMS(11)) // answers may arrive out of order
	qt.Check(t, view.served, qt.Equals, servedWrite{target: "a", position: position(1, 50), at: atMS(10)})
	view.recordServedWrite("b", position(2, 41), atMS(20))
	qt.Check(t, view.served, qt.Equals, servedWrite{target: "b", position: position(2, 41), at: atMS(20)})
}

// In whatever order proofs and refutations arrive, the known leader was proved
// by a request that was sent after every refutation of that target.
func TestBeliefFollowsTheNewestNews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var view leaderView
		refutedAt := map[topology.TargetID]int{}
		provedAt := map[topology.TargetID]int{}
		now := 0
		for range rapid.IntRange(1, 30).Draw(t, "news") {
			now += rapid.IntRange(1, 5).Draw(t, "later")
			sent := now - rapid.IntRange(0, 20).Draw(t, "delay")
			id := rapid.SampledFrom([]topology.TargetID{"a", "b", "c"}).Draw(t, "target")
			if rapid.Bool().Draw(t, "leads") {
				view.recordLeading(id, atMS(sent), position(1, 1), true, atMS(now))
				provedAt[id] = max(provedAt[id], sent)
				continue
			}
			if view.recordNotLeading(id, atMS(sent), atMS(now), true) {
				refutedAt[id] = now
			}
		}
		if view.leader != "" && provedAt[view.leader] < refutedAt[view.leader] {
			t.Fatalf("%s is the leader, proved at %d, but was refuted at %d", view.leader, provedAt[view.leader], refutedAt[view.leader])
		}
	})
}

// A host that has just started learns from other hosts which target led last,
// even if it never reached that target itself. Without this, a primary behind a
// network partition was never replaced.
func TestLastLeaderIsLearnedFromOtherHosts(t *testing.T) {
	var view leaderView
	view.recordLastLeader("a", atMS(10))
	view.recordLastLeader("b", atMS(5))
	qt.Check(t, view.lastLeader, qt.Equals, topology.TargetID("a"))
	qt.Check(t, view.leader, qt.Equals, topology.TargetID(""))
	view.recordLeading("b", atMS(20), position(1, 1), true, atMS(21))
	qt.Check(t, view.lastLeader, qt.Equals, topology.TargetID("b"))
}

func TestLagBackoffGrows(t *testing.T) {
	var backoff lagBackoff
	backoff.increase(atMS(0))
	qt.Check(t, backoff.retryAt, qt.Equals, atMS(40))
	backoff.increase(atMS(40))
	qt.Check(t, backoff.retryAt, qt.Equals, atMS(120))
	for range 9 {
		backoff.increase(atMS(0))
	}
	qt.Check(t, backoff.retryAt, qt.Equals, atMS(640))
	backoff.reset()
	qt.Check(t, backoff.retryAt.IsZero(), qt.IsTrue)
}

func candidate(id topology.TargetID, modify func(*Candidate)) Candidate {
	c := Candidate{ID: id, SameDomain: true, Open: 3, Idle: 3, Latency: 10 * time.Millisecond}
	if modify != nil {
		modify(&c)
	}
	return c
}

func TestOrder(t *testing.T) {
	for _, test := range []struct {
		name   string
		modify func(*Candidate)
	}{
		{"other domain", func(c *Candidate) { c.SameDomain = false }},
		{"busy", func(c *Candidate) { c.Idle = 0 }},
		{"slow", func(c *Candidate) { c.Latency = 40 * time.Millisecond }},
		{"leader", func(c *Candidate) { c.IsLeader = true }},
		{"lagging", func(c *Candidate) { c.Lagging = true }},
		{"failing", func(c *Candidate) { c.Failing = true }},
		{"leaving leader", func(c *Candidate) { c.Leaving, c.IsLeader = true, true }},
	} {
		got := Order([]Candidate{candidate("worse", test.modify), candidate("better", nil)})
		qt.Assert(t, got, qt.HasLen, 2)
		qt.Check(t, got[0].ID, qt.Equals, topology.TargetID("better"), qt.Commentf("%s", test.name))
	}
}

// A leaving replica gets no reads, and neither does a target without
// connections.
func TestOrderExcludesLeavingAndUnconnectedTargets(t *testing.T) {
	leaving := candidate("leaving", func(c *Candidate) { c.Leaving = true })
	closed := candidate("closed", func(c *Candidate) { c.Open, c.Idle = 0, 0 })
	got := Order([]Candidate{leaving, closed, candidate("a", nil)})
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Check(t, got[0].ID, qt.Equals, topology.TargetID("a"))
}

// noLeases grants nothing. It implements Leases.
type noLeases struct{}

func (noLeases) Target(topology.GroupID) (topology.TargetID, bool) { return "", false }
func (noLeases) Holds(topology.GroupID, topology.TargetID) bool    { return false }
func (noLeases) Covers(topology.GroupID, topology.TargetID) bool   { return false }

// Where leases are needed the claims name the last leaders, so hosts without connections
// offer nothing and digests don't grow with the groups.
func TestOffersWithLeasesAreOfConnectedGroups(t *testing.T) {
	for _, leases := range []Leases{nil, noLeases{}} {
		s := NewSet(SetOptions{Leases: leases, Log: logr.Discard()})
		s.getOrCreate("g").NoteReportedLeader("a", start)
		offered := 1
		if leases != nil {
			offered = 0
		}
		qt.Check(t, s.Offers(), qt.HasLen, offered)
	}
}

// Which domains a statement crosses follows from where the targets are, also on a host
// without connections to them.
func TestDomainsOfTargets(t *testing.T) {
	g := New(Options{ID: "g", Domain: "a", Dialer: nil, Log: logr.Discard(), OnSuspect: func(topology.GroupID, topology.TargetID, statement.DialOutcome) {}})
	defer g.Close()
	member := func(id topology.TargetID, domain topology.Domain, leaving bool) catalog.Member {
		return catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id), Domain: domain, Leaving: leaving}}
	}
	g.SetMembers([]catalog.Member{member("p", "a", false), member("q", "b", false), member("r", "b", false), member("s", "c", true)}, func(topology.Target) int { return 0 })
	domains := g.Domains()
	slices.Sort(domains)
	qt.Check(t, domains, qt.DeepEquals, []topology.Domain{"a", "b"})
	qt.Check(t, g.DomainOf("s"), qt.Equals, topology.Domain("c"))
	qt.Check(t, g.DomainOf("unknown"), qt.Equals, topology.Domain(""))
	qt.Check(t, g.LeaderDomain(), qt.Equals, topology.Domain(""))
	g.NoteReportedLeader("q", steady.Now())
	qt.Check(t, g.LeaderDomain(), qt.Equals, topology.Domain("b"))
	open, free := g.Connections()
	qt.Check(t, open, qt.Equals, 0)
	qt.Check(t, free, qt.Equals, 0)
}
