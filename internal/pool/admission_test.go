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
		q := newAdmissionQueue(rapid.IntRange(1, 8).Draw(t, "bound"))
		waiting := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "pop") {
				if q.pop() != nil {
					waiting--
				}
			} else {
				waiting += pushRandom(t, q)
			}
			if q.len() > q.maxRequests || q.len() != waiting || q.queuedBytes > maxQueuedBytes {
				t.Fatalf("%d wait, %d counted, bound %d", q.len(), waiting, q.maxRequests)
			}
		}
	})
}

// pushRandom pushes a random arrival and returns by how much the queue should
// grow.
func pushRandom(t *rapid.T, q *admissionQueue) int {
	a := arrival{
		customer: topology.CustomerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer")),
		weight:   rapid.Float64Range(0, 10).Draw(t, "weight"),
		timeLeft: time.Second,
		size:     rapid.IntRange(0, maxQueuedBytes/2).Draw(t, "size"),
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

// Two customers that always have requests queued are served in proportion to
// their weights.
func TestShareByWeightUnderOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[topology.CustomerID]float64{
			"a": float64(rapid.IntRange(1, 8).Draw(t, "a")),
			"b": float64(rapid.IntRange(1, 8).Draw(t, "b")),
		}
		served := map[topology.CustomerID]float64{}
		q := newAdmissionQueue(16)
		const rounds = 400
		for range rounds {
			for customer, weight := range weights {
				for q.waitingByCustomer[customer] < 2 {
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

// A single request of a light customer waits for no more other requests than
// the weights allow, whatever arrives after it.
func TestNoStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		heavy := float64(rapid.IntRange(1, 50).Draw(t, "heavy"))
		before := rapid.IntRange(0, 20).Draw(t, "before")
		q := newAdmissionQueue(256)
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

func TestFullQueueEvictsFromTheMostLoadedCustomer(t *testing.T) {
	q := newAdmissionQueue(4)
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

func TestQueuedBytesAreBounded(t *testing.T) {
	q := newAdmissionQueue(maxQueuedRequests)
	for range 5 {
		q.push(t0, arrival{"a", 1, time.Second, maxQueuedBytes / 4}, 1, 1)
	}
	qt.Assert(t, q.len(), qt.Equals, 4)
	_, _, refusal := q.push(t0, arrival{"a", 1, time.Second, 1}, 1, 1)
	qt.Assert(t, refusal.Code, qt.Equals, result.QueueFull)
	q.pop()
	qt.Assert(t, q.queuedBytes, qt.Equals, 3*maxQueuedBytes/4)
}

func TestRetryAfterMatchesTheExpectedWait(t *testing.T) {
	q := newAdmissionQueue(256)
	q.times.record("a", 10*time.Millisecond)
	for range 20 {
		q.push(t0, arrival{"a", 1, time.Second, 0}, 2, 2)
	}
	// 21 requests of 10 ms each on two connections take 105 ms.
	late := arrival{"a", 1, 50 * time.Millisecond, 0}
	_, _, refusal := q.push(t0, late, 2, 2)
	qt.Assert(t, refusal.Code, qt.Equals, result.DeadlineTooClose)
	qt.Assert(t, refusal.RetryAfter, qt.Equals, 55*time.Millisecond)
	// If the queue is served at the estimated rate until then, it accepts the retry.
	for range 11 {
		q.pop()
	}
	_, _, again := q.push(t0.Add(refusal.RetryAfter), late, 2, 2)
	qt.Assert(t, again == nil, qt.IsTrue)
}

func TestNeverRefusedWhileAConnectionIsFree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newAdmissionQueue(8)
		q.times.record("a", time.Duration(rapid.IntRange(1, 1e9).Draw(t, "service")))
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

func TestReadRetriesStayWithinTheirBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b readRetryBudget
		batches, repeats := 0, 0
		for range rapid.IntRange(1, 2000).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "repeat") && b.tryTake() {
				repeats++
			} else {
				b.recordBatch()
				batches++
			}
			if float64(repeats) > readRetryBurst+readRetryShare*float64(batches)+1 {
				t.Fatalf("%d repeated of %d", repeats, batches)
			}
		}
	})
	_, hasTime := firstByteTimeout(0, minFirstByteTimeout)
	qt.Assert(t, hasTime, qt.IsFalse)
	wait, hasTime := firstByteTimeout(time.Second, time.Minute)
	qt.Assert(t, wait, qt.Equals, firstByteTimeoutFactor*time.Second)
	qt.Assert(t, hasTime, qt.IsTrue)
}

func TestRetryTimesOfRefusedRequestsAreSpaced(t *testing.T) {
	q := newAdmissionQueue(1)
	q.times.record("a", 10*time.Millisecond)
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

func BenchmarkPushAndPopOnALongQueue(b *testing.B) {
	q := newAdmissionQueue(maxQueuedRequests)
	q.times.record("c0", time.Millisecond)
	customers := make([]topology.CustomerID, 32)
	for i := range customers {
		customers[i] = topology.CustomerID(fmt.Sprintf("c%d", i))
	}
	for i := range maxQueuedRequests - 1 {
		q.push(t0, arrival{customers[i%len(customers)], 1, time.Minute, 0}, 6, 6)
	}
	for i := 0; b.Loop(); i++ {
		q.push(t0, arrival{customers[i%len(customers)], 1, time.Minute, 0}, 6, 6)
		q.pop()
	}
}
