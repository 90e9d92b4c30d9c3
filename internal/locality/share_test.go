package locality

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_000_000, 0)

// overloaded is the input of a domain whose callers wait, while others have capacity.
func overloaded(now time.Time) Input {
	return Input{
		Home:       Figure{Expected: 400 * time.Millisecond, MeasuredAt: now, Available: true},
		Away:       Figure{Expected: 20 * time.Millisecond, MeasuredAt: now, Available: true},
		Unmeasured: 17 * time.Millisecond,
		Bytes:      900,
		Prices:     simPrices,
	}
}

var ordinary = Work{Goal: simGoal, TimeLeft: simDeadline, Priority: 1}

// advance updates the share for the given time with 20 statements in each interval,
// and returns the time after it and how many of them left.
func advance(s *Share, now time.Time, d time.Duration, input func(time.Time) Input) (time.Time, int) {
	left := 0
	for end := now.Add(d); now.Before(end); now = now.Add(UpdateInterval) {
		s.Update(input(now), now)
		for range 20 {
			if s.Leaves(ordinary) {
				left++
			}
		}
	}
	return now, left
}

func TestShareChangesGradually(t *testing.T) {
	var s Share
	now, previous := start, 0.0
	for range 30 {
		now, _ = advance(&s, now, UpdateInterval, overloaded)
		qt.Check(t, s.Value()-previous <= maxRise*UpdateInterval.Seconds()+1e-9, qt.IsTrue)
		previous = s.Value()
	}
	qt.Check(t, s.Value(), qt.Equals, 1-probeShare)
	for range 30 {
		now, _ = advance(&s, now, UpdateInterval, func(now time.Time) Input {
			in := overloaded(now)
			in.Home.Expected = 15 * time.Millisecond
			return in
		})
		qt.Check(t, previous-s.Value() <= maxFall*UpdateInterval.Seconds()+1e-9, qt.IsTrue)
		previous = s.Value()
	}
	qt.Check(t, s.Value() < 0.01, qt.IsTrue)
}

// A host that stops hearing of other domains must not continue to send its work there
// by an old figure.
func TestShareDecaysWithStaleFigures(t *testing.T) {
	var s Share
	now, _ := advance(&s, start, 5*time.Second, overloaded)
	qt.Assert(t, s.Value() > 0.9, qt.IsTrue)
	last := now
	stale := func(now time.Time) Input {
		in := overloaded(now)
		in.Away.MeasuredAt = last
		return in
	}
	now, _ = advance(&s, now, freshFor+4*staleHalfLife, stale)
	qt.Check(t, s.Value() <= 2*probeShare, qt.IsTrue)
	qt.Check(t, s.Reason(), qt.Equals, Stale)
	// An old figure of the own domain is no reason to leave.
	var t2 Share
	_, left := advance(&t2, now, 2*time.Second, func(now time.Time) Input {
		in := overloaded(now)
		in.Home.MeasuredAt = start.Add(-time.Minute)
		return in
	})
	qt.Check(t, left, qt.Equals, 0)
}

func TestDomainWithoutTargetsSendsEverything(t *testing.T) {
	var s Share
	_, left := advance(&s, start, UpdateInterval, func(now time.Time) Input {
		in := overloaded(now)
		in.Home = Figure{}
		return in
	})
	qt.Check(t, left, qt.Equals, 20)
	qt.Check(t, s.Value(), qt.Equals, 1.0)
	qt.Check(t, s.Required(), qt.IsTrue)
}

func TestNothingLeavesWithoutCapacityElsewhere(t *testing.T) {
	for _, change := range []func(*Input){
		func(in *Input) { in.Away.Short = true },
		func(in *Input) { in.Away.Available = false },
		func(in *Input) { in.Prices = Prices{Gigabyte: 1} }, // waiting has no price
		func(in *Input) { in.Bytes = 1e6 },
	} {
		var s Share
		_, left := advance(&s, start, 5*time.Second, func(now time.Time) Input {
			in := overloaded(now)
			change(&in)
			return in
		})
		qt.Check(t, left, qt.Equals, 0)
	}
}

// If a link is cut in one direction, each statement sent there costs a caller its
// answer, so that attempts must become rare.
func TestUnansweredStatementsBecomeRare(t *testing.T) {
	var s Share
	now, left, total := start, 0, 0
	for range 300 { // one minute
		lost := left
		now, left = advance(&s, now, UpdateInterval, func(now time.Time) Input {
			in := overloaded(now)
			in.Away = Figure{Available: true}
			in.Lost = lost
			return in
		})
		total += left
	}
	t.Logf("%d statements in a minute", total)
	qt.Check(t, total <= 25, qt.IsTrue)
}

func TestUrgentStatementsLeaveFirst(t *testing.T) {
	var s Share
	left := [3]int{}
	now := start
	for range 20 {
		in := overloaded(now)
		in.Refused, in.Served = 1, 1 // keeps the share from rising to its maximum
		s.Update(in, now)
		for i := range 60 {
			w := ordinary
			w.Priority = i % 3
			if s.Leaves(w) {
				left[w.Priority]++
			}
		}
		now = now.Add(UpdateInterval)
		s.value = min(s.value, 0.3)
	}
	t.Logf("left by priority: %v", left)
	qt.Check(t, left[0] > left[2], qt.IsTrue)
}

