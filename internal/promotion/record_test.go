package promotion

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// failingRecords is a duty whose records the store doesn't take while down is set.
type failingRecords struct {
	laterDuty
	down    bool
	state   duty.Leadership
	records int
}

func (d *failingRecords) Record(_ context.Context, _ topology.GroupID, state duty.Leadership) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.records++
	if d.down {
		return context.DeadlineExceeded
	}
	d.state = state
	return nil
}

// newRecordingWatcher returns a watcher of unfenced targets whose leader "a" leads term 3. The
// store takes no records yet.
func newRecordingWatcher() (*Watcher, *failingRecords, *unfencedGroup) {
	d := &failingRecords{laterDuty: laterDuty{token: 7}, down: true}
	g := newUnfencedGroup()
	w, _ := newVoidingWatcher(d)
	w.opts.Leases = g
	w.leaderTerm, w.requests.verified = 3, "a"
	return w, d, g
}

// Guards against the loss of review/6 where the platform checks no tokens: there a request that
// the store doesn't have isn't sent, and no leader is used that the store doesn't know.
func TestUnfencedTargetIsOrderedAndUsedOnlyOnceTheStoreHasIt(t *testing.T) {
	w, d, g := newRecordingWatcher()
	qt.Check(t, w.recordOrder(t.Context(), "b"), qt.IsFalse)
	qt.Check(t, w.requests.pendingTarget(steady.Now()), qt.Equals, topology.TargetID(""))
	w.grantLeases(t.Context())
	qt.Check(t, g.granted["a"], qt.IsFalse)
	qt.Check(t, d.records, qt.Equals, 1) // the store is not asked again at once
	d.down, w.recordAfter = false, time.Time{}
	w.grantLeases(t.Context())
	qt.Check(t, g.granted["a"], qt.IsTrue)
	qt.Check(t, w.recordOrder(t.Context(), "b"), qt.IsTrue)
	qt.Check(t, d.state, qt.Equals, duty.Leadership{Leader: "a", Term: 3, Ordered: "b"})
}

func TestCommitsOfUnfencedLeaderWaitForItsRecord(t *testing.T) {
	w, d, _ := newRecordingWatcher()
	r := &proofRecorder{}
	w.opts.Commits = r
	w.maintainCommits(t.Context())
	qt.Check(t, r.proofs, qt.HasLen, 0)
	d.down, w.recordAfter = false, time.Time{}
	w.maintainCommits(t.Context())
	qt.Check(t, r.proofs, qt.HasLen, 1)
}

// The record of an earlier term, or under an earlier tenure, is not that of the leader.
func TestRecordOfLeaderIsOfItsTermAndTenure(t *testing.T) {
	w, d, _ := newRecordingWatcher()
	w.recorded = duty.Leadership{Leader: "a", Term: 2}
	qt.Check(t, w.leaderIsRecorded(t.Context()), qt.IsFalse)
	d.down, w.recordAfter = false, time.Time{}
	qt.Check(t, w.leaderIsRecorded(t.Context()), qt.IsTrue)
	w.close()
	w.leader, w.leaderTerm, d.down = "a", 3, true
	qt.Check(t, w.leaderIsRecorded(t.Context()), qt.IsFalse)
}
