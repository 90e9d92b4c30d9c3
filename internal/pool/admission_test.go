package pool

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestQueueBoundIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newAdmission(rapid.IntRange(1, 8).Draw(t, "bound"))
		waiting := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "pop") {
				if q.pop() != nil {
					waiting--
				}
			} else {
				waiting += pushAny(t, q)
			}
			if q.len() > q.bound || q.len() != waiting || q.bytes > queueBytes {
				t.Fatalf("%d wait, %d counted, bound %d", q.len(), waiting, q.bound)
			}
		}
	})
}

// pushAny pushes an arrival and returns by how much the queue should grow.
func pushAny(t *rapid.T, q *admission) int {
	a := arrival{
		customer: topology.CustomerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")),
		weight:   rapid.Float64Range(0, 10).Draw(t, "weight"),
		timeLeft: time.Second,
		size:     rapid.IntRange(0, queueBytes/2).Draw(t, "size"),
	}
	ticket, evicted, refusal := q.push(t0, a, 1, 1)
	switch {
	case refusal != nil && (ticket != nil || evicted != nil):
		t.Fatalf("refused and admitted")
	case refusal != nil || evicted != nil:
		return 0
	}
	return 1
}

// Two customers that always have requests waiting are served by their weights.
func TestShareByWeightUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[topology.CustomerID]float64{
			"a": float64(rapid.IntRange(1, 8).Draw(t, "a")),
			"b": float64(rapid.IntRange(1, 8).Draw(t, "b")),
		}
		served := map[topology.CustomerID]float64{}
		q := newAdmission(16)
		const rounds = 400
		for range rounds {
			for customer, weight := range weights {
				for q.waiting[customer] < 2 {
					q.push(t0, arrival{customer, weight, time.Second, 0}, 1, 1)
				}
			}
			served[q.pop().customer]++
		}
		want := rounds * weights["a"] / (weights["a"] + weights["b"])
		if math.Abs(served["a"]-want) > 4 {
			t.Fatalf("weights %v served %v, want a: %.1f", weights, served, want)
		}
	})
}

// A single request of a light customer is served within as many others as the
// weights allow, whatever arrives after it.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heavy := float64(rapid.IntRange(1, 50).Draw(t, "heavy"))
		before := rapid.IntRange(0, 20).Draw(t, "before")
		q := newAdmission(256)
		for range before {
			q.push(t0, arrival{"flood", heavy, time.Second, 0}, 1, 1)
		}
		light, _, _ := q.push(t0, arrival{"light", 1, time.Second, 0}, 1, 1)
		for served := 0; ; served++ {
			q.push(t0, arrival{"flood", heavy, time.Second, 0}, 1, 1)
			if q.pop() == light {
				return
			}
			if served > before+int(heavy)+1 {
				t.Fatalf("still waiting after %d others", served)
			}
		}
	})
}

func TestFullQueueTakesFromTheCustomerThatHasMost(t *testing.T) {
	q := newAdmission(4)
	var last *ticket
	for range 4 {
		last, _, _ = q.push(t0, arrival{"flood", 1, time.Second, 0}, 1, 1)
	}
	_, evicted, refusal := q.push(t0, arrival{"quiet", 1, time.Second, 0}, 1, 1)
	qt.Assert(t, refusal == nil, qt.IsTrue)
	qt.Assert(t, evicted, qt.Equals, last)
	_, evicted, refusal = q.push(t0, arrival{"flood", 1, time.Second, 0}, 1, 1)
	qt.Assert(t, evicted, qt.IsNil)
	qt.Assert(t, refusal.Code, qt.Equals, result.QueueFull)
	qt.Assert(t, refusal.RetryAfter > 0, qt.IsTrue)
}

func TestQueueHoldsBoundedBytes(t *testing.T) {
	q := newAdmission(queueBound)
	for range 5 {
		q.push(t0, arrival{"a", 1, time.Second, queueBytes / 4}, 1, 1)
	}
	qt.Assert(t, q.len(), qt.Equals, 4)
	_, _, refusal := q.push(t0, arrival{"a", 1, time.Second, 1}, 1, 1)
	qt.Assert(t, refusal.Code, qt.Equals, result.QueueFull)
	q.pop()
	qt.Assert(t, q.bytes, qt.Equals, 3*queueBytes/4)
}

