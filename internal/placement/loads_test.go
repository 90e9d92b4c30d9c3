package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestTheNewestLoadCounts(t *testing.T) {
	var l Loads
	told := offer("a", true, 3, 3) // by gossip, at now
	l.Sent("a", "g", now)
	l.Answered("a", "g", Load{Idle: 1, LeaderIdle: 0}, now.Add(10*time.Millisecond))
	got := l.Present("g", []Offer{told}, now.Add(20*time.Millisecond))
	qt.Check(t, got[0].Load, qt.Equals, Load{Idle: 1, LeaderIdle: 0})
	told.At = now.Add(15 * time.Millisecond)
	got = l.Present("g", []Offer{told}, now.Add(20*time.Millisecond))
	qt.Check(t, got[0].Load, qt.Equals, Load{Idle: 3, LeaderIdle: 3})
	got = l.Present("other", []Offer{told}, now.Add(20*time.Millisecond))
	qt.Check(t, got[0].Load, qt.Equals, told.Load)
}

func TestWhatWasSentSinceIsTakenOff(t *testing.T) {
	var l Loads
	for range 2 {
		l.Sent("a", "g", now)
	}
	told := offer("a", true, 3, 3)
	qt.Check(t, l.Present("g", []Offer{told}, now)[0].Load, qt.Equals, Load{Idle: 1, LeaderIdle: 1})
	later := now.Add(freshFor)
	qt.Check(t, l.Present("g", []Offer{told}, later)[0].Load, qt.Equals, told.Load)
}

func TestAHostThatFailedIsLeftOutUntilItIsHeardOf(t *testing.T) {
	var l Loads
	told := offer("a", true, 3, 3)
	failed := now.Add(time.Millisecond)
	l.Failed("a", "g", failed)
	qt.Check(t, l.Present("g", []Offer{told}, failed), qt.HasLen, 0)
	qt.Check(t, l.Present("g", []Offer{told}, failed.Add(failedFor)), qt.HasLen, 1)
	failed = failed.Add(failedFor)
	l.Failed("a", "g", failed)
	qt.Check(t, l.Present("g", []Offer{told}, failed.Add(failedFor)), qt.HasLen, 0)
	qt.Check(t, l.Present("g", []Offer{told}, failed.Add(2*failedFor)), qt.HasLen, 1)
	told.At = failed.Add(time.Millisecond)
	qt.Check(t, l.Present("g", []Offer{told}, told.At), qt.HasLen, 1)
}

func TestHostsThatAreGoneAreForgotten(t *testing.T) {
	var l Loads
	l.Sent("a", "g", now)
	l.Sent("b", "g", now.Add(2*forgetAfter))
	qt.Check(t, l.hosts, qt.HasLen, 1)
}
