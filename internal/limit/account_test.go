package limit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

var startTime = time.Unix(1_000_000, 0)

// With statements that arrive and end at random times, the running and waiting
// statements and the rate of accepted ones must stay within the limits.
func TestAccountEnforcesLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := customer.Limits{
			Concurrent: rapid.IntRange(1, 5).Draw(t, "concurrent"),
			Queue:      rapid.IntRange(0, 5).Draw(t, "queue"),
			Rate:       float64(rapid.IntRange(0, 50).Draw(t, "rate")),
		}
		a := NewAccount(limits, 1)
		now := startTime
		accepted := 0.0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			if a.running > 0 && rapid.Bool().Draw(t, "ends") {
				if a.Finish(5*time.Millisecond) && a.waiting > 0 {
					a.StartQueued()
				}
				continue
			}
			decision, err := a.Admit(&RetryState{}, now, now.Add(time.Second))
			if (decision == Refused) != (err != nil) || err != nil && err.RetryAfter <= 0 {
				t.Fatalf("decision %v with error %v", decision, err)
			}
			if decision != Refused {
				accepted++
			}
			if a.running > limits.Concurrent || a.waiting > limits.Queue {
				t.Fatalf("%d running, %d waiting with limits %+v", a.running, a.waiting, limits)
			}
			maxAccepted := limits.Rate*now.Sub(startTime).Seconds() + max(1, limits.Rate*burstWindow.Seconds())
			if limits.Rate > 0 && accepted > maxAccepted+1e-6 {
				t.Fatalf("%v statements accepted in %v with limits %+v", accepted, now.Sub(startTime), limits)
			}
		}
	})
}

func TestSharesSumToLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 20).Draw(t, "hosts")
		demands := map[topology.HostID]float64{}
		for i := range rapid.IntRange(1, hosts).Draw(t, "reporting hosts") {
			demands[topology.HostID(rune('a'+i))] = rapid.Float64Range(0, 10).Draw(t, "demand")
		}
		sum := unreportedFraction * float64(hosts-len(demands)) / float64(hosts)
		for id, share := range Shares(hosts, demands) {
			if share < 0 {
				t.Fatalf("%s has share %v", id, share)
			}
			sum += share
		}
		if sum < 0.999 || sum > 1.001 {
			t.Fatalf("shares and unreported use add up to %v", sum)
		}
	})
}

// simulateOverload simulates callers that retry at the time they were given and
// returns the fraction of retries that were served. Execution times are
// exponentially distributed if exponential is set, and constant otherwise.
func simulateOverload(limits customer.Limits, callers int, meanService time.Duration, exponential bool) float64 {
	a := NewAccount(limits, 1)
	random := rand.New(rand.NewPCG(1, 2))
	service := func() time.Duration {
		if exponential {
			return time.Duration(random.ExpFloat64() * float64(meanService))
		}
		return meanService
	}
	events := &schedule{}
	for i := range callers {
		heap.Push(events, event{at: startTime.Add(time.Duration(i) * time.Millisecond), kind: arrives, retry: NewRetryState()})
	}
	var waiting []*RetryState
	retried, served := 0, 0
	for now := startTime; now.Sub(startTime) < 20*time.Second; {
		e := heap.Pop(events).(event)
		now = e.at
		if e.kind == ends {
			if a.Finish(e.took) {
				a.StartQueued()
				next := waiting[0]
				waiting = waiting[1:]
				took := service()
				heap.Push(events, event{at: now.Add(took), kind: ends, retry: next, took: took})
			}
			think := time.Duration(random.Int64N(int64(20 * time.Millisecond)))
			heap.Push(events, event{at: now.Add(think), kind: arrives, retry: e.retry})
			continue
		}
		decision, err := a.Admit(e.retry, now, now.Add(time.Second))
		if e.kind == retries {
			retried++
		}
		switch decision {
		case Refused:
			heap.Push(events, event{at: now.Add(err.RetryAfter), kind: retries, retry: e.retry})
			continue
		case Admitted:
			took := service()
			heap.Push(events, event{at: now.Add(took), kind: ends, retry: e.retry, took: took})
		case Queued:
			waiting = append(waiting, e.retry)
		}
		if e.kind == retries {
			served++
		}
	}
	return float64(served) / float64(max(retried, 1))
}

// Every caller is new and never retries. The capacity reserved for such callers
// must not keep others from being admitted.
func TestUnclaimedRetriesReserveNoCapacity(t *testing.T) {
	const service, concurrent = 10 * time.Millisecond, 4
	a := NewAccount(customer.Limits{Concurrent: concurrent}, 1)
	admitted := 0
	for now := startTime; now.Sub(startTime) < 10*time.Second; now = now.Add(time.Millisecond) {
		if now.Sub(startTime)%service == 0 {
			for a.running > 0 {
				a.Finish(service)
			}
		}
		if decision, _ := a.Admit(NewRetryState(), now, time.Time{}); decision == Admitted {
			admitted++
		}
	}
	if possible := concurrent * 1000; admitted < possible*9/10 {
		t.Fatalf("%d of %d statements admitted", admitted, possible)
	}
}

// A caller that retries at the time it was given must be served with high
// probability.
func TestRetryAfterIsAccurate(t *testing.T) {
	tests := []struct {
		name        string
		limits      customer.Limits
		callers     int
		exponential bool
		minServed   float64 // fraction of the retries that must be served
	}{
		{"concurrency", customer.Limits{Concurrent: 4}, 40, false, 0.9},
		{"queue", customer.Limits{Concurrent: 4, Queue: 8}, 40, false, 0.9},
		{"rate", customer.Limits{Concurrent: 100, Rate: 100}, 40, false, 0.9},
		{"many callers", customer.Limits{Concurrent: 4, Queue: 8}, 400, false, 0.9},
		{"varying, short queue", customer.Limits{Concurrent: 2, Queue: 2}, 20, true, 0.7},
		{"varying, long queue", customer.Limits{Concurrent: 4, Queue: 16}, 60, true, 0.9},
	}
	for _, test := range tests {
		share := simulateOverload(test.limits, test.callers, 10*time.Millisecond, test.exponential)
		t.Logf("%s: %.3f of the retries served", test.name, share)
		if share < test.minServed {
			t.Errorf("%s: only %.3f of the retries served", test.name, share)
		}
	}
}

type eventKind int

const (
	arrives eventKind = iota
	retries           // arrives again at its retry time
	ends
)

// event is one event of the simulation.
type event struct {
	at    time.Time
	kind  eventKind
	retry *RetryState
	took  time.Duration // execution time of the statement that ends
}

// schedule is a heap of events ordered by time.
type schedule []event

func (s schedule) Len() int           { return len(s) }
func (s schedule) Less(i, j int) bool { return s[i].at.Before(s[j].at) }
func (s schedule) Swap(i, j int)      { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)        { *s = append(*s, x.(event)) }
func (s *schedule) Pop() any {
	old := *s
	e := old[len(old)-1]
	*s = old[:len(old)-1]
	return e
}
