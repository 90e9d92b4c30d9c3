package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
)

// newStateFixture returns a host in front of a leader and a replica that keep session state.
func newStateFixture(t *testing.T, freshness catalog.Freshness) (f *fixture, leader, replica *stateTarget) {
	t.Helper()
	leader, replica = &stateTarget{leads: true}, &stateTarget{}
	f = newFixtureWith(t, freshness, func(o *group.Options) { o.Dialer = stateDialer{"p": leader, "r": replica} })
	return f, leader, replica
}

func setArea(value string) statement.Statement {
	return statement.Statement{Kind: statement.Set, Name: "area", Value: value, Text: "SET area " + value}
}

func prepare(shape string) statement.Statement {
	return statement.Statement{Kind: statement.Prepare, Name: "s1", Value: shape, Text: "PREPARE s1 " + shape, Writes: shape[0] == 'W'}
}

var (
	execute  = statement.Statement{Kind: statement.Execute, Name: "s1", Value: "a x", Text: "EXECUTE s1 a x"}
	rollback = statement.Statement{Kind: statement.Rollback, Text: "ROLLBACK"}
)

// only returns a function that fails the statements of a kind.
func only(kind statement.Kind) func(statement.Kind) bool {
	return func(k statement.Kind) bool { return k == kind }
}

// A target that refused a session value or RESET began the transaction all the same, and
// it was committed under another session's values.
func TestTransactionDoesNotBeginWhereTargetRefusedSessionState(t *testing.T) {
	for _, refused := range []statement.Kind{statement.Reset, statement.Set, statement.Prepare} {
		f, leader, _ := newStateFixture(t, catalog.LatestData)
		f.useAllConnectionsUnder(t, "theirs", leader)
		f.serveStatement(setArea("mine"))
		f.serveStatement(prepare("WRITE q"))
		leader.setFails(only(refused))
		f.serveStatement(begin)
		a := f.serveStatement(execute)
		qt.Check(t, a.Code, qt.Equals, statement.Busy, qt.Commentf("refused kind %d", refused))
		qt.Check(t, leader.takeRan(), qt.HasLen, 0)
		qt.Check(t, leader.openTransactions(), qt.Equals, 0)
		f.serveStatement(rollback)
		leader.setFails(nil)
		f.serveStatement(begin)
		qt.Assert(t, f.serveStatement(execute).OK(), qt.IsTrue)
		qt.Assert(t, f.serveStatement(commit).OK(), qt.IsTrue)
		for _, ran := range leader.takeRan() {
			qt.Check(t, ran.values, qt.DeepEquals, map[string]string{"area": "mine"})
		}
		qt.Check(t, leader.openTransactions(), qt.Equals, 0)
	}
}

// useAllConnectionsUnder leaves another session's value and prepared statement on each of
// the leader's two connections.
func (f *fixture) useAllConnectionsUnder(t *testing.T, value string, leader *stateTarget) {
	t.Helper()
	pool := f.pool(t, "p")
	eventually(t, "both connections are open", func() bool { return pool.Load().Idle == 2 })
	var open []*session
	for range 2 {
		s := f.server.newSession(nil)
		s.database = "db"
		for _, st := range []statement.Statement{setArea(value), prepare("WRITE theirs"), begin, execute} {
			st.ID = "other"
			a := s.serve(context.Background(), &st)
			qt.Assert(t, a.OK(), qt.IsTrue, qt.Commentf("%+v", a))
		}
		open = append(open, s)
	}
	for _, s := range open {
		s.endTransaction()
	}
	leader.takeRan()
}

func (t *stateTarget) openTransactions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.open
}

// A statement that was sent together with the session state ran although the target had
// refused the state.
func TestStatementIsNotSentWhereTargetRefusedSessionState(t *testing.T) {
	for _, freshness := range []catalog.Freshness{catalog.LatestData, catalog.BoundedAge} {
		for _, st := range []statement.Statement{write("a"), read("a"), execute} {
			f, leader, replica := newStateFixture(t, freshness)
			f.serveStatement(setArea("mine"))
			f.serveStatement(prepare("WRITE q"))
			leader.setFails(only(statement.Set))
			replica.setFails(only(statement.Set))
			a := f.serveStatement(st)
			qt.Check(t, a.Code, qt.Equals, statement.Busy)
			qt.Check(t, append(leader.takeRan(), replica.takeRan()...), qt.HasLen, 0, qt.Commentf("%s", st.Text))
		}
	}
}

// newTransactionWithNewValue returns a session in a transaction that has written and in which a
// value was set since.
func newTransactionWithNewValue(t *testing.T) (*fixture, *stateTarget) {
	t.Helper()
	f, leader, _ := newStateFixture(t, catalog.LatestData)
	f.serveStatement(begin)
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	leader.takeRan()
	f.serveStatement(setArea("mine"))
	return f, leader
}

// The same for a value that is set within a transaction, which is rolled back.
func TestStatementOfTransactionIsNotSentWhereTargetRefusedSessionState(t *testing.T) {
	f, leader := newTransactionWithNewValue(t)
	leader.setFails(only(statement.Set))
	a := f.serveStatement(write("b"))
	qt.Check(t, a.Code, qt.Equals, statement.Aborted)
	qt.Check(t, a.State, qt.Equals, statement.Failed)
	qt.Check(t, leader.takeRan(), qt.HasLen, 0)
	qt.Check(t, leader.openTransactions(), qt.Equals, 0)
}

