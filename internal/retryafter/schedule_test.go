package retryafter

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

var startTime = time.Unix(1_000_000, 0)

const (
	testRate = 200.0 // statements a second; every second one is promised
	testSlot = 10 * time.Millisecond
)

// Callers refused at the same moment that return together are refused again.
func TestCrowdReturnsOneCallerPerSlot(t *testing.T) {
	s := NewSchedule(startTime)
	const in, left = 100 * time.Millisecond, time.Second
	var times []time.Duration
	for range 200 {
		after, ok := s.Next(startTime, &Refusal{In: in, Left: left, Rate: testRate})
		if !ok {
			continue
		}
		qt.Check(t, after >= in && after <= left, qt.IsTrue, qt.Commentf("%s", after))
		times = append(times, after)
	}
	qt.Check(t, len(times), qt.Equals, int((left-in)/testSlot)+1)
	slices.Sort(times)
	for i := 1; i < len(times); i++ {
		qt.Check(t, times[i]-times[i-1], qt.Equals, testSlot)
	}
}

// A caller that can't wait for its slot is told no time, and leaves the slot to one that can.
func TestCallerWithShortDeadlineIsToldNoTime(t *testing.T) {
	s := NewSchedule(startTime)
	refusal := Refusal{In: 300 * time.Millisecond, Left: 299 * time.Millisecond, Rate: testRate}
	_, ok := s.Next(startTime, &refusal)
	qt.Check(t, ok, qt.IsFalse)
	refusal.Left = 300 * time.Millisecond
	after, ok := s.Next(startTime, &refusal)
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, after, qt.Equals, 300*time.Millisecond)
	_, ok = s.Next(startTime, &refusal)
	qt.Check(t, ok, qt.IsFalse, qt.Commentf("its slot is taken"))
}

// A host that shuts down has no capacity to wait for, other hosts have it now.
func TestShutdownSendsCallersToOtherHostsAtOnce(t *testing.T) {
	s := NewSchedule(startTime)
	for range 3 {
		after, ok := s.Next(startTime, &Refusal{Reason: ShuttingDown})
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, after, qt.Equals, time.Duration(0))
	}
}

