package relay

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/feature"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/retryafter"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeCommits confirms commits as a test decides.
type fakeCommits struct {
	mu        sync.Mutex
	unready   bool
	starting  bool            // no voters are known
	failure   error           // of Confirm
	onAwait   func()          // called by AwaitReady before it looks; nil: nothing
	onConfirm func()          // called by Confirm; nil: nothing
	waits     []time.Duration // for which AwaitReady was called
	confirmed []topology.Position
	deadlines []time.Time // of Confirm
}

func (c *fakeCommits) setUnready(unready bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unready = unready
}

func (c *fakeCommits) Ready(topology.GroupID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.unready
}

func (c *fakeCommits) Starting(topology.GroupID) bool { return c.starting }

func (c *fakeCommits) AwaitReady(_ context.Context, id topology.GroupID, deadline time.Time) bool {
	c.mu.Lock()
	c.waits = append(c.waits, time.Until(deadline))
	c.mu.Unlock()
	if c.onAwait != nil {
		c.onAwait()
	}
	return c.Ready(id)
}

func (c *fakeCommits) Confirm(_ context.Context, id topology.GroupID, position topology.Position, deadline time.Time) error {
	if c.onConfirm != nil {
		c.onConfirm()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != "g" {
		return errors.New("unknown group")
	}
	c.confirmed, c.deadlines = append(c.confirmed, position), append(c.deadlines, deadline)
	return c.failure
}

// confirmations returns how often Confirm was called.
func (c *fakeCommits) confirmations() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.confirmed)
}

// newCommitsFixture returns a session whose host confirms commits.
func newCommitsFixture(t *testing.T) (*fixture, *fakeCommits) {
	t.Helper()
	f, commits := newFixture(t, catalog.LatestData), &fakeCommits{}
	f.server.opts.Commits = commits
	return f, commits
}

var prepareWrite = statement.Statement{Kind: statement.Prepare, Name: "s1", Value: "WRITE q", Text: "PREPARE s1 WRITE q", Writes: true}

// writingWays are the ways in which a caller commits writes: statements, of which the last
// one commits.
var writingWays = map[string][]statement.Statement{
	"single":                           {write("a")},
	"prepared":                         {prepareWrite, execute},
	"transaction":                      {begin, write("a"), read("b"), commit},
	"transaction, prepared":            {prepareWrite, begin, read("b"), execute, commit},
	"transaction, writes after a read": {begin, read("b"), write("a"), commit},
}

// serveAllButLast serves the statements, which must succeed, except for the last one.
func (f *fixture) serveAllButLast(t *testing.T, statements []statement.Statement) (last statement.Statement) {
	t.Helper()
	n := len(statements) - 1
	for _, st := range statements[:n] {
		a := f.serveStatement(st)
		qt.Assert(t, a.OK(), qt.IsTrue, qt.Commentf("%s: %+v", st.Text, a))
	}
	return statements[n]
}

// Callers heard of commits that a promotion lost.
func TestAcknowledgedCommitIsWithheldUntilConfirmed(t *testing.T) {
	for name, statements := range writingWays {
		t.Run(name, func(t *testing.T) {
			f, commits := newCommitsFixture(t)
			f.awaitConnections(t)
			release := make(chan struct{})
			commits.onConfirm = func() { <-release }
			last := f.serveAllButLast(t, statements)
			qt.Assert(t, commits.confirmations(), qt.Equals, 0)
			answered := make(chan statement.Answer, 1)
			go func() { answered <- f.serveStatement(last) }()
			received := "q " + last.Text
			eventually(t, "the target has run it", func() bool {
				texts := f.leader.receivedTexts()
				return len(texts) > 0 && texts[len(texts)-1] == received
			})
			eventually(t, "no connection is in use meanwhile", func() bool { return f.pool(t, "p").Load().Idle == 2 })
			select {
			case a := <-answered:
				t.Fatalf("answered before the confirmation: %+v", a)
			case <-time.After(20 * time.Millisecond):
			}
			close(release)
			a := <-answered
			qt.Check(t, a.OK(), qt.IsTrue, qt.Commentf("%+v", a))
			qt.Check(t, a.State, qt.Equals, statement.Idle)
			qt.Check(t, commits.confirmed, qt.DeepEquals, []topology.Position{f.leader.logEnd})
			qt.Check(t, time.Until(commits.deadlines[0]) <= time.Second, qt.IsTrue)
			qt.Check(t, f.floor, qt.Equals, f.leader.logEnd)
		})
	}
}

// The caller isn't told that nothing was kept, and later reads of the session don't depend on
// a commit that may be lost.
func TestUnconfirmedCommitIsInDoubt(t *testing.T) {
	for name, statements := range writingWays {
		t.Run(name, func(t *testing.T) {
			f, commits := newCommitsFixture(t)
			commits.failure = errors.New("no quorum")
			last := f.serveAllButLast(t, statements)
			a := f.serveStatement(last)
			qt.Check(t, a.Code, qt.Equals, statement.InDoubt)
			qt.Check(t, a.Detail, qt.Equals, "the commit is acknowledged, but not confirmed: no quorum")
			qt.Check(t, a.State, qt.Equals, statement.Idle)
			qt.Check(t, f.floor, qt.Equals, topology.Position{})
			sent := 0
			for _, text := range f.leader.receivedTexts() {
				if text == "q "+last.Text {
					sent++
				}
			}
			qt.Check(t, sent, qt.Equals, 1)
		})
	}
}

