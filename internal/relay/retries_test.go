package relay

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/retry"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// newBudgetFixture returns a fixture with a retry budget of so many retries.
func newBudgetFixture(t *testing.T, freshness catalog.Freshness, retries float64) *fixture {
	t.Helper()
	f := newFixtureWith(t, freshness, func(o *group.Options) { o.Recovery = func() bool { return true } })
	f.setBudget(retries)
	f.awaitConnections(t)
	return f
}

// setBudget puts a budget in force that covers so many retries and earns none.
func (f *fixture) setBudget(retries float64) {
	f.server.retries.enabled = func() bool { return true }
	f.server.retries.budget = retry.NewBudget(retries)
}

func (f *fixture) tokens() float64 { return f.server.retries.dump().Tokens }

// answers makes a target answer the statements of callers.
func (f *fakeTarget) answers(a statement.Answer, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answer = func(st statement.Statement) (statement.Answer, error) {
		if st.ID == statement.ProxyRequestID {
			return statement.Answer{}, nil
		}
		return a, err
	}
}

// A retry that the budget refuses must not turn a read that may have run into one that is
// refused as not run. One that certainly didn't run is.
func TestRefusedRetryTellsWhetherItRan(t *testing.T) {
	for _, test := range []struct {
		name   string
		answer statement.Answer
		err    error
		want   statement.Code
	}{
		{"broken after sending", statement.Answer{}, &statement.ConnError{Sent: true, Cause: errors.New("reset")}, statement.InDoubt},
		{"no answer in time", statement.Answer{}, &statement.ConnError{Sent: true, Timeout: true, Cause: errors.New("timeout")}, statement.InDoubt},
		{"broken before sending", statement.Answer{}, &statement.ConnError{Cause: errors.New("reset")}, statement.Busy},
		{"refused by the target", statement.Answer{Code: statement.Busy}, nil, statement.Busy},
		{"lagging", statement.Answer{Code: statement.Lagging}, nil, statement.Busy},
		{"failed by the target", statement.Answer{Code: statement.RunFailed}, nil, statement.RunFailed},
	} {
		f := newBudgetFixture(t, catalog.BoundedAge, 0)
		f.replica.answers(test.answer, test.err)
		a := f.serveStatement(read("a"))
		qt.Check(t, a.Code, qt.Equals, test.want, qt.Commentf("%s: %+v", test.name, a))
		qt.Check(t, f.replica.receivedTexts(), qt.HasLen, 1, qt.Commentf("%s", test.name))
		qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0, qt.Commentf("%s", test.name))

		f = newBudgetFixture(t, catalog.BoundedAge, 9)
		f.replica.answers(test.answer, test.err)
		a = f.serveStatement(read("a"))
		qt.Check(t, a.OK(), qt.IsTrue, qt.Commentf("%s with a budget: %+v", test.name, a))
		qt.Check(t, f.tokens() < 9, qt.IsTrue, qt.Commentf("%s", test.name))
	}
}

// Where the budget is off, an empty one refuses nothing, and a failed read isn't sent again.
func TestBudgetThatIsOffRefusesNothing(t *testing.T) {
	f := newFixture(t, catalog.BoundedAge)
	f.server.retries.budget = retry.NewBudget(0)
	f.replica.answers(statement.Answer{Code: statement.Busy}, nil)
	qt.Check(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	f.replica.answers(statement.Answer{Code: statement.RunFailed}, nil)
	qt.Check(t, f.serveStatement(read("a")).Code, qt.Equals, statement.RunFailed)
	qt.Check(t, f.server.DumpRetries(), qt.IsNil)
}

// A write of which the answer is lost is sent once, with a budget as without one.
func TestBudgetDoesNotRepeatWrites(t *testing.T) {
	f := newBudgetFixture(t, catalog.LatestData, 9)
	for _, test := range []struct {
		a    statement.Answer
		err  error
		want statement.Code
	}{
		{statement.Answer{}, &statement.ConnError{Sent: true, Cause: errors.New("reset")}, statement.InDoubt},
		{statement.Answer{Code: statement.RunFailed}, nil, statement.RunFailed},
	} {
		before := len(f.leader.receivedTexts())
		f.leader.answers(test.a, test.err)
		qt.Check(t, f.serveStatement(write("a")).Code, qt.Equals, test.want)
		qt.Check(t, f.leader.receivedTexts(), qt.HasLen, before+1)
	}
	qt.Check(t, f.tokens(), qt.Equals, 9.0)
}

// A statement that fails at every target is sent to two of them, and its caller gets the
// failure.
func TestStatementThatFailsEverywhereFails(t *testing.T) {
	f := newBudgetFixture(t, catalog.BoundedAge, 9)
	f.replica.answers(statement.Answer{Code: statement.RunFailed, Detail: "first"}, nil)
	f.leader.answers(statement.Answer{Code: statement.RunFailed, Detail: "second"}, nil)
	a := f.serveStatement(read("a"))
	qt.Check(t, a.Code, qt.Equals, statement.RunFailed)
	qt.Check(t, a.Detail, qt.Equals, "first")
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 1)
	qt.Check(t, f.replica.receivedTexts(), qt.HasLen, 1)
}

