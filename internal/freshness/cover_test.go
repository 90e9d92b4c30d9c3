package freshness

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Whatever order answers come in, a covered position includes every commit that
// was acknowledged before the time asked for, as long as the log isn't cut back.
func TestCoverIncludesWhatWasAcknowledged(t *testing.T) {
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
				answered := rapid.IntRange(sent, now).Draw(t, "looked at")
				a.LearnLeading(at(sent), topology.Position{Term: 1, Offset: uint64(log[answered])})
			}
			since := now - rapid.IntRange(0, min(now, 60)).Draw(t, "age")
			if p, ok := a.Cover(at(since)); ok && p.Offset < uint64(log[since]) {
				t.Fatalf("covered %d at %d ms, acknowledged were %d", p.Offset, since, log[since])
			}
		}
	})
}

// After a change of the leader nothing of before is covered.
func TestForgottenAnchorsCoverNothing(t *testing.T) {
	var a Anchors
	a.LearnLeading(time.Unix(1000, 0), topology.Position{Term: 1, Offset: 7})
	a.Forget()
	if p, ok := a.Cover(time.Unix(900, 0)); ok {
		t.Fatalf("covered %v", p)
	}
}
