package relay

import (
	"context"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/feature"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/keys"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/retryafter"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// retryTime returns the time that a detail tells, and how often it tells one.
func retryTime(detail string) (after time.Duration, n int) {
	for _, match := range regexp.MustCompile(`retry after (\d+) ms`).FindAllStringSubmatch(detail, -1) {
		ms, _ := strconv.Atoi(match[1])
		after = time.Duration(ms) * time.Millisecond
		n++
	}
	return after, n
}

// checkTold checks that a refusal tells exactly one time, up to the limit.
func checkTold(t *testing.T, a statement.Answer, limit time.Duration) time.Duration {
	t.Helper()
	after, n := retryTime(a.Detail)
	qt.Check(t, a.Code, qt.Equals, statement.Busy)
	qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s", a.Detail))
	qt.Check(t, after <= limit, qt.IsTrue, qt.Commentf("%s", a.Detail))
	qt.Check(t, a.RetryAfter, qt.Equals, time.Duration(0))
	return after
}

// checkNotTold checks that an answer tells no time.
func checkNotTold(t *testing.T, a statement.Answer) {
	t.Helper()
	_, n := retryTime(a.Detail)
	qt.Check(t, n, qt.Equals, 0, qt.Commentf("%s", a.Detail))
}

// useConnections takes the connections to the fixture's leader.
func (f *fixture) useConnections(t *testing.T) {
	t.Helper()
	_, pool, ok := f.group.Leader()
	qt.Assert(t, ok, qt.IsTrue)
	eventually(t, "all connections are open", func() bool { return pool.Load().Open == pool.Load().Size })
	for pool.TryAcquireAny() != nil {
	}
}

// Refusals must stay the same where the feature isn't enabled.
func TestRefusalsTellNoTimeUnlessEnabled(t *testing.T) {
	for _, mode := range []feature.Mode{"", feature.Off, feature.Auto} {
		f := newFixture(t, catalog.LatestData)
		f.server.opts.RetryTimes.Mode = mode
		f.useConnections(t)
		a := f.serveStatement(write("a"))
		qt.Check(t, a.Code, qt.Equals, statement.Busy)
		qt.Check(t, a.Detail, qt.Equals, "wait for a connection to the target takes too long")
		qt.Check(t, f.server.DumpRetryTimes(), qt.IsNil)
	}
}

// Callers refused for the same queue that return together are refused again.
func TestCallersOfFullQueueAreToldDifferentTimes(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.server.opts.RetryTimes.Mode = feature.On
	f.useConnections(t)
	f.noWait = true
	seen := map[time.Duration]bool{}
	for range 5 {
		r, refused := f.newRequest(&statement.Statement{ID: "q", Kind: statement.Write}, true, "")
		qt.Assert(t, refused, qt.IsNil)
		a := f.refusal(statement.Busy, "full")
		r.addRetryTime(&a)
		after := checkTold(t, a, time.Second)
		qt.Check(t, seen[after], qt.IsFalse, qt.Commentf("%s", after))
		seen[after] = true
	}
	d := f.server.DumpRetryTimes()
	qt.Assert(t, d.Groups, qt.HasLen, 1)
	qt.Check(t, d.Groups[0].Group, qt.Equals, topology.GroupID("g"))
	qt.Check(t, d.Groups[0].Promised > 0, qt.IsTrue)
}

// A refusal because of the queue, of a single statement and at the start of a transaction.
func TestRefusedStatementsTellTimes(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.withCustomers("k1", acme)
	f.server.opts.RetryTimes.Mode = feature.Auto
	f.useConnections(t)
	checkTold(t, f.serveStatement(write("a")), time.Second)
	qt.Assert(t, f.serveStatement(begin).OK(), qt.IsTrue)
	checkTold(t, f.serveStatement(write("a")), time.Second)
	qt.Assert(t, f.serveStatement(rollbackTx).OK(), qt.IsTrue)
	qt.Assert(t, f.serveStatement(begin).OK(), qt.IsTrue)
	checkTold(t, f.serveStatement(commit), time.Second)
}

// A time beyond the deadline would keep the caller from trying elsewhere.
func TestCallerWithShortDeadlineIsToldNoTime(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.server.opts.RetryTimes.Mode = feature.On
	route := f.config.Routes["db"]
	route.StatementTimeout = 12 * time.Millisecond // less than the time of a statement and a slot
	f.config.Routes["db"] = route
	f.useConnections(t)
	a := f.serveStatement(write("a"))
	qt.Check(t, a.Code, qt.Equals, statement.Busy)
	checkNotTold(t, a)
}

// A statement that may have run isn't a refusal. If its caller were told to return, it could
// run twice.
func TestStatementThatMayHaveRunTellsNoTime(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.server.opts.RetryTimes.Mode = feature.On
	f.awaitConnections(t)
	f.leader.answer = func(statement.Statement) (statement.Answer, error) {
		return statement.Answer{}, &statement.ConnError{Sent: true, Cause: errors.New("reset")}
	}
	checkNotTold(t, f.serveStatement(write("a")))
	checkNotTold(t, f.serveStatement(read("a")))
}

// During a promotion callers are told to return when it is expected to be over.
func TestCallersWithoutLeaderReturnAfterPromotion(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.server.opts.RetryTimes.Mode = feature.On
	route := f.config.Routes["db"]
	route.StatementTimeout = 3 * time.Second
	f.config.Routes["db"] = route
	f.leader.mu.Lock()
	f.leader.leads = false
	f.leader.mu.Unlock()
	f.group.NoteFailing("p")
	f.group.NoteNotLeading("p", time.Now().Add(time.Hour))
	f.noWait = true
	r, refused := f.newRequest(&statement.Statement{ID: "q", Kind: statement.Write}, true, "")
	qt.Assert(t, refused, qt.IsNil)
	refusal := r.retryRefusal(time.Now())
	qt.Check(t, refusal.Reason, qt.Equals, retryafter.NoLeader)
	qt.Check(t, refusal.In > 0 && refusal.In <= promotionDuration, qt.IsTrue, qt.Commentf("%s", refusal.In))
	checkTold(t, f.serveStatement(write("a")), 3*time.Second)
}

func TestExpectedLeaderLoss(t *testing.T) {
	qt.Check(t, expectedLeaderLoss(group.LeaderLoss{}), qt.Equals, promotionDuration)
	qt.Check(t, expectedLeaderLoss(group.LeaderLoss{Demoted: true}), qt.Equals, leaderDiscoveryTime)
}

// While a host shuts down, waiting for its capacity is in vain; other hosts serve at once.
func TestRefusalDuringShutdownSendsToOtherHostAtOnce(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.server.opts.RetryTimes.Mode = feature.On
	f.useConnections(t)
	f.server.SetDraining(ShuttingDown)
	qt.Check(t, checkTold(t, f.serveStatement(write("a")), time.Second), qt.Equals, time.Duration(0))
}

// The holder of the connections sees all callers that compete for them, so that its time
// counts. A host that was asked to serve at once or refuse promises no slot: another one is
// asked next.
func TestHolderOfConnectionsDecidesTime(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.server.opts.RetryTimes.Mode = feature.On
	f.useConnections(t)
	args := RunArgs{Database: "db", Statement: write("a"), Writes: true, Within: time.Second}
	var reply RunReply
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.Answer.RetryAfter > 0 && reply.Answer.RetryAfter <= time.Second, qt.IsTrue)
	checkNotTold(t, reply.Answer) // the host of the session writes the text
	args.AtOnce = true
	reply = RunReply{}
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.Answer.Code, qt.Equals, statement.Busy)
	qt.Check(t, reply.Answer.RetryAfter, qt.Equals, time.Duration(0))
	args.AtOnce, args.Within = false, 12*time.Millisecond
	reply = RunReply{}
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.Answer.RetryAfter, qt.Equals, noRetryTime)
	args.Within = time.Second
	args.Transaction = Transaction{Key: "x", First: true}
	reply = RunReply{}
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.Answer.RetryAfter > 0, qt.IsTrue)
}