// A transaction that a target didn't begin is refused as not run when the budget covers no
// other try, and begins at another target otherwise.
func TestTransactionStartNeedsBudget(t *testing.T) {
	for _, retries := range []float64{0, 9} {
		f := newBudgetFixture(t, catalog.BoundedAge, retries)
		f.replica.mu.Lock()
		f.replica.answer = func(st statement.Statement) (statement.Answer, error) {
			if st.Kind == statement.BeginReadOnly {
				return statement.Answer{Code: statement.Lagging}, nil
			}
			return statement.Answer{}, nil
		}
		f.replica.mu.Unlock()
		f.serveStatement(statement.Statement{Kind: statement.BeginReadOnly, Text: "BEGIN READ ONLY"})
		a := f.serveStatement(read("a"))
		if retries == 0 {
			qt.Check(t, a.Code, qt.Equals, statement.Busy)
			qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
			continue
		}
		qt.Check(t, a.OK(), qt.IsTrue, qt.Commentf("%+v", a))
		qt.Check(t, f.tokens() < retries, qt.IsTrue)
	}
}

// A further host is asked only if the budget covers it. Without that, the first one may queue the
// statement, since no other host will be asked.
func TestFurtherHostNeedsBudget(t *testing.T) {
	for _, test := range []struct {
		retries float64
		calls   int
		atOnce  bool
	}{{0, 1, false}, {9, placement.MaxHostsAsked, true}} {
		f := newFixture(t, catalog.LatestData)
		f.group.Close()
		f.setBudget(test.retries)
		peers := &homePeers{}
		for _, host := range []topology.HostID{"b", "c", "d", "e"} {
			peers.offers = append(peers.offers, placement.Offer{Host: host, Leads: true})
		}
		f.server.opts.Peers = peers
		a := f.serveStatement(read("a"))
		qt.Check(t, a.OK(), qt.IsFalse)
		qt.Check(t, peers.asked, qt.HasLen, test.calls)
		qt.Check(t, peers.atOnce[0], qt.Equals, test.atOnce)
		qt.Check(t, f.tokens() <= test.retries, qt.IsTrue)
		want := statement.Busy // as before, once the hosts are used up
		if test.retries == 0 {
			want = statement.InDoubt // a host was asked, and didn't answer
		}
		qt.Check(t, a.Code, qt.Equals, want)
	}
}