// A commit whose position isn't known can't be confirmed.
func TestCommitWithoutPositionIsInDoubt(t *testing.T) {
	for name, statements := range writingWays {
		t.Run(name, func(t *testing.T) {
			f, commits := newCommitsFixture(t)
			last := f.serveAllButLast(t, statements)
			f.leader.answer = func(st statement.Statement) (statement.Answer, error) {
				if st.Text == last.Text {
					return statement.Answer{Signature: "sig", State: statement.Idle}, nil
				}
				return statement.Answer{}, nil
			}
			qt.Check(t, f.serveStatement(last).Code, qt.Equals, statement.InDoubt)
			qt.Check(t, commits.confirmations(), qt.Equals, 0)
		})
	}
}

// It would end in doubt. The refusal promises that nothing has run.
func TestWriteIsNotSentWhileCommitsCannotBeConfirmed(t *testing.T) {
	for _, statements := range [][]statement.Statement{{write("a")}, {prepareWrite, execute}, {begin, write("a")}} {
		for _, noWait := range []bool{false, true} {
			f, commits := newCommitsFixture(t)
			f.server.opts.RetryTimes = RetryTimes{Mode: feature.On}
			f.awaitConnections(t)
			commits.setUnready(true)
			f.noWait = noWait
			a := f.serveStatement(f.serveAllButLast(t, statements))
			qt.Check(t, a.Code, qt.Equals, statement.Busy)
			qt.Check(t, strings.HasPrefix(a.Detail, unconfirmableDetail), qt.IsTrue, qt.Commentf("%s", a.Detail))
			qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
			qt.Check(t, f.pool(t, "p").Load().Idle, qt.Equals, 2)
			qt.Check(t, len(commits.waits) > 0, qt.Equals, !noWait)
		}
	}
}

// A caller that may wait for a leader waits as long for commits that can be confirmed. The
// leader may be another one afterwards.
func TestWriteWaitsUntilCommitsCanBeConfirmed(t *testing.T) {
	for i, statements := range [][]statement.Statement{{write("a")}, {begin, write("a"), commit}, {write("a")}} {
		f, commits := newCommitsFixture(t)
		f.setStatementTimeout(2 * time.Second)
		f.awaitConnections(t)
		commits.setUnready(true)
		commits.onAwait = func() {
			qt.Check(t, f.pool(t, "p").Load().Idle, qt.Equals, 2) // none is held while waiting
			if wait := commits.waits[len(commits.waits)-1]; wait <= electorateChangeTime && i < 2 {
				return
			}
			f.leader.mu.Lock()
			f.leader.leads = false
			f.leader.mu.Unlock()
			f.replica.mu.Lock()
			f.replica.leads = true
			f.replica.mu.Unlock()
			f.group.NoteNotLeading("p", time.Now())
			commits.setUnready(false)
		}
		for _, st := range statements {
			a := f.serveStatement(st)
			qt.Assert(t, a.OK(), qt.IsTrue, qt.Commentf("%s: %+v", st.Text, a))
		}
		qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
		qt.Check(t, f.replica.receivedTexts()[0], qt.Equals, "q WRITE a x")
	}
}

// While a write waits for a connection, a replacement of the leader may begin.
func TestWriteIsNotSentIfCommitsCannotBeConfirmedAfterQueueing(t *testing.T) {
	f, commits := newCommitsFixture(t)
	f.awaitConnections(t)
	pool := f.pool(t, "p")
	first, second := pool.TryAcquire(""), pool.TryAcquire("")
	qt.Assert(t, first != nil && second != nil, qt.IsTrue)
	answered := make(chan statement.Answer, 1)
	go func() { answered <- f.serveStatement(write("a")) }()
	eventually(t, "the write is queued", func() bool { return pool.Load().Waiting == 1 })
	commits.setUnready(true)
	pool.Release(first, true)
	qt.Check(t, (<-answered).Code, qt.Equals, statement.Busy)
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
	pool.Release(second, true)
	qt.Check(t, pool.Load().Idle, qt.Equals, 2)
}

// A fleet that has just started knows no voters before a host has taken the group's duty.
func TestWriteAwaitsFirstVoters(t *testing.T) {
	for _, statements := range [][]statement.Statement{{write("a")}, {begin, write("a"), commit}} {
		f, commits := newCommitsFixture(t)
		f.awaitConnections(t)
		commits.setUnready(true)
		commits.starting = true
		commits.onAwait = func() {
			if commits.waits[len(commits.waits)-1] > electorateChangeTime {
				commits.setUnready(false)
			}
		}
		for _, st := range statements {
			a := f.serveStatement(st)
			qt.Check(t, a.OK(), qt.IsTrue, qt.Commentf("%+v", a))
		}
	}
}

