package slowstart

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// weightOver returns when the weight of a target is whole again after a return, with answers
// that take the given time from then on, every 10 ms.
func riseTime(r *Ramp, from time.Time, took time.Duration) time.Duration {
	for d := time.Duration(0); d < time.Minute; d += 10 * time.Millisecond {
		if r.Weight(from.Add(d)) >= 1 {
			return d
		}
		if took > 0 {
			r.Answer(from.Add(d), took)
		}
	}
	return time.Minute
}

// The weight must rise from a tenth over two seconds, in half of the time with answers as
// fast as usual, and in twice the time with slow ones, so that neither a warm target idles
// nor a cold one is flooded.
func TestRiseFollowsAnswers(t *testing.T) {
	const usual = 14 * time.Millisecond
	for _, test := range []struct{ took, want time.Duration }{
		{0, 2 * time.Second}, {usual, time.Second}, {usual * 3 / 2, 2 * time.Second}, {6 * usual, 4 * time.Second},
	} {
		var r Ramp
		for i := range 100 {
			r.Answer(at(time.Duration(i)*time.Millisecond), usual)
		}
		back := at(time.Second)
		qt.Check(t, r.Weight(back), qt.Equals, 1.0)
		r.Return(back, 0)
		qt.Check(t, r.Weight(back), qt.Equals, 0.1)
		got := riseTime(&r, back, test.took)
		qt.Check(t, got >= test.want-20*time.Millisecond && got <= test.want+20*time.Millisecond, qt.IsTrue, qt.Commentf("%v: %v", test.took, got))
	}
}

