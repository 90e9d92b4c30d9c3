package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeLeases is a lease on the target "p" that a test can end.
type fakeLeases struct {
	mu        sync.Mutex
	ended     bool
	uncovered bool // answers come after the end
}

func (l *fakeLeases) valid(id topology.TargetID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && id == "p"
}

func (l *fakeLeases) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
}

func (l *fakeLeases) Target(topology.GroupID) (topology.TargetID, bool)   { return "p", l.valid("p") }
func (l *fakeLeases) Holds(_ topology.GroupID, id topology.TargetID) bool { return l.valid(id) }
func (l *fakeLeases) Covers(_ topology.GroupID, id topology.TargetID) bool {
	return l.valid(id) && !l.uncovered
}

// newLeaseFixture returns a session whose host needs leases and has one on the leader.
func newLeaseFixture(t *testing.T, freshness catalog.Freshness) (*fixture, *fakeLeases) {
	t.Helper()
	leases := &fakeLeases{}
	return newFixtureWith(t, freshness, func(o *group.Options) { o.Leases = leases }), leases
}

// endDuring ends the lease while the target runs statements of the kind.
func (f *fixture) endDuring(kind statement.Kind, leases *fakeLeases) {
	f.leader.answer = func(st statement.Statement) (statement.Answer, error) {
		if st.Kind == kind {
			leases.end()
		}
		return statement.Answer{}, nil
	}
}

// Without a lease nothing is sent to the former leader, and the caller is told at once
// that the statement has not run.
func TestWithoutLeaseNothingRunsAtTheFormerLeader(t *testing.T) {
	for _, st := range []statement.Statement{read("a"), write("a")} {
		f, leases := newLeaseFixture(t, catalog.LatestData)
		leases.end()
		f.group.LeaseEnded()
		f.noWait = true
		began := time.Now()
		a := f.serveStatement(st)
		qt.Check(t, a.Code, qt.Equals, statement.Busy)
		qt.Check(t, time.Since(began) < 300*time.Millisecond, qt.IsTrue)
		qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
	}
}

// A read within its bound goes on without a lease, at any target whose log has the
// position; the former leader is one of them.
func TestBoundedReadNeedsNoLease(t *testing.T) {
	f, leases := newLeaseFixture(t, catalog.BoundedAge)
	leases.end()
	f.group.LeaseEnded()
	qt.Check(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	qt.Check(t, append(f.replica.receivedTexts(), f.leader.receivedTexts()...), qt.DeepEquals, []string{"q READ a"})
}

// A proof of leadership without a lease names no anchor: the position may be that of a
// replaced primary.
func TestProofWithoutLeaseIsNoAnchor(t *testing.T) {
	f, leases := newLeaseFixture(t, catalog.BoundedAge)
	leases.end()
	late := topology.Position{Term: 1, Offset: 99}
	time.Sleep(20 * time.Millisecond) // all anchors are older than this
	f.group.NoteLeading("p", steady.Now(), &statement.Answer{Position: late, HasPosition: true})
	age, ok := f.group.AnchorAge()
	qt.Check(t, !ok || age >= 20*time.Millisecond, qt.IsTrue)
	leases.mu.Lock()
	leases.ended = false
	leases.mu.Unlock()
	sent := steady.Now()
	f.group.NoteLeading("p", sent, &statement.Answer{Position: late, HasPosition: true})
	covering, _ := f.group.CoveringPosition(time.Minute)
	qt.Check(t, covering.Offset > 0, qt.IsTrue)
	age, _ = f.group.AnchorAge()
	qt.Check(t, age <= steady.Now().Sub(sent), qt.IsTrue)
}

// A lease that has expired counts from that moment, before anything has noticed it.
func TestExpiredLeaseStopsStatementsAtOnce(t *testing.T) {
	f, leases := newLeaseFixture(t, catalog.LatestData)
	leases.end()
	f.noWait = true
	qt.Check(t, f.serveStatement(write("a")).Code, qt.Equals, statement.Busy)
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
}

// After the end of a lease the group counts the time without a leader, from which
// requests learn whether waiting helps.
func TestLeaseEndStartsTheTimeWithoutALeader(t *testing.T) {
	f, leases := newLeaseFixture(t, catalog.LatestData)
	leases.end()
	f.group.LeaseEnded()
	<-time.After(5 * time.Millisecond)
	qt.Check(t, f.group.LeaderLoss().Duration > 0, qt.IsTrue)
}

// The answer of a read is discarded if the lease ended before it arrived.
func TestReadWhoseLeaseEndedIsNotAnswered(t *testing.T) {
	f, leases := newLeaseFixture(t, catalog.LatestData)
	f.endDuring(statement.Read, leases)
	f.noWait = true
	qt.Check(t, f.serveStatement(read("a")).Code, qt.Equals, statement.Busy)
}

// A write whose lease ended before its answer arrived may have been lost by a
// promotion: its outcome is unknown, and it isn't sent again.
func TestWriteWhoseLeaseEndedIsInDoubt(t *testing.T) {
	f, leases := newLeaseFixture(t, catalog.LatestData)
	f.endDuring(statement.Write, leases)
	qt.Check(t, f.serveStatement(write("a")).Code, qt.Equals, statement.InDoubt)
	qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x"})
}

func TestCommitWhoseLeaseEndedIsInDoubt(t *testing.T) {
	f, leases := newLeaseFixture(t, catalog.LatestData)
	f.serveStatement(begin)
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	f.endDuring(statement.Commit, leases)
	qt.Check(t, f.serveStatement(commit).Code, qt.Equals, statement.InDoubt)
}

// A transaction whose lease has ended is aborted: its commit isn't sent, and the promise
// that nothing is kept is true.
func TestTransactionWithoutLeaseIsAborted(t *testing.T) {
	f, leases := newLeaseFixture(t, catalog.LatestData)
	f.serveStatement(begin)
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	leases.end()
	qt.Check(t, f.serveStatement(commit).Code, qt.Equals, statement.Aborted)
	qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x"})

	f, leases = newLeaseFixture(t, catalog.LatestData)
	f.serveStatement(begin)
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	leases.end()
	qt.Check(t, f.serveStatement(read("b")).Code, qt.Equals, statement.Aborted)
	qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x"})
}

// A leader is found as soon as a lease on it begins.
func TestLeaderIsFoundWhenALeaseBegins(t *testing.T) {
	f, leases := newLeaseFixture(t, catalog.LatestData)
	leases.end()
	f.group.LeaseEnded()
	_, _, ok := f.group.Leader()
	qt.Check(t, ok, qt.IsFalse)
	leases.mu.Lock()
	leases.ended = false
	leases.mu.Unlock()
	f.group.LeaseBegun()
	_, _, ok = f.group.WaitLeader(context.Background(), time.Now().Add(5*time.Second))
	qt.Check(t, ok, qt.IsTrue)
}

// A statement of a transaction whose answer the lease doesn't cover aborts it, and a
// transaction doesn't begin at a target whose answer isn't covered.
func TestUncoveredTransactionIsAborted(t *testing.T) {
	f, leases := newLeaseFixture(t, catalog.LatestData)
	f.serveStatement(begin)
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	leases.uncovered = true
	qt.Check(t, f.serveStatement(read("b")).Code, qt.Equals, statement.Aborted)

	f, leases = newLeaseFixture(t, catalog.LatestData)
	leases.uncovered = true
	f.noWait = true
	f.serveStatement(begin)
	qt.Check(t, f.serveStatement(write("a")).Code, qt.Equals, statement.Busy)
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
}