// refusingPeers is a holder that refuses all statements.
type refusingPeers struct{ retryAfter time.Duration }

func (p *refusingPeers) Offers(topology.GroupID) []placement.Offer {
	return []placement.Offer{{Host: "b", Leads: true}}
}

func (p *refusingPeers) Call(_ context.Context, _ topology.HostID, _ string, _, reply any) error {
	*reply.(*RunReply) = RunReply{Answer: statement.Answer{Code: statement.Busy, Detail: "full", RetryAfter: p.retryAfter}, NeverRan: true}
	return nil
}

// The host of the session passes on the holder's time, and that there is none.
func TestTimeOfHolderIsPassedOn(t *testing.T) {
	for _, inTransaction := range []bool{false, true} {
		f := newFixture(t, catalog.LatestData)
		f.server.opts.RetryTimes.Mode = feature.On
		f.group.Close() // this host has no connections
		peers := &refusingPeers{retryAfter: 777 * time.Millisecond}
		f.server.opts.Peers = peers
		serve := func() statement.Answer {
			if inTransaction {
				qt.Assert(t, f.serveStatement(begin).OK(), qt.IsTrue)
				defer f.serveStatement(rollbackTx)
			}
			return f.serveStatement(write("a"))
		}
		after := checkTold(t, serve(), 777*time.Millisecond)
		qt.Check(t, after > 500*time.Millisecond, qt.IsTrue, qt.Commentf("%s less the time since the holder's answer", after))
		peers.retryAfter = noRetryTime
		checkNotTold(t, serve())
		peers.retryAfter = 777 * time.Millisecond
		f.server.opts.RetryTimes.Mode = feature.Off
		checkNotTold(t, serve())
	}
}

// A time of the holder that passes while this host waits for a leader would send callers back
// at once and together.
func TestPassedTimeOfHolderIsReplaced(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.server.opts.RetryTimes.Mode = feature.On
	f.useConnections(t)
	r, refused := f.newRequest(&statement.Statement{ID: "q", Kind: statement.Write}, true, "")
	qt.Assert(t, refused, qt.IsNil)
	r.peerRetryAfter, r.peerRetryAt = 50*time.Millisecond, time.Now().Add(-60*time.Millisecond)
	a := f.refusal(statement.Busy, "full")
	r.addRetryTime(&a)
	qt.Check(t, checkTold(t, a, time.Second) > 0, qt.IsTrue, qt.Commentf("%s", a.Detail))
}

// Without times, all callers of a host that is cut off would return together when it has
// contact again.
func TestUnconfirmedConfigurationTellsTimes(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.withCustomers("k1", acme)
	f.server.opts.RetryTimes.Mode = feature.Auto
	f.caller = &scriptedCaller{}
	f.cutOff(keys.Policy{Strict: true, Timeout: time.Second}, time.Hour)
	first := checkTold(t, f.serveStatement(write("a")), time.Second)
	qt.Check(t, checkTold(t, f.serveStatement(write("a")), time.Second) == first, qt.IsFalse)
}

// The rate limit has its own times.
func TestRateRefusalTellsOneTime(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	limitRate(f)
	f.server.opts.RetryTimes.Mode = feature.On
	for range startOperations {
		qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	}
	_, n := retryTime(f.serveStatement(write("a")).Detail)
	qt.Check(t, n, qt.Equals, 1)
}