// A target that says how long it stays cold gets its whole weight no earlier without answers.
func TestColdTargetRisesOverStatedTime(t *testing.T) {
	var r Ramp
	qt.Check(t, r.Return(start, 5*time.Second), qt.Equals, 5*time.Second)
	got := riseTime(&r, start, 0)
	qt.Check(t, got >= 5*time.Second && got <= 5020*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
}

// A flapping target must get less at each return: the time doubles up to 8 s, and is the
// usual one again after 30 s without a return.
func TestFlappingDoublesTime(t *testing.T) {
	var r Ramp
	now := start
	for _, want := range []time.Duration{2, 4, 8, 8, 8} {
		qt.Check(t, r.Return(now, 0), qt.Equals, want*time.Second)
		now = now.Add(3 * time.Second)
	}
	qt.Check(t, r.Return(now.Add(27*time.Second), 0), qt.Equals, 2*time.Second)
}

// A group whose targets all returned at once must not hold off reads from any of them.
func TestEqualWeightsHoldNothingOff(t *testing.T) {
	weights := []float64{0.1, 0.1, 0.1}
	Normalize(weights)
	qt.Check(t, weights, qt.DeepEquals, []float64{1, 1, 1})
	weights = []float64{0.2, 0.1}
	Normalize(weights)
	qt.Check(t, weights, qt.DeepEquals, []float64{1, 0.5})
	Normalize(nil)
}

// The simulated group: three targets with work slots, of which one returns with cold caches.
const (
	simSlots = 4
	simQueue = 32
	simWork  = 14 * time.Millisecond // of a read at a warm target
	simRate  = 450                   // reads a second, a little over half of the capacity
	simGoal  = 200 * time.Millisecond
	simCold  = 6 // times as slow when cold
)

type simTarget struct {
	slots     [simSlots]time.Time // when each is free
	upAt      time.Time
	downUntil time.Time
	ramp      Ramp
	got       int
}

// take runs a read and returns when it ends, or false if the queue is full.
func (s *simTarget) take(now time.Time, work time.Duration) (time.Time, bool) {
	earliest, pending := 0, time.Duration(0)
	for i := range s.slots {
		if s.slots[i].Before(s.slots[earliest]) {
			earliest = i
		}
		pending += max(s.slots[i].Sub(now), 0)
	}
	if pending > (simSlots+simQueue)*work {
		return now, false
	}
	begin := s.slots[earliest]
	if begin.Before(now) {
		begin = now
	}
	s.slots[earliest] = begin.Add(work)
	return s.slots[earliest], true
}

// slowness is how many times as long a read takes: the target warms in two seconds of being
// up, and more slowly while it is overloaded.
func (s *simTarget) slowness(now time.Time) float64 {
	if s.upAt.IsZero() {
		return 1
	}
	cold := 1 - now.Sub(s.upAt).Seconds()/2
	return 1 + (simCold-1)*max(cold, 0)
}

type simRead struct {
	end  time.Time
	took time.Duration
	to   *simTarget
}

// simulate sends reads to the targets, each to one drawn at random and, if ramped, held off
// from a target by its weight. The third target is down in the intervals. It returns the
// reads that were late or refused, and all reads of the third target.
func simulate(ramped bool, downs [][2]time.Duration, total time.Duration) (bad, all, toThird int) {
	random := rand.New(rand.NewPCG(7, 8))
	targets := []*simTarget{{}, {}, {}}
	third := targets[2]
	var running []simRead
	for i := 0; ; i++ {
		now := at(time.Duration(i) * time.Second / simRate)
		if now.Sub(start) > total {
			return bad, all, third.got
		}
		rest := running[:0]
		for _, r := range running {
			if now.Before(r.end) {
				rest = append(rest, r)
				continue
			}
			r.to.ramp.Answer(r.end, r.took)
		}
		running = rest
		for _, down := range downs {
			if !third.downUntil.Equal(at(down[1])) && now.Sub(start) >= down[0] && now.Sub(start) < down[1] {
				third.downUntil, third.upAt = at(down[1]), at(down[1])
				third.slots = [simSlots]time.Time{}
				third.ramp.Return(third.upAt, 0)
			}
		}
		up := targets[:2]
		if !now.Before(third.downUntil) {
			up = targets
		}
		weights := make([]float64, len(up))
		for j, target := range up {
			weights[j] = target.ramp.Weight(now)
		}
		Normalize(weights)
		j := random.IntN(len(up))
		for ramped && random.Float64() >= weights[j] {
			j = random.IntN(len(up))
		}
		all++
		up[j].got++
		end, ok := up[j].take(now, time.Duration(float64(simWork)*up[j].slowness(now)))
		if !ok || end.Sub(now) > simGoal {
			bad++
		}
		if ok {
			running = append(running, simRead{end, end.Sub(now), up[j]})
		}
	}
}

// A cold target must not make reads late or refused that the other targets serve in time.
func TestColdTargetDoesNotDelayReads(t *testing.T) {
	downs := [][2]time.Duration{{2 * time.Second, 4 * time.Second}}
	with, all, _ := simulate(true, downs, 10*time.Second)
	without, _, _ := simulate(false, downs, 10*time.Second)
	t.Logf("late or refused of %d: %d with the slow start, %d without", all, with, without)
	qt.Check(t, with < all/100, qt.IsTrue)
	qt.Check(t, without > 5*max(with, 1), qt.IsTrue)
}

// A target that returns every three seconds and stays for two gets few reads, and makes few
// of them late.
func TestFlappingTargetGetsFewReads(t *testing.T) {
	var downs [][2]time.Duration
	for s := time.Duration(1); s < 28; s += 3 {
		downs = append(downs, [2]time.Duration{s * time.Second, (s + 1) * time.Second})
	}
	with, all, got := simulate(true, downs, 28*time.Second)
	without, _, gotWithout := simulate(false, downs, 28*time.Second)
	t.Logf("late or refused of %d: %d with the slow start, %d without; reads of the target %d and %d", all, with, without, got, gotWithout)
	qt.Check(t, with < all/50, qt.IsTrue)
	qt.Check(t, without > 3*max(with, 1), qt.IsTrue)
	qt.Check(t, got < gotWithout/2, qt.IsTrue)
}