func TestStatementThatCannotArriveInTimeStays(t *testing.T) {
	var s Share
	advance(&s, start, 5*time.Second, overloaded)
	w := ordinary
	w.TimeLeft = 10 * time.Millisecond
	for range 20 {
		qt.Assert(t, s.Leaves(w), qt.IsFalse)
	}
}

func TestIntakeBoundsForeignWorkWhileOwnCallersWait(t *testing.T) {
	for _, required := range []bool{false, true} {
		i := NewIntake(start.Add(-warmUp))
		own, accepted := 0, 0
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
			i.CountOwn(now)
			own++
			for range 3 {
				if i.Admit(required, Capacity{Open: 4, Free: -1}, now) {
					accepted++
				}
			}
		}
		bound := maxOptionalIntake
		if required {
			bound = maxRequiredIntake
		}
		t.Logf("required %t: %d accepted, %d own", required, accepted, own)
		qt.Check(t, float64(accepted) <= bound*float64(own), qt.IsTrue)
		qt.Check(t, float64(accepted) > 0.8*bound*float64(own), qt.IsTrue)
		qt.Check(t, i.Admit(required, Capacity{Open: 4, Free: 1}, start.Add(5*time.Second)), qt.IsTrue)
	}
}

func TestColdHostAcceptsLittle(t *testing.T) {
	i := NewIntake(start)
	half := start.Add(warmUp / 2)
	qt.Check(t, i.Admit(false, Capacity{Open: 4, Free: 3}, start), qt.IsFalse)
	qt.Check(t, i.Admit(false, Capacity{Open: 4, Free: 1}, half), qt.IsFalse)
	qt.Check(t, i.Admit(false, Capacity{Open: 4, Free: 2}, half), qt.IsTrue)
	qt.Check(t, i.Admit(false, Capacity{Open: 4, Free: 0}, start.Add(warmUp)), qt.IsTrue)
	qt.Check(t, i.Admit(true, Capacity{Open: 4, Free: 1}, start), qt.IsTrue)
}

func TestPrices(t *testing.T) {
	qt.Check(t, Prices{}.Enabled(), qt.IsFalse)
	qt.Check(t, Prices{Second: 1}.Enabled(), qt.IsTrue)
	for _, bad := range []Prices{{Gigabyte: -1}, {Second: math.NaN()}, {Second: math.Inf(1)}} {
		qt.Check(t, bad.Validate(), qt.IsNotNil)
	}
	qt.Check(t, Prices{Gigabyte: 5}.Validate(), qt.IsNil)
	qt.Check(t, Prices{Gigabyte: 4000, Second: 1}.delayForBytes(900), qt.Equals, 3600*time.Microsecond)
	qt.Check(t, Prices{Gigabyte: 1}.delayForBytes(900), qt.Equals, maxDelayForBytes)
	qt.Check(t, Prices{Second: 1}.delayForBytes(900), qt.Equals, time.Duration(0))
}

func TestMeterAveragesRecentStatements(t *testing.T) {
	var m Meter
	qt.Check(t, m.Mean(), qt.Equals, 0.0)
	m.Add(100)
	m.Add(300)
	qt.Check(t, m.Mean(), qt.Equals, 200.0)
	for range 1000 {
		m.Add(1000)
	}
	qt.Check(t, math.Abs(m.Mean()-1000) < 1, qt.IsTrue)
}

// A statement that its domain refuses is sent out beyond the share, as a refusal costs
// more than bytes; but not where others are slow, refuse or don't answer.
func TestRefusedStatementLeaves(t *testing.T) {
	sent := func(change func(*Input)) int {
		var s Share
		n := 0
		for now := start; now.Before(start.Add(2 * time.Second)); now = now.Add(UpdateInterval) {
			in := overloaded(now)
			in.Prices = Prices{Gigabyte: 1e9, Second: 1} // nothing leaves to save time
			change(&in)
			s.Update(in, now)
			for range 20 {
				qt.Assert(t, s.Leaves(ordinary), qt.IsFalse)
				if s.SendsRefused(ordinary, now) {
					n++
				}
			}
		}
		return n
	}
	qt.Check(t, sent(func(*Input) {}), qt.Equals, 200)
	qt.Check(t, sent(func(in *Input) { in.Away.MeasuredAt = time.Time{} }), qt.Equals, 10) // one for each update
	qt.Check(t, sent(func(in *Input) { in.Away.Expected = 2 * simGoal }), qt.Equals, 0)
	qt.Check(t, sent(func(in *Input) { in.Refused, in.Served = 3, 1 }), qt.Equals, 0)
	qt.Check(t, sent(func(in *Input) { in.Lost = unansweredLimit }), qt.Equals, 0)
	qt.Check(t, sent(func(in *Input) { in.Away.Short = true }), qt.Equals, 0)
}
