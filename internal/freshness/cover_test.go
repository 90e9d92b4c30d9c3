package freshness

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// In whatever order answers arrive, the covering position includes every commit
// that was acknowledged before the requested time, as long as the log isn't
// truncated.
func TestCoveringPositionIncludesAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Anchors
		start := time.Unix(1000, 0)
		at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
		log := []int{0} // length of the leader's log by millisecond
		now := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for range rapid.IntRange(1, 20).Draw(t, "later") {
				log = append(log, log[now]+rapid.IntRange(0, 1).Draw(t, "commits"))
				now++
			}
			if rapid.Bool().Draw(t, "answer") {
				sent := now - rapid.IntRange(0, min(now, 15)).Draw(t, "took")
				answered := rapid.IntRange(sent, now).Draw(t, "read at")
				a.RecordLeaderPosition(at(sent), topology.Position{Term: 1, Offset: uint64(log[answered])})
			}
			since := now - rapid.IntRange(0, min(now, 60)).Draw(t, "age")
			if p, ok := a.CoveringPosition(at(since)); ok && p.Offset < uint64(log[since]) {
				t.Fatalf("covering position %d at %d ms, but %d was acknowledged", p.Offset, since, log[since])
			}
		}
	})
}

// After a change of leader, anchors of the previous leader must not cover
// anything.
func TestCoveringPositionIsUnknownAfterForget(t *testing.T) {
	var a Anchors
	a.RecordLeaderPosition(time.Unix(1000, 0), topology.Position{Term: 1, Offset: 7})
	a.Forget()
	if p, ok := a.CoveringPosition(time.Unix(900, 0)); ok {
		t.Fatalf("covering position %v after Forget", p)
	}
}