// Asking a further host is charged before the first one is asked to serve the statement at once,
// so that no statement is refused without having been queued anywhere. If the first host serves
// it, the charge is taken back.
func TestFurtherHostIsChargedAhead(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.group.Close()
	f.setBudget(1)
	peers := &homePeers{serves: map[topology.HostID]bool{"b": true, "c": true, "d": true}}
	for host := range peers.serves {
		peers.offers = append(peers.offers, placement.Offer{Host: host, Leads: true})
	}
	f.server.opts.Peers = peers
	for range 3 {
		qt.Assert(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	}
	qt.Check(t, peers.atOnce, qt.DeepEquals, []bool{true, true, true})
	qt.Check(t, f.tokens(), qt.Equals, 1.0)
	peers.serves = nil
	f.serveStatement(read("a"))
	qt.Check(t, peers.asked, qt.HasLen, 5)
	qt.Check(t, peers.atOnce[3:], qt.DeepEquals, []bool{true, false}) // the last one that may be asked queues it
}

// Two hosts that share the work for a statement must not earn more than one of them would,
// or the sum over hosts is twice the bound. A statement that was sent before earns nothing.
func TestForwardedStatementEarnsOnce(t *testing.T) {
	local, remote := newFixture(t, catalog.LatestData), newFixture(t, catalog.LatestData)
	for _, f := range []*fixture{local, remote} {
		f.setBudget(9)
		for range 9 {
			f.server.retries.budget.Withdraw()
		}
	}
	local.group.Close()
	local.server.opts.Peers = &servicePeers{service: remote.server.Service()}
	for range 20 {
		qt.Assert(t, local.serveStatement(read("a")).OK(), qt.IsTrue)
	}
	earned := local.tokens() + remote.tokens()
	qt.Check(t, earned > 1.99 && earned < 2.01, qt.IsTrue, qt.Commentf("%v", earned))
	before := remote.tokens()
	args := RunArgs{Configuration: 1, Database: "db", Statement: read("a"), Within: time.Second, Again: true}
	var reply RunReply
	qt.Assert(t, remote.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.Answer.OK(), qt.IsTrue)
	qt.Check(t, remote.tokens(), qt.Equals, before)
}

// Statements of a route that is less urgent than another one leave the last third of the reserve to
// it.
func TestLessUrgentRouteLeavesReserve(t *testing.T) {
	for _, priority := range []int{0, 2} {
		f := newBudgetFixture(t, catalog.BoundedAge, 3)
		f.server.retries.budget.Withdraw()
		f.server.retries.budget.Withdraw() // one retry is left, the last third
		route := f.config.Routes["db"]
		route.Priority = priority
		f.config.Routes["db"] = route
		f.config.Routes["urgent"] = catalog.Route{Database: "urgent", Group: "g"}
		f.replica.answers(statement.Answer{Code: statement.Busy}, nil)
		qt.Check(t, f.serveStatement(read("a")).OK(), qt.Equals, priority == 0)
	}
}

// The reserve follows the most hosts that were seen, so that a host that is cut off doesn't get
// the reserve of the fleet; it starts with the least one.
func TestReserveFollowsMostHosts(t *testing.T) {
	f := newBudgetFixture(t, catalog.LatestData, retry.MinReserve)
	b, hosts := f.server.retries, 67
	b.hosts = func() int { return hosts }
	reserve := func(now time.Time) float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.updateReserve(now)
		_, r := b.budget.Tokens()
		return r
	}
	qt.Check(t, reserve(b.started), qt.Equals, float64(retry.MinReserve))
	later := b.started.Add(reserveSettleTime)
	qt.Check(t, reserve(later), qt.Equals, retry.HostReserve(67))
	hosts = 1
	later = later.Add(reserveCheckInterval)
	qt.Check(t, reserve(later), qt.Equals, retry.HostReserve(67))
	hosts = 139
	qt.Check(t, reserve(later.Add(reserveCheckInterval)), qt.Equals, retry.HostReserve(139))
}

// A read that is held off from a target goes to another one that has no free connection yet, and
// to the first one only if that doesn't help.
func TestHeldOffTargetIsTriedLast(t *testing.T) {
	f := newBudgetFixture(t, catalog.BoundedAge, 9)
	preferred, heldOff := splitHeldOff([]group.Choice{
		{Candidate: group.Candidate{ID: "a", HeldOff: true}}, {Candidate: group.Candidate{ID: "b"}},
	})
	qt.Check(t, preferred, qt.HasLen, 1)
	qt.Check(t, preferred[0].ID, qt.Equals, topology.TargetID("b"))
	qt.Check(t, heldOff, qt.HasLen, 1)
	for range 20 { // the replica fails; the group ejects it
		f.group.NoteFailedAnswer("r")
	}
	served := 0
	for range 100 {
		if f.serveStatement(read("a")).OK() {
			served++
		}
	}
	qt.Check(t, served, qt.Equals, 100)
	n := len(f.replica.receivedTexts())
	qt.Check(t, n < 40, qt.IsTrue, qt.Commentf("%d of 100 reads at the ejected target", n))
	// With the leader's connections in use, the target from which it is held off serves the read.
	f.acquireLeaderConns(t)
	qt.Check(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
}
