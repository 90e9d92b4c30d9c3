package relay

import (
	"context"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/feature"
	"nettlewalk.example/nettlewalk/internal/retryafter"
	"nettlewalk.example/nettlewalk/internal/statement"
)

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
