package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestNewestLoadIsUsed(t *testing.T) {
	var l Loads
	gossiped := offer("a", true, 3, 3) // received by gossip at now
	l.RecordSent("a", "g", now)
	l.RecordAnswer("a", "g", Load{Idle: 1, LeaderIdle: 0}, now.Add(10*time.Millisecond))
	got := l.CurrentOffers("g", []Offer{gossiped}, now.Add(20*time.Millisecond))
	qt.Check(t, got[0].Load, qt.Equals, Load{Idle: 1, LeaderIdle: 0})
	gossiped.RequestedAt = now.Add(15 * time.Millisecond)
	got = l.CurrentOffers("g", []Offer{gossiped}, now.Add(20*time.Millisecond))
	qt.Check(t, got[0].Load, qt.Equals, Load{Idle: 3, LeaderIdle: 3})
	got = l.CurrentOffers("other", []Offer{gossiped}, now.Add(20*time.Millisecond))
	qt.Check(t, got[0].Load, qt.Equals, gossiped.Load)
}

func TestStatementsSentSinceReportReduceLoad(t *testing.T) {
	var l Loads
	for range 2 {
		l.RecordSent("a", "g", now)
	}
	gossiped := offer("a", true, 3, 3)
	qt.Check(t, l.CurrentOffers("g", []Offer{gossiped}, now)[0].Load, qt.Equals, Load{Idle: 1, LeaderIdle: 1})
	later := now.Add(loadTTL)
	qt.Check(t, l.CurrentOffers("g", []Offer{gossiped}, later)[0].Load, qt.Equals, gossiped.Load)
}

func TestFailedHostIsExcludedUntilNewerReport(t *testing.T) {
	var l Loads
	gossiped := offer("a", true, 3, 3)
	failed := now.Add(time.Millisecond)
	l.RecordFailure("a", "g", failed)
	qt.Check(t, l.CurrentOffers("g", []Offer{gossiped}, failed), qt.HasLen, 0)
	qt.Check(t, l.CurrentOffers("g", []Offer{gossiped}, failed.Add(minFailureBackoff)), qt.HasLen, 1)
	failed = failed.Add(minFailureBackoff)
	l.RecordFailure("a", "g", failed)
	qt.Check(t, l.CurrentOffers("g", []Offer{gossiped}, failed.Add(minFailureBackoff)), qt.HasLen, 0)
	qt.Check(t, l.CurrentOffers("g", []Offer{gossiped}, failed.Add(2*minFailureBackoff)), qt.HasLen, 1)
	gossiped.RequestedAt = failed.Add(time.Millisecond)
	qt.Check(t, l.CurrentOffers("g", []Offer{gossiped}, gossiped.RequestedAt), qt.HasLen, 1)
}

func TestIdleEntriesAreDropped(t *testing.T) {
	var l Loads
	l.RecordSent("a", "g", now)
	l.RecordSent("b", "g", now.Add(2*idleEntryTTL))
	qt.Check(t, l.entries, qt.HasLen, 1)
}
