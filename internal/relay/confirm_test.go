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
