package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const leaveNotice = 7 * time.Second

func newDepartureFixture(t *testing.T, freshness catalog.Freshness) *fixture {
	t.Helper()
	f := newFixtureWith(t, freshness, func(o *group.Options) { o.LeaveNotice = leaveNotice })
	f.awaitConnections(t)
	return f
}

// endLeader lets the leave notice of the leader end.
func (f *fixture) endLeader() {
	f.group.SetDepartures(map[topology.TargetID]time.Time{"p": steady.Now().Add(-leaveNotice)})
}

// After its notice a leader that wasn't replaced gets no statement by any way, and callers
// are told at once that theirs didn't run.
func TestLeaderGetsNoNewStatementAfterItsLeaveNotice(t *testing.T) {
	f := newDepartureFixture(t, catalog.LatestData)
	f.endLeader()
	for _, st := range []statement.Statement{write("a"), read("a")} {
		sent := time.Now()
		a := f.serveStatement(st)
		qt.Check(t, a.Code, qt.Equals, statement.Busy)
		qt.Check(t, a.Detail, qt.Equals, share.ErrEnded.Error())
		qt.Check(t, time.Since(sent) < 200*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %s", time.Since(sent)))
	}
	qt.Check(t, f.serveStatement(begin).OK(), qt.IsTrue)
	a := f.serveStatement(write("a"))
	qt.Check(t, a.Code.NotRun(), qt.IsTrue, qt.Commentf("%+v", a))
	qt.Check(t, a.State, qt.Equals, statement.Failed)
	f.serveStatement(statement.Statement{Kind: statement.Rollback, Text: "ROLLBACK"})
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
}

// A transaction that is open when the notice ends goes on to its commit.
func TestOpenTransactionOutlivesLeaveNotice(t *testing.T) {
	f := newDepartureFixture(t, catalog.LatestData)
	f.serveStatement(begin)
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	f.endLeader()
	qt.Check(t, f.serveStatement(write("b")).OK(), qt.IsTrue)
	qt.Check(t, f.serveStatement(commit).OK(), qt.IsTrue)
	qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x", "q WRITE b x", "q COMMIT"})
}

// A replica goes on serving the reads that it may serve.
func TestReplicaServesReadsAfterLeaveNoticeOfLeader(t *testing.T) {
	f := newDepartureFixture(t, catalog.BoundedAge)
	f.endLeader()
	qt.Check(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
	qt.Check(t, f.replica.receivedTexts(), qt.DeepEquals, []string{"q READ a"})
}

// Session state is sent ahead of a statement and may take seconds. The notice may end
// meanwhile.
func TestLeaveNoticeEndsWhileSessionStateIsApplied(t *testing.T) {
	for name, inTransaction := range map[string]bool{"single": false, "transaction": true} {
		t.Run(name, func(t *testing.T) {
			f := newDepartureFixture(t, catalog.LatestData)
			pool := f.pool(t, "p")
			f.leader.answer = func(st statement.Statement) (statement.Answer, error) {
				if st.Kind == statement.Set {
					f.endLeader()
				}
				return statement.Answer{}, nil
			}
			f.serveStatement(statement.Statement{Kind: statement.Set, Name: "tz", Value: "utc", Text: "SET tz utc"})
			if inTransaction {
				f.serveStatement(begin)
			}
			a := f.serveStatement(write("a"))
			qt.Check(t, a.Code.NotRun(), qt.IsTrue, qt.Commentf("%+v", a))
			qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"- SET tz utc"})
			qt.Check(t, pool.Load().Open, qt.Equals, 2)
		})
	}
}
