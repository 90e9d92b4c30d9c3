package promotion

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// A log counts once a heartbeat of the same process is proved to be later than the status that told it:
// by the sequence, or since the entry would have expired without one.
func TestLogCountsOnceLaterHeartbeatIsProved(t *testing.T) {
	closed := steady.Now()
	at := func(ms int) time.Time { return closed.Add(time.Duration(ms) * time.Millisecond) }
	const lifetime = 4 * time.Second
	told := func() *logCheck {
		c := &logCheck{}
		c.since(closed)
		c.noteStatus(replica("a", pos(1, 9), 0).Status, at(-5), at(5))
		qt.Check(t, c.toldAt.IsZero(), qt.IsTrue, qt.Commentf("it was asked before the voters were closed"))
		c.noteStatus(replica("a", pos(1, 8), 0).Status, at(10), at(12))
		c.noteStatus(replica("a", pos(1, 0), 0).Status, at(30), at(32))
		qt.Check(t, c.told, qt.Equals, pos(1, 8), qt.Commentf("the newest counts"))
		return c
	}
	for name, test := range map[string]struct {
		notes  func(*logCheck)
		proved bool
	}{
		"no entry": {func(*logCheck) {}, false},
		"read before the status": {func(c *logCheck) {
			c.noteEntry(catalog.Heartbeat{Sequence: 1}, at(11), lifetime)
			c.noteEntry(catalog.Heartbeat{Sequence: 2}, at(40), lifetime)
		}, false},
		"the sequence rises": {func(c *logCheck) {
			c.noteEntry(catalog.Heartbeat{Sequence: 2}, at(40), lifetime)
			c.noteEntry(catalog.Heartbeat{Sequence: 3}, at(300), lifetime)
		}, true},
		"the entry stays": {func(c *logCheck) {
			c.noteEntry(catalog.Heartbeat{Sequence: 2}, at(40), lifetime)
			c.noteEntry(catalog.Heartbeat{Sequence: 2}, at(4000), lifetime)
		}, false},
		"it outlives a silent target's": {func(c *logCheck) {
			c.noteEntry(catalog.Heartbeat{Sequence: 2}, at(40), lifetime)
			c.noteEntry(catalog.Heartbeat{Sequence: 2}, at(4020), lifetime)
		}, true},
		"the store is silent meanwhile": {func(c *logCheck) {
			c.noteEntry(catalog.Heartbeat{Sequence: 2}, at(40), lifetime)
			c.noteGap()
			c.noteStatus(replica("a", pos(1, 0), 0).Status, at(1000), at(1002))
			c.noteEntry(catalog.Heartbeat{Sequence: 2}, at(4020), lifetime)
		}, false},
		"other voters are closed": {func(c *logCheck) {
			c.noteEntry(catalog.Heartbeat{Sequence: 2}, at(40), lifetime)
			c.noteEntry(catalog.Heartbeat{Sequence: 3}, at(300), lifetime)
			c.since(at(1))
		}, false},
	} {
		c := told()
		test.notes(c)
		qt.Check(t, c.proved, qt.Equals, test.proved, qt.Commentf(name))
	}
}

// A target whose log isn't proved to be the one that it had blocks a promotion that the logs decide,
// and what it told before it started again is needed.
func TestLogThatIsNotProvedBlocksPromotion(t *testing.T) {
	for _, id := range []topology.TargetID{"a", "b"} { // the candidate, and another one
		v := unknownFloor(replica("b", pos(1, 5), 2))
		for i := range v.Members {
			v.Members[i].LogProved = v.Members[i].ID != id
		}
		wait, waits := NextStep(v).(Wait)
		qt.Assert(t, waits, qt.IsTrue, qt.Commentf("%s", id))
		qt.Check(t, wait.For, qt.DeepEquals, []topology.TargetID{id})
		v.Covering = pos(1, 7) // a leader has told what is needed
		qt.Check(t, NextStep(v), qt.DeepEquals, Step(Promote{Target: "a"}))
	}
	v := unknownFloor(replica("b", pos(1, 5), 2))
	v.Members[1].LogTold = pos(1, 8)
	_, waits := NextStep(v).(Wait)
	qt.Check(t, waits, qt.IsTrue, qt.Commentf("b had more before it started again"))
}

// A target that states no incarnation keeps its log. Without the floor it has none that counts.
func TestLogWithoutIncarnationHasToReachTheFloor(t *testing.T) {
	w := &Watcher{opts: Options{}}
	pr := &prober{logCheck: logCheck{told: pos(1, 8)}}
	qt.Check(t, w.hasProvedLog(pr, pos(1, 8)), qt.IsTrue)
	qt.Check(t, w.hasProvedLog(pr, pos(1, 9)), qt.IsFalse)
}

// An entry of another incarnation, or none, proves nothing of the one whose log counts.
func TestHeartbeatOfAnotherIncarnationProvesNothing(t *testing.T) {
	beat, ok := catalog.Heartbeat{Incarnation: 1}, true
	w := &Watcher{opts: Options{
		Log: logr.Discard(), ReadHeartbeat: func(context.Context, topology.TargetID) (catalog.Heartbeat, bool, error) { return beat, ok, nil },
	}}
	read := func() (proved bool) {
		pr := &prober{recorded: 1, logCheck: logCheck{toldAt: steady.Now().Add(-time.Second)}}
		for range 2 {
			beat.Sequence++
			w.readHeartbeats(t.Context(), []*prober{pr})
		}
		return pr.logCheck.proved
	}
	qt.Check(t, read(), qt.IsTrue)
	beat.Incarnation = 2
	qt.Check(t, read(), qt.IsFalse)
	beat.Incarnation, ok = 1, false
	qt.Check(t, read(), qt.IsFalse)
}
