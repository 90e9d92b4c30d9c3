package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// servicePeers runs forwarded statements on the Service of another server.
type servicePeers struct {
	service        *Service
	loseNextAnswer bool // the next answer is lost
	loseRollbacks  bool // rollbacks don't arrive
}

func (p *servicePeers) Offers(topology.GroupID) []placement.Offer {
	return []placement.Offer{{Host: "b", Leads: true}}
}

func (p *servicePeers) Call(_ context.Context, _ topology.HostID, _ string, args, reply any) error {
	if p.loseRollbacks && args.(*RunArgs).Statement.Kind == statement.Rollback {
		return errors.New("cut off")
	}
	err := p.service.Run(args.(*RunArgs), reply.(*RunReply))
	if p.loseNextAnswer {
		p.loseNextAnswer = false
		return errors.New("the connection broke")
	}
	return err
}

// newHostPair returns a host without connections, a host that has them, and the
// stub through which the first forwards statements to the second.
func newHostPair(t *testing.T) (local, remote *fixture, peers *servicePeers) {
	t.Helper()
	local, remote = newFixture(t, catalog.LatestData), newFixture(t, catalog.LatestData)
	local.group.Close()
	peers = &servicePeers{service: remote.server.Service()}
	local.server.opts.Peers = peers
	return local, remote, peers
}

// A transaction for which this host has no connection runs on another host.
func TestTransactionRunsOnPeer(t *testing.T) {
	local, remote, _ := newHostPair(t)
	local.serveStatement(statement.Statement{Kind: statement.Set, Name: "tz", Value: "utc", Text: "SET tz utc"})
	local.serveStatement(begin)
	qt.Assert(t, local.serveStatement(write("a")).State, qt.Equals, statement.InTransaction)
	local.serveStatement(statement.Statement{Kind: statement.Set, Name: "tz", Value: "cet", Text: "SET tz cet"})
	qt.Assert(t, local.serveStatement(read("b")).OK(), qt.IsTrue)
	qt.Check(t, remote.server.forwardedTxs.count(), qt.Equals, 1)
	a := local.serveStatement(commit)
	qt.Check(t, a.OK(), qt.IsTrue)
	qt.Check(t, a.State, qt.Equals, statement.Idle)
	qt.Check(t, local.floor, qt.Equals, remote.leader.logEnd)
	qt.Check(t, remote.server.forwardedTxs.count(), qt.Equals, 0)
	qt.Check(t, remote.leader.receivedTexts(), qt.DeepEquals, []string{"- SET tz utc", "q WRITE a x", "- SET tz cet", "q READ b", "q COMMIT"})
}

func TestLostCommitAnswerFromPeerIsInDoubt(t *testing.T) {
	for _, test := range []struct {
		st   statement.Statement
		want statement.Code
	}{{write("a"), statement.InDoubt}, {read("a"), statement.Aborted}} {
		local, _, peers := newHostPair(t)
		local.serveStatement(begin)
		local.serveStatement(test.st)
		peers.loseNextAnswer = true
		a := local.serveStatement(commit)
		qt.Check(t, a.Code, qt.Equals, test.want)
		qt.Check(t, a.State, qt.Equals, statement.Idle)
	}
}

// A host that refuses a statement or the commit because its configuration is older is told
// to roll back. Otherwise the transaction keeps a connection until the idle timeout.
func TestTransactionRefusedForOlderConfigurationIsRolledBack(t *testing.T) {
	for _, test := range []struct {
		st    statement.Statement
		state statement.State
	}{{write("b"), statement.Failed}, {commit, statement.Idle}} {
		local, remote, _ := newHostPair(t)
		remote.config.TransactionIdle = time.Minute
		local.serveStatement(begin)
		qt.Assert(t, local.serveStatement(write("a")).State, qt.Equals, statement.InTransaction)
		local.config.Version++
		a := local.serveStatement(test.st)
		qt.Check(t, a.Code, qt.Equals, statement.Busy)
		qt.Check(t, a.State, qt.Equals, test.state)
		eventually(t, "the other host rolls back", func() bool { return remote.server.forwardedTxs.count() == 0 })
		qt.Check(t, remote.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x"})
		if test.state == statement.Failed {
			a = local.serveStatement(statement.Statement{Kind: statement.Rollback})
			qt.Check(t, a.OK(), qt.IsTrue)
		}
	}
}

// If the answer to the first statement is lost, the other host runs a transaction that its
// session has given up.
func TestTransactionWithLostFirstAnswerIsRolledBack(t *testing.T) {
	local, remote, peers := newHostPair(t)
	remote.config.TransactionIdle = time.Minute
	local.serveStatement(begin)
	peers.loseNextAnswer = true
	a := local.serveStatement(write("a"))
	qt.Check(t, a.Code, qt.Equals, statement.Aborted)
	qt.Check(t, a.State, qt.Equals, statement.Failed)
	eventually(t, "the other host rolls back", func() bool { return remote.server.forwardedTxs.count() == 0 })
}

// A lost answer aborts the transaction with a guarantee that nothing is kept, and
// the other host rolls back after the idle timeout if the request to do so is lost too.
func TestLostStatementAnswerFromPeerAbortsTransaction(t *testing.T) {
	local, remote, peers := newHostPair(t)
	remote.config.TransactionIdle = 50 * time.Millisecond
	peers.loseRollbacks = true
	local.serveStatement(begin)
	local.serveStatement(write("a"))
	peers.loseNextAnswer = true
	a := local.serveStatement(write("b"))
	qt.Check(t, a.Code, qt.Equals, statement.Aborted)
	qt.Check(t, a.State, qt.Equals, statement.Failed)
	qt.Check(t, local.serveStatement(commit).Code, qt.Equals, statement.Aborted)
	eventually(t, "the other host rolls back", func() bool { return remote.server.forwardedTxs.count() == 0 })
	for _, text := range remote.leader.receivedTexts() {
		qt.Check(t, text, qt.Not(qt.Equals), "q COMMIT")
	}
}