// A probe of an idle connection that the target refused counted as one that had cleared
// the other session's state.
func TestRefusedResetOfIdleConnectionIsRepeated(t *testing.T) {
	f, leader, _ := newStateFixture(t, catalog.LatestData)
	f.useAllConnectionsUnder(t, "theirs", leader)
	conn := f.pool(t, "p").TryAcquire("")
	leader.setFails(only(statement.Reset))
	qt.Check(t, answersReset(conn), qt.IsTrue)
	qt.Check(t, conn.MayKeepState(), qt.IsTrue)
}

// A COMMIT right after a SET ran where the value wasn't set yet.
func TestCommitRunsUnderValuesSetJustBefore(t *testing.T) {
	f, leader := newTransactionWithNewValue(t)
	qt.Check(t, f.serveStatement(commit).OK(), qt.IsTrue)
	ran := leader.takeRan()
	qt.Assert(t, ran, qt.HasLen, 1)
	qt.Check(t, ran[0].values, qt.DeepEquals, map[string]string{"area": "mine"})
}

// A transaction whose COMMIT can't be sent for that reason is rolled back, and its caller
// is told so.
func TestCommitIsNotSentWhereTargetRefusedSessionState(t *testing.T) {
	f, leader := newTransactionWithNewValue(t)
	leader.setFails(only(statement.Set))
	a := f.serveStatement(commit)
	qt.Check(t, a.Code, qt.Equals, statement.Aborted)
	qt.Check(t, a.State, qt.Equals, statement.Idle)
	qt.Check(t, leader.takeRan(), qt.HasLen, 0)
	qt.Check(t, leader.openTransactions(), qt.Equals, 0)
}

// The target's answer to the ROLLBACK after a read wasn't looked at, so that the next
// session got a connection with an open transaction.
func TestConnectionWithOpenTransactionIsNotUsedAgain(t *testing.T) {
	f, leader, _ := newStateFixture(t, catalog.LatestData)
	leader.setFails(only(statement.Rollback))
	qt.Assert(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	qt.Check(t, leader.openTransactions(), qt.Equals, 0)
}

// The same after a refused value or RESET.
func TestConnectionLeftInTransactionByRefusedStateIsNotUsedAgain(t *testing.T) {
	f, leader, _ := newStateFixture(t, catalog.LatestData)
	f.serveStatement(setArea("mine"))
	leader.setFails(only(statement.Set))
	leader.opens = statement.Set
	qt.Assert(t, f.serveStatement(write("a")).Code, qt.Equals, statement.Busy)
	qt.Check(t, leader.openTransactions(), qt.Equals, 0)

	f, leader, _ = newStateFixture(t, catalog.LatestData)
	leader.setFails(only(statement.Reset))
	leader.opens = statement.Reset
	qt.Check(t, answersReset(f.pool(t, "p").TryAcquire("")), qt.IsFalse)
}

// A statement whose session state got no answer wasn't sent, which callers of writes may
// rely on. A read is tried elsewhere, or timed out.
func TestStatementBehindLostSessionStateWasNotSent(t *testing.T) {
	for _, test := range []struct {
		st      statement.Statement
		timeout bool
		want    statement.Code
	}{{write("a"), false, statement.Busy}, {write("a"), true, statement.Busy}, {read("a"), true, statement.TimedOut}} {
		f, leader, _ := newStateFixture(t, catalog.LatestData)
		f.setStatementTimeout(50 * time.Millisecond)
		f.serveStatement(setArea("mine"))
		leader.breaks = func(kind statement.Kind) error {
			if kind != statement.Set {
				return nil
			}
			if test.timeout {
				time.Sleep(60 * time.Millisecond)
			}
			return &statement.ConnError{Sent: true, Timeout: test.timeout, Cause: errors.New("silent")}
		}
		a := f.serveStatement(test.st)
		qt.Check(t, a.Code, qt.Equals, test.want, qt.Commentf("%s, timeout %t: %+v", test.st.Text, test.timeout, a))
		qt.Check(t, leader.takeRan(), qt.HasLen, 0)
	}
}

// A COMMIT behind a lost answer wasn't sent either, and the closed connection rolls back.
func TestCommitBehindLostSessionStateIsAborted(t *testing.T) {
	f, leader := newTransactionWithNewValue(t)
	leader.breaks = func(kind statement.Kind) error {
		if kind == statement.Set {
			return &statement.ConnError{Sent: true, Cause: errors.New("reset")}
		}
		return nil
	}
	qt.Check(t, f.serveStatement(commit).Code, qt.Equals, statement.Aborted)
	qt.Check(t, leader.takeRan(), qt.HasLen, 0)
	qt.Check(t, leader.openTransactions(), qt.Equals, 0)
}

// Sessions without state cost no round trip for it, nor do those that follow them.
func TestNothingIsSentForSessionsWithoutState(t *testing.T) {
	f, leader, _ := newStateFixture(t, catalog.LatestData)
	for range 3 {
		s := f.server.newSession(nil)
		s.database = "db"
		for _, st := range []statement.Statement{write("a"), begin, write("b"), commit} {
			st.ID = "q"
			qt.Assert(t, s.serve(context.Background(), &st).OK(), qt.IsTrue)
		}
	}
	qt.Check(t, leader.sent, qt.HasLen, 0)
}

// A session that prepares the same as the one before it on a connection, which RESET
// cleared, must prepare it again.
func TestStatementPreparedAlikeByAnotherSessionIsPreparedAgain(t *testing.T) {
	f, leader, _ := newStateFixture(t, catalog.LatestData)
	f.useAllConnectionsUnder(t, "theirs", leader)
	f.serveStatement(prepare("WRITE theirs"))
	a := f.serveStatement(execute)
	qt.Check(t, a.OK(), qt.IsTrue, qt.Commentf("%+v", a))
	qt.Check(t, leader.takeRan(), qt.HasLen, 1)
}
