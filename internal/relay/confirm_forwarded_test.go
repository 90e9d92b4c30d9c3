package relay

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// newCommitsPair is newHostPair with confirmations at both hosts. None can be confirmed by
// the one without connections.
func newCommitsPair(t *testing.T) (local, remote *fixture, atLocal, atRemote *fakeCommits) {
	t.Helper()
	local, remote, _ = newHostPair(t)
	atLocal, atRemote = &fakeCommits{unready: true, failure: errors.New("cut off")}, &fakeCommits{}
	local.server.opts.Commits, remote.server.opts.Commits = atLocal, atRemote
	return local, remote, atLocal, atRemote
}

// The host that forwards a write needn't reach the voters, and confirms nothing twice.
func TestForwardedWriteIsConfirmedByTheHostThatRunsIt(t *testing.T) {
	checkConfirmedByRemote(t, write("a"))
	checkConfirmedByRemote(t, prepareWrite, execute)
}

func TestHostedTransactionIsConfirmedByTheHostThatCommits(t *testing.T) {
	checkConfirmedByRemote(t, begin, write("a"), read("b"), commit)
	checkConfirmedByRemote(t, prepareWrite, begin, read("b"), execute, commit)
}

// checkConfirmedByRemote runs statements of which the last one commits at another host, once
// with success and once without confirmation.
func checkConfirmedByRemote(t *testing.T, statements ...statement.Statement) {
	t.Helper()
	local, remote, atLocal, atRemote := newCommitsPair(t)
	a := local.serveStatement(local.serveAllButLast(t, statements))
	qt.Check(t, a.OK(), qt.IsTrue, qt.Commentf("%+v", a))
	qt.Check(t, local.floor, qt.Equals, remote.leader.logEnd)
	qt.Check(t, atRemote.confirmed, qt.DeepEquals, []topology.Position{remote.leader.logEnd})
	qt.Check(t, atLocal.confirmations(), qt.Equals, 0)
	qt.Check(t, atLocal.waits, qt.HasLen, 0)

	local, _, _, atRemote = newCommitsPair(t)
	atRemote.failure = errors.New("no quorum")
	a = local.serveStatement(local.serveAllButLast(t, statements))
	qt.Check(t, a.Code, qt.Equals, statement.InDoubt)
	qt.Check(t, a.State, qt.Equals, statement.Idle)
	qt.Check(t, local.floor, qt.Equals, topology.Position{})
}

// The host that runs the transaction rolls it back before it refuses the commit.
func TestHostedCommitIsNotSentWhileCommitsCannotBeConfirmed(t *testing.T) {
	local, remote, _, atRemote := newCommitsPair(t)
	local.serveStatement(begin)
	qt.Assert(t, local.serveStatement(write("a")).OK(), qt.IsTrue)
	atRemote.setUnready(true)
	a := local.serveStatement(commit)
	qt.Check(t, a.Code, qt.Equals, statement.Aborted)
	qt.Check(t, remote.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x"})
	qt.Check(t, remote.server.forwardedTxs.count(), qt.Equals, 0)
}

// Another host may reach the voters. It is asked to serve the write at once, since this host
// may just as well wait itself.
func TestHostThatCannotConfirmForwardsWrites(t *testing.T) {
	for _, statements := range [][]statement.Statement{{write("a")}, {begin, write("a"), commit}} {
		local, remote := newFixture(t, catalog.LatestData), newFixture(t, catalog.LatestData)
		remote.awaitConnections(t)
		atLocal, atRemote := &fakeCommits{unready: true}, &fakeCommits{}
		local.server.opts.Commits, remote.server.opts.Commits = atLocal, atRemote
		local.server.opts.Peers = &servicePeers{service: remote.server.Service()}
		for _, st := range statements {
			a := local.serveStatement(st)
			qt.Assert(t, a.OK(), qt.IsTrue, qt.Commentf("%s: %+v", st.Text, a))
		}
		qt.Check(t, local.leader.receivedTexts(), qt.HasLen, 0)
		qt.Check(t, atRemote.confirmations(), qt.Equals, 1)
		qt.Check(t, atLocal.confirmations(), qt.Equals, 0)
	}
	for _, statements := range [][]statement.Statement{{write("a")}, {begin, write("a")}} {
		f, commits := newCommitsFixture(t)
		commits.setUnready(true)
		peers := &atOncePeers{}
		f.server.opts.Peers = peers
		a := f.serveStatement(f.serveAllButLast(t, statements))
		qt.Check(t, a.Code, qt.Equals, statement.Busy)
		qt.Check(t, a.Detail, qt.Equals, unconfirmableDetail)
		qt.Check(t, peers.atOnce, qt.DeepEquals, []bool{true})
	}
}

// atOncePeers is one host that refuses what it is asked, and records whether it was to be
// served at once.
type atOncePeers struct{ atOnce []bool }

func (p *atOncePeers) Offers(topology.GroupID) []placement.Offer {
	return []placement.Offer{{Host: "b", Leads: true, Load: placement.Load{Idle: 1, LeaderIdle: 1}}}
}

func (p *atOncePeers) Call(_ context.Context, _ topology.HostID, _ string, args, reply any) error {
	p.atOnce = append(p.atOnce, args.(*RunArgs).AtOnce)
	*reply.(*RunReply) = RunReply{Answer: statement.Answer{Code: statement.Busy}, NeverRan: true}
	return nil
}