// crowd returns refusals in random order: of each priority 10 customers with one caller each,
// and one customer with 75.
func crowd(random *rand.Rand) []Refusal {
	var list []Refusal
	for priority := range 3 {
		for i := range 10 {
			list = append(list, Refusal{Customer: topology.CustomerID(rune('a' + i)), Priority: priority})
		}
		for range 75 {
			list = append(list, Refusal{Customer: "large", Priority: priority})
		}
	}
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

// Without turns, a customer at 7.5 times its usual load would take the slots of all others:
// the last of the small customers' callers would return after more than a second.
func TestSmallCustomersReturnBeforeLargeOne(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 10 {
		s := NewSchedule(startTime)
		var small, large, last [3]time.Duration // sums, and the last one of the small
		var told [3]int                         // of the large one
		for _, r := range crowd(random) {
			r.In, r.Left, r.Rate = 20*time.Millisecond, 1200*time.Millisecond, 2*testRate
			if r.Priority == 2 {
				r.Left = 4 * time.Second
			}
			after, ok := s.Next(startTime, &r)
			switch {
			case r.Customer != "large":
				qt.Check(t, ok, qt.IsTrue, qt.Commentf("customer %s, priority %d", r.Customer, r.Priority))
				small[r.Priority] += after
				last[r.Priority] = max(last[r.Priority], after)
			case ok:
				large[r.Priority] += after
				told[r.Priority]++
			}
		}
		for priority := range 2 {
			qt.Check(t, small[priority]/10 < large[priority]/time.Duration(told[priority])*2/3, qt.IsTrue, qt.Commentf("priority %d", priority))
		}
		qt.Check(t, last[0] <= 300*time.Millisecond, qt.IsTrue, qt.Commentf("%s", last))
		qt.Check(t, last[1] <= 700*time.Millisecond, qt.IsTrue, qt.Commentf("%s", last))
	}
}

// Without regard to urgency, order confirmations would return behind browsing, although
// they were refused for the same reason and have the shortest deadline.
func TestUrgentCallersReturnFirst(t *testing.T) {
	const runs, perPriority = 10, 40
	random := rand.New(rand.NewPCG(1, 2))
	var sum [3]time.Duration
	for range runs {
		var list []Refusal
		for priority := range 3 {
			list = append(list, slices.Repeat([]Refusal{{Priority: priority, In: 20 * time.Millisecond, Left: 4 * time.Second, Rate: testRate}}, perPriority)...)
		}
		random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		s := NewSchedule(startTime)
		for _, r := range list {
			after, ok := s.Next(startTime, &r)
			qt.Assert(t, ok, qt.IsTrue)
			sum[r.Priority] += after
		}
	}
	var mean [3]time.Duration
	for priority := range mean {
		mean[priority] = sum[priority] / (runs * perPriority)
	}
	t.Logf("mean %s", mean)
	// In the order of refusal, each mean would be 620 ms.
	qt.Check(t, mean[0] < 450*time.Millisecond, qt.IsTrue)
	qt.Check(t, mean[1] > mean[0]*3/2 && mean[2] > mean[1], qt.IsTrue)
}

// If the expected capacity doesn't appear, callers that return at a fixed interval load the
// host all the time. Once something is served, the estimates count again.
func TestTimesDoubleWhileCapacityDoesNotReturn(t *testing.T) {
	s := NewSchedule(startTime)
	now := startTime
	refusal := Refusal{Reason: NoLeader, In: 200 * time.Millisecond, Left: 5 * time.Second, Rate: 1000}
	next := func() time.Duration {
		after, ok := s.Next(now, &refusal)
		qt.Assert(t, ok, qt.IsTrue)
		return after
	}
	now = now.Add(next())
	refusal.In = 0
	for _, step := range []time.Duration{50, 100, 200, 400, 800, 1000, 1000} {
		after := next()
		qt.Check(t, after, qt.Equals, step*time.Millisecond)
		now = now.Add(after)
	}
	qt.Check(t, s.Step(now), qt.Equals, time.Second)
	refusal.In = 30 * time.Millisecond
	s.NoteServed(false)
	now = now.Add(next())
	qt.Check(t, s.Step(now), qt.Equals, time.Second, qt.Commentf("a read at a replica doesn't show that there is a leader"))
	s.NoteServed(true)
	qt.Check(t, next(), qt.Equals, 30*time.Millisecond)
	qt.Check(t, s.Step(now), qt.Equals, time.Duration(0))
}

// A long crowd must neither grow the memory nor give two callers the same slot, whatever
// the rates, priorities and estimates are.
func TestSlotsAreDistinctAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSchedule(startTime)
		now := startTime
		rate := rapid.Float64Range(0, 5000).Draw(t, "rate")
		slots := map[time.Time]bool{}
		for range rapid.IntRange(1, 300).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			r := Refusal{
				Reason:   Reasons()[rapid.IntRange(0, 3).Draw(t, "reason")],
				Customer: topology.CustomerID(rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(t, "customer")),
				Priority: rapid.IntRange(-1, 20).Draw(t, "priority"),
				Left:     time.Duration(rapid.IntRange(-10, 4000).Draw(t, "left")) * time.Millisecond,
				In:       time.Duration(rapid.IntRange(-10, 1500).Draw(t, "in")) * time.Millisecond,
				Rate:     rate,
			}
			if rapid.IntRange(0, 9).Draw(t, "served") == 0 {
				s.NoteServed(rapid.Bool().Draw(t, "at leader"))
			}
			after, ok := s.Next(now, &r)
			if !ok {
				continue
			}
			if after <= 0 || after > r.Left {
				t.Fatalf("time %s with %s left", after, r.Left)
			}
			if slots[now.Add(after)] {
				t.Fatalf("slot at %s given twice", after)
			}
			slots[now.Add(after)] = true
			if n, _ := s.Promised(now); n > maxPromises {
				t.Fatalf("%d promises", n)
			}
		}
	})
}

func TestFullScheduleTellsNoTime(t *testing.T) {
	s := NewSchedule(startTime)
	told := 0
	for range 2 * maxPromises {
		if _, ok := s.Next(startTime, &Refusal{In: minWait, Left: time.Hour, Rate: 1e6}); ok {
			told++
		}
	}
	qt.Check(t, told, qt.Equals, maxPromises)
	_, last := s.Promised(startTime)
	_, ok := s.Next(startTime.Add(last), &Refusal{In: minWait, Left: time.Second, Rate: 1e6})
	qt.Check(t, ok, qt.IsTrue, qt.Commentf("slots that are due are dropped"))
}

func BenchmarkNextInFullSchedule(b *testing.B) {
	s := NewSchedule(startTime)
	for i := range maxPromises - 1 {
		s.Next(startTime, &Refusal{Customer: topology.CustomerID(rune('a' + i%20)), Priority: i % 3, In: minWait, Left: time.Hour, Rate: testRate})
	}
	r := Refusal{Customer: "a", In: minWait, Left: time.Second, Rate: testRate}
	for b.Loop() {
		s.Next(startTime, &r)
	}
}
