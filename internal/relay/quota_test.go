package relay

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/quota"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// limitRate gives the fixture's session the customer "c" with a limit so low that nothing
// is added during a test. A ledger begins with three operations.
func limitRate(f *fixture) *quota.Quota {
	f.config.SetCustomers([]catalog.Customer{{ID: "c", Keys: []string{"k"}, Rate: 0.01}})
	f.group.SetMembers([]catalog.Member{f.member("p"), f.member("r")}, func(topology.Target) int { return 8 })
	q := quota.New(quota.Options{
		Self: "a", Domain: "d", Hosts: func() ([]topology.Host, uint64) {
			return []topology.Host{{ID: "a", Domain: "d", State: topology.HostLive}}, 1
		},
		Reach: func() gossip.Reach {
			return gossip.Reach{Domains: map[topology.Domain]float64{"d": 1}, Own: "d", Self: 1}
		},
		Configuration: f.Configuration,
		Bounds:        quota.Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 8.5},
		Log:           logr.Discard(),
	})
	f.server.opts.Quota, f.key = q, "k"
	return q
}

const startOperations = 3 // of limitRate

// An operation above the limit is refused at once, without a statement at a target.
func TestOperationAboveTheLimitIsRefused(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	limitRate(f)
	for range startOperations {
		qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	}
	received := len(f.leader.receivedTexts())
	for range 2 { // the second one is refused without a request for tokens
		a := f.serveStatement(write("a"))
		qt.Check(t, a.Code, qt.Equals, statement.Busy)
		qt.Check(t, strings.HasPrefix(a.Detail, "rate limit reached; retry after "), qt.IsTrue, qt.Commentf(a.Detail))
	}
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, received)
	route := f.config.Routes["db"]
	route.Public = true
	f.config.Routes["db"] = route
	qt.Check(t, f.serveStatement(write("a")).OK(), qt.IsTrue, qt.Commentf("a session without a customer has no limit"))
}

// A transaction counts once, with its first statement, and one without statements counts
// with its commit. Statements that the host answers itself don't count.
func TestTransactionCountsOnce(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	limitRate(f)
	for range startOperations - 1 {
		for _, st := range []statement.Statement{begin, write("a"), write("b"), commit} {
			qt.Assert(t, f.serveStatement(st).OK(), qt.IsTrue)
		}
	}
	for _, st := range []statement.Statement{begin, {Kind: statement.Rollback}, begin, commit, begin} {
		qt.Assert(t, f.serveStatement(st).OK(), qt.IsTrue)
	}
	a := f.serveStatement(write("a"))
	qt.Check(t, a.Code, qt.Equals, statement.Busy)
	qt.Check(t, a.State, qt.Equals, statement.Failed)
	qt.Check(t, f.serveStatement(statement.Statement{Kind: statement.Rollback}).OK(), qt.IsTrue)
	qt.Check(t, f.serveStatement(begin).OK(), qt.IsTrue)
	a = f.serveStatement(commit)
	qt.Check(t, a.Code, qt.Equals, statement.Busy)
	qt.Check(t, a.State, qt.Equals, statement.Idle)
}

// An operation that certainly didn't run gives its token back; one that may have run
// keeps it.
func TestOperationThatDidNotRunIsCredited(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	limitRate(f)
	f.leader.answer = func(st statement.Statement) (statement.Answer, error) {
		return statement.Answer{Code: statement.Busy}, nil
	}
	for range startOperations {
		qt.Assert(t, f.serveStatement(write("a")).Code, qt.Equals, statement.Busy)
	}
	f.leader.answer = func(st statement.Statement) (statement.Answer, error) {
		return statement.Answer{Code: statement.RunFailed}, nil
	}
	for range startOperations {
		qt.Assert(t, f.serveStatement(write("a")).Code, qt.Equals, statement.RunFailed)
	}
	a := f.serveStatement(write("a"))
	qt.Check(t, a.Code, qt.Equals, statement.Busy, qt.Commentf("operations that ran without effect count"))
}

// A forwarded operation counts at the host of its session only.
func TestForwardedOperationCountsOnce(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	limitRate(f)
	args := RunArgs{Database: "db", Key: "k", Statement: write("a"), Writes: true, Within: time.Second}
	for i := range 2 * startOperations {
		var reply RunReply
		qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
		qt.Check(t, reply.Answer.OK(), qt.IsTrue)
		qt.Check(t, reply.NeverRan, qt.IsFalse)
		inTransaction := args
		inTransaction.Transaction = Transaction{Key: string(rune('a' + i)), First: true}
		qt.Assert(t, f.server.Service().Run(&inTransaction, &reply), qt.IsNil)
		qt.Check(t, reply.Answer.OK(), qt.IsTrue)
		inTransaction.Transaction.First, inTransaction.Statement = false, commit
		qt.Assert(t, f.server.Service().Run(&inTransaction, &reply), qt.IsNil)
		qt.Check(t, reply.Answer.OK(), qt.IsTrue)
	}
}

// Another host's refusal tells whether the statement may have run at a target, for
// example a read whose connection broke.
func TestForwardedOperationIsCreditedOnlyIfItNeverRan(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	limitRate(f)
	f.group.Close()
	f.server.opts.Peers = &stubPeers{offers: []placement.Offer{{Host: "b", Leads: true}}, answer: statement.Answer{Code: statement.Busy}}
	for range startOperations {
		qt.Assert(t, f.serveStatement(read("a")).Detail, qt.Not(qt.Contains), "rate limit")
	}
	qt.Check(t, f.serveStatement(read("a")).Detail, qt.Contains, "rate limit", qt.Commentf("b doesn't tell that it ran nothing"))
	var reply RunReply
	args := RunArgs{Configuration: 2, Database: "db", Key: "k", Statement: write("a"), Writes: true, Within: time.Second}
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.NeverRan, qt.IsTrue, qt.Commentf("this host's configuration is too old"))
}