// Nobody could tell the outcome of such a commit. The caller may repeat the transaction.
func TestCommitIsNotSentWhileCommitsCannotBeConfirmed(t *testing.T) {
	f, commits := newCommitsFixture(t)
	f.serveStatement(begin)
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	commits.setUnready(true)
	a := f.serveStatement(commit)
	f.awaitConnections(t)
	qt.Check(t, a.Code, qt.Equals, statement.Aborted)
	qt.Check(t, a.Detail, qt.Equals, unconfirmableDetail)
	qt.Check(t, a.State, qt.Equals, statement.Idle)
	qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x"})
	qt.Assert(t, commits.waits, qt.HasLen, 1)
	qt.Check(t, commits.waits[0] <= electorateChangeTime, qt.IsTrue)
	qt.Check(t, f.tx, qt.IsNil)
}

// A change of voters takes a moment. Writes aren't refused meanwhile, nor sent to other hosts,
// which can't confirm commits either.
func TestWriteWaitsDuringChangeOfVoters(t *testing.T) {
	f, commits := newCommitsFixture(t)
	peers := &atOncePeers{}
	f.server.opts.Peers = peers
	f.awaitConnections(t)
	commits.setUnready(true)
	commits.onAwait = func() { commits.setUnready(false) }
	qt.Check(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	qt.Check(t, peers.atOnce, qt.HasLen, 0)
	qt.Check(t, len(commits.waits) == 1 && commits.waits[0] <= electorateChangeTime, qt.IsTrue)
}

// Nobody waits for the answer after the statement's deadline.
func TestWaitForConfirmableCommitsEndsWithStatement(t *testing.T) {
	f, commits := newCommitsFixture(t)
	commits.setUnready(true)
	st := write("a")
	r, refused := f.newRequest(&st, true, "")
	qt.Assert(t, refused, qt.IsNil)
	qt.Check(t, r.awaitCommits(context.Background(), time.Now()), qt.IsFalse)
	qt.Check(t, commits.waits, qt.HasLen, 0)
	qt.Check(t, r.awaitCommits(context.Background(), r.deadline.Add(time.Second)), qt.IsFalse)
	qt.Assert(t, commits.waits, qt.HasLen, 1)
	qt.Check(t, commits.waits[0] <= time.Second, qt.IsTrue)
}

// A change of voters takes a moment, and aborts no transaction.
func TestCommitWaitsDuringChangeOfVoters(t *testing.T) {
	f, commits := newCommitsFixture(t)
	f.serveStatement(begin)
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	commits.setUnready(true)
	commits.onAwait = func() { commits.setUnready(false) }
	qt.Check(t, f.serveStatement(commit).OK(), qt.IsTrue)
}

// Reads go on, also at the leader and in transactions.
func TestTransactionWithoutWritesNeedsNoConfirmation(t *testing.T) {
	f, commits := newCommitsFixture(t)
	commits.setUnready(true)
	commits.failure = errors.New("no quorum")
	for _, st := range []statement.Statement{read("a"), begin, read("a"), commit, begin, commit} {
		a := f.serveStatement(st)
		qt.Check(t, a.OK(), qt.IsTrue, qt.Commentf("%s: %+v", st.Text, a))
	}
	qt.Check(t, commits.confirmations(), qt.Equals, 0)
	qt.Check(t, commits.waits, qt.HasLen, 0)
}

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

// The log line of a request tells how long the confirmation took only if that explains
// something.
func TestConfirmationIsLoggedIfSlowOrFailed(t *testing.T) {
	qt.Check(t, confirmationStep(slowConfirmation-1, nil), qt.Equals, "")
	qt.Check(t, confirmationStep(slowConfirmation, nil), qt.Equals, "commit confirmed in 5 ms")
	qt.Check(t, confirmationStep(0, errors.New("no quorum")), qt.Equals, "commit not confirmed in 0 ms: no quorum")
	f, commits := newCommitsFixture(t)
	commits.failure = errors.New("no quorum")
	st := write("a")
	r, refused := f.newRequest(&st, true, "")
	qt.Assert(t, refused, qt.IsNil)
	r.run(context.Background())
	qt.Check(t, strings.Contains(strings.Join(r.steps, ";"), "p commit not confirmed in "), qt.IsTrue, qt.Commentf("%s", r.steps))
}

// Until commits can be confirmed the leader is of no use to a write, however short the queue
// for it is. Callers were told to return at once.
func TestUnconfirmableWriteReturnsAsWithoutLeader(t *testing.T) {
	f, commits := newCommitsFixture(t)
	commits.setUnready(true)
	st := write("a")
	r, refused := f.newRequest(&st, true, "")
	qt.Assert(t, refused, qt.IsNil)
	a, _ := r.run(context.Background())
	qt.Assert(t, a.Code, qt.Equals, statement.Busy)
	refusal := r.retryRefusal(time.Now())
	qt.Check(t, refusal.Reason, qt.Equals, retryafter.NoLeader)
	qt.Check(t, refusal.In, qt.Equals, promotionDuration)
}
