package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// stubPeers answers every forwarded statement in the same way.
type stubPeers struct {
	offers []placement.Offer
	answer statement.Answer
	err    error
	mu     sync.Mutex // a rollback is sent beside the session
	calls  int
}

func (p *stubPeers) Offers(topology.GroupID) []placement.Offer { return p.offers }
func (p *stubPeers) Call(_ context.Context, _ topology.HostID, _ string, _, reply any) error {
	p.mu.Lock()
	p.calls++
	p.mu.Unlock()
	reply.(*RunReply).Answer = p.answer
	return p.err
}

// A host without a leader of its own forwards the statement, exactly once.
func TestStatementIsForwardedWithoutLocalLeader(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.group.Close()
	peers := &stubPeers{offers: []placement.Offer{{Host: "b", Leads: true}}, answer: statement.Answer{Signature: "sig", Position: topology.Position{Term: 1, Offset: 33}, HasPosition: true}}
	f.server.opts.Peers = peers
	qt.Check(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	qt.Check(t, f.floor.Offset, qt.Equals, uint64(33))
	qt.Check(t, peers.calls, qt.Equals, 1)
	peers.err = errors.New("the connection broke")
	qt.Check(t, f.serveStatement(write("a")).Code, qt.Equals, statement.InDoubt)
	qt.Check(t, f.serveStatement(read("a")).Code, qt.Equals, statement.Busy)
}

// A statement that a peer guarantees not to have run goes to the next peer, up to
// placement.MaxHostsAsked peers.
func TestBusyPeersAreTriedUpToTheLimit(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.group.Close()
	peers := &stubPeers{answer: statement.Answer{Code: statement.Busy}}
	for _, host := range []topology.HostID{"b", "c", "d"} {
		peers.offers = append(peers.offers, placement.Offer{Host: host, Leads: true})
	}
	f.server.opts.Peers = peers
	qt.Check(t, f.serveStatement(write("a")).Code, qt.Equals, statement.Busy)
	qt.Check(t, peers.calls, qt.Equals, placement.MaxHostsAsked)
}

// acquireLeaderConns acquires every connection to the leader.
func (f *fixture) acquireLeaderConns(t *testing.T) {
	t.Helper()
	_, pool, ok := f.group.Leader()
	qt.Assert(t, ok, qt.IsTrue)
	eventually(t, "the fixture's pool has opened both connections", func() bool { return pool.Load().Open >= 2 })
	for pool.TryAcquire("") != nil {
	}
}

// A no-wait statement is refused immediately although the route allows a wait.
func TestNoWaitStatementIsRefusedWhenPoolIsBusy(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.acquireLeaderConns(t)
	args := RunArgs{Configuration: 1, Database: "db", Statement: write("a"), Writes: true, Within: time.Second, AtOnce: true}
	var reply RunReply
	began := time.Now()
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, time.Since(began) < maxQueueWait(&catalog.Route{LatencyGoal: 100 * time.Millisecond, StatementTimeout: time.Second}, 0), qt.IsTrue)
	qt.Check(t, reply.Answer.Code, qt.Equals, statement.Busy)
	qt.Check(t, reply.Load.LeaderIdle, qt.Equals, 0)
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
}

// A host whose connections are all in use forwards a single statement or a
// transaction before it makes the caller wait.
func TestHostWithBusyPoolForwards(t *testing.T) {
	for _, statements := range [][]statement.Statement{{write("a")}, {begin, write("a"), commit}} {
		local, remote := newFixture(t, catalog.LatestData), newFixture(t, catalog.LatestData)
		local.acquireLeaderConns(t)
		local.server.opts.Peers = &servicePeers{service: remote.server.Service()}
		for _, st := range statements {
			a := local.serveStatement(st)
			qt.Assert(t, a.OK(), qt.IsTrue, qt.Commentf("%s: %+v", st.Text, a))
		}
		qt.Check(t, remote.leader.receivedTexts()[0], qt.Equals, "q WRITE a x")
		qt.Check(t, local.leader.receivedTexts(), qt.HasLen, 0)
	}
}

// Replicas that lag for this host lag for other hosts as well, so that only a
// connection to the leader helps.
func TestOnlyLeaderLeft(t *testing.T) {
	leader := group.Choice{Candidate: group.Candidate{ID: "p", IsLeader: true}}
	replica := group.Choice{Candidate: group.Candidate{ID: "r"}}
	r := &request{}
	qt.Check(t, r.onlyLeaderLeft(nil), qt.IsFalse) // this host has no connections at all
	qt.Check(t, r.onlyLeaderLeft([]group.Choice{leader, replica}), qt.IsFalse)
	qt.Check(t, r.onlyLeaderLeft([]group.Choice{leader}), qt.IsTrue)
	r.skipTarget("r")
	qt.Check(t, r.onlyLeaderLeft([]group.Choice{leader, replica}), qt.IsTrue)
}

// A transaction that no target began in time is refused. The refusal must not be an
// empty answer, which reads as a success: that once broke the check MIXED in a run of
// the scenario trouble-1 (Association, grown).
func TestTransactionThatNoTargetBeginsIsRefused(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.serveStatement(begin)
	st := write("a")
	r, refused := f.newRequest(&st, true, "")
	qt.Assert(t, refused, qt.IsNil)
	r.deadline = time.Now()
	a, answered := r.startTransaction(context.Background())
	qt.Check(t, answered, qt.IsTrue)
	qt.Check(t, a.Code, qt.Equals, statement.Busy)
}

// A replica that refused a read for lack of its position isn't tried again for that
// position at once, but still serves reads of the positions that it has.
func TestLaggingReplicaStillServesReachedPositions(t *testing.T) {
	f := newFixture(t, catalog.OwnWrites)
	f.replica.logEnd = topology.Position{Term: 1, Offset: 5}
	f.floor = topology.Position{Term: 1, Offset: 9}
	qt.Assert(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	lagging := func(after uint64) bool {
		for _, c := range f.group.Readers(topology.Position{Term: 1, Offset: after}) {
			if c.ID == "r" {
				return c.Lagging
			}
		}
		return false
	}
	f.group.NoteLagging("r", &statement.Answer{Code: statement.Lagging, Position: f.replica.logEnd, HasPosition: true})
	qt.Check(t, lagging(9), qt.IsTrue)
	qt.Check(t, lagging(5), qt.IsFalse)
	qt.Check(t, withoutLagging(f.group.Readers(topology.Position{Term: 1, Offset: 9})), qt.HasLen, 1)
}

// Without a leader, only lagging replicas are left to try.
func TestLaggingReplicasAreTriedWithoutLeader(t *testing.T) {
	lagging := group.Choice{Candidate: group.Candidate{ID: "r", Lagging: true}}
	leader := group.Choice{Candidate: group.Candidate{ID: "p", IsLeader: true}}
	qt.Check(t, withoutLagging([]group.Choice{lagging}), qt.HasLen, 1)
	qt.Check(t, withoutLagging([]group.Choice{leader, lagging}), qt.DeepEquals, []group.Choice{leader})
}