func TestRefusalTellsWhenTheQueueIsShortEnough(t *testing.T) {
	q := newAdmission(256)
	q.times.observe("a", 10*time.Millisecond)
	for range 20 {
		q.push(t0, arrival{"a", 1, time.Second, 0}, 2, 2)
	}
	// 20 ahead and itself on two connections of 10 ms each: 105 ms.
	late := arrival{"a", 1, 50 * time.Millisecond, 0}
	_, _, refusal := q.push(t0, late, 2, 2)
	qt.Assert(t, refusal.Code, qt.Equals, result.DeadlineTooClose)
	qt.Assert(t, refusal.RetryAfter, qt.Equals, 55*time.Millisecond)
	// Served at the estimated rate until then, the queue takes it.
	for range 11 {
		q.pop()
	}
	_, _, again := q.push(t0.Add(refusal.RetryAfter), late, 2, 2)
	qt.Assert(t, again == nil, qt.IsTrue)
}

func TestNeverRefusedWhileAConnectionIsFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newAdmission(8)
		q.times.observe("a", time.Duration(rapid.IntRange(1, 1e9).Draw(t, "service")))
		connections := rapid.IntRange(1, 8).Draw(t, "connections")
		waiting := rapid.IntRange(0, connections-1).Draw(t, "waiting")
		for range waiting {
			q.push(t0, arrival{"a", 1, time.Minute, 0}, connections, 0)
		}
		busy := rapid.IntRange(0, connections-1-waiting).Draw(t, "busy")
		left := time.Duration(rapid.IntRange(1, 1e9).Draw(t, "left"))
		if _, _, refusal := q.push(t0, arrival{"b", 1, left, 0}, connections, busy); refusal != nil {
			t.Fatalf("%d of %d busy, %d wait: %v", busy, connections, waiting, refusal)
		}
	})
}

func TestRepeatedReadsStayWithinTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b repeatBudget
		batches, repeats := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "repeat") && b.spend() {
				repeats++
			} else {
				b.earn()
				batches++
			}
			if float64(repeats) > repeatBurst+repeatShare*float64(batches)+1 {
				t.Fatalf("%d repeated of %d", repeats, batches)
			}
		}
	})
	_, enough := silentReadAfter(0, silentReadMin)
	qt.Assert(t, enough, qt.IsFalse)
	wait, enough := silentReadAfter(time.Second, time.Minute)
	qt.Assert(t, wait, qt.Equals, silentReadFactor*time.Second)
	qt.Assert(t, enough, qt.IsTrue)
}

func TestReturnsOfRefusedRequestsAreSpaced(t *testing.T) {
	q := newAdmission(1)
	q.times.observe("a", 10*time.Millisecond)
	q.push(t0, arrival{"a", 1, time.Second, 0}, 1, 1)
	var last time.Duration
	for i := range 5 {
		_, _, refusal := q.push(t0, arrival{"a", 1, time.Second, 0}, 1, 1)
		if i > 0 {
			qt.Check(t, refusal.RetryAfter-last, qt.Equals, 11*time.Millisecond)
		}
		last = refusal.RetryAfter
	}
}

func BenchmarkChooseUnderALongQueue(b *testing.B) {
	q := newAdmission(queueBound)
	q.times.observe("c0", time.Millisecond)
	customers := make([]topology.CustomerID, 32)
	for i := range customers {
		customers[i] = topology.CustomerID(fmt.Sprintf("c%d", i))
	}
	for i := range queueBound - 1 {
		q.push(t0, arrival{customers[i%len(customers)], 1, time.Minute, 0}, 6, 6)
	}
	for i := 0; b.Loop(); i++ {
		q.push(t0, arrival{customers[i%len(customers)], 1, time.Minute, 0}, 6, 6)
		q.pop()
	}
}
