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

var start = time.Unix(1_000_000, 0)

// TestAccountKeepsItsLimits lets statements come and go at random times and
// counts what runs, waits and arrives in any window.
func TestAccountKeepsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := customer.Limits{
			Concurrent: rapid.IntRange(1, 5).Draw(t, "concurrent"),
			Queue:      rapid.IntRange(0, 5).Draw(t, "queue"),
			Rate:       float64(rapid.IntRange(0, 50).Draw(t, "rate")),
		}
		a := NewAccount(limits, 1)
		now := start
		passed := 0.0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			if a.running > 0 && rapid.Bool().Draw(t, "ends") {
				if a.Done(5*time.Millisecond) && a.waiting > 0 {
					a.Start()
				}
				continue
			}
			decision, err := a.Arrive(&Caller{}, now, now.Add(time.Second))
			if (decision == Refused) != (err != nil) || err != nil && err.RetryAfter <= 0 {
				t.Fatalf("decision %v with error %v", decision, err)
			}
			if decision != Refused {
				passed++
			}
			if a.running > limits.Concurrent || a.waiting > limits.Queue {
				t.Fatalf("%d run, %d wait under %+v", a.running, a.waiting, limits)
			}
			most := limits.Rate*now.Sub(start).Seconds() + max(1, limits.Rate*burstTime.Seconds())
			if limits.Rate > 0 && passed > most+1e-6 {
				t.Fatalf("%v passed in %v under %+v", passed, now.Sub(start), limits)
			}
		}
	})
}

func TestSharesAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 20).Draw(t, "hosts")
		demands := map[topology.HostID]float64{}
		for i := range rapid.IntRange(1, hosts).Draw(t, "telling") {
			demands[topology.HostID(rune('a'+i))] = rapid.Float64Range(0, 10).Draw(t, "demand")
		}
		sum := silentPart * float64(hosts-len(demands)) / float64(hosts)
		for id, share := range Shares(hosts, demands) {
			if share < 0 {
				t.Fatalf("%s has share %v", id, share)
			}
			sum += share
		}
		if sum < 0.999 || sum > 1.001 {
			t.Fatalf("shares and the silent hosts' use add up to %v", sum)
		}
	})
}

// flood simulates callers that come back when they are told to, and returns the
// share of those returns that were served.
// Statements take an exponentially distributed time if vary is set.
func flood(limits customer.Limits, callers int, mean time.Duration, vary bool) float64 {
	a := NewAccount(limits, 1)
	random := rand.New(rand.NewPCG(1, 2))
	service := func() time.Duration {
		if vary {
			return time.Duration(random.ExpFloat64() * float64(mean))
		}
		return mean
	}
	events := &schedule{}
	for i := range callers {
		heap.Push(events, event{at: start.Add(time.Duration(i) * time.Millisecond), kind: arrives, caller: NewCaller()})
	}
	var waiting []*Caller
	returned, served := 0, 0
	for now := start; now.Sub(start) < 20*time.Second; {
		e := heap.Pop(events).(event)
		now = e.at
		if e.kind == ends {
			if a.Done(e.took) {
				a.Start()
				next := waiting[0]
				waiting = waiting[1:]
				took := service()
				heap.Push(events, event{at: now.Add(took), kind: ends, caller: next, took: took})
			}
			think := time.Duration(random.Int64N(int64(20 * time.Millisecond)))
			heap.Push(events, event{at: now.Add(think), kind: arrives, caller: e.caller})
			continue
		}
		decision, err := a.Arrive(e.caller, now, now.Add(time.Second))
		if e.kind == returns {
			returned++
		}
		switch decision {
		case Refused:
			heap.Push(events, event{at: now.Add(err.RetryAfter), kind: returns, caller: e.caller})
			continue
		case Admitted:
			took := service()
			heap.Push(events, event{at: now.Add(took), kind: ends, caller: e.caller, took: took})
		case Waiting:
			waiting = append(waiting, e.caller)
		}
		if e.kind == returns {
			served++
		}
	}
	return float64(served) / float64(max(returned, 1))
}

// TestCallersThatNeverReturnCostNoRoom lets only strangers arrive, who are
// refused and never come back as themselves.
func TestCallersThatNeverReturnCostNoRoom(t *testing.T) {
	const service, concurrent = 10 * time.Millisecond, 4
	a := NewAccount(customer.Limits{Concurrent: concurrent}, 1)
	admitted := 0
	for now := start; now.Sub(start) < 10*time.Second; now = now.Add(time.Millisecond) {
		if now.Sub(start)%service == 0 {
			for a.running > 0 {
				a.Done(service)
			}
		}
		if decision, _ := a.Arrive(NewCaller(), now, time.Time{}); decision == Admitted {
			admitted++
		}
	}
	if possible := concurrent * 1000; admitted < possible*9/10 {
		t.Fatalf("%d of %d admitted", admitted, possible)
	}
}

// TestTimeToComeBackIsRight bounds the share of callers that come back when
// they were told to and are served then.
func TestTimeToComeBackIsRight(t *testing.T) {
	tests := []struct {
		name    string
		limits  customer.Limits
		callers int
		vary    bool
		least   float64 // share of the returns that are served
	}{
		{"concurrency", customer.Limits{Concurrent: 4}, 40, false, 0.9},
		{"queue", customer.Limits{Concurrent: 4, Queue: 8}, 40, false, 0.9},
		{"rate", customer.Limits{Concurrent: 100, Rate: 100}, 40, false, 0.9},
		{"long flood", customer.Limits{Concurrent: 4, Queue: 8}, 400, false, 0.9},
		{"varying, short queue", customer.Limits{Concurrent: 2, Queue: 2}, 20, true, 0.7},
		{"varying, long queue", customer.Limits{Concurrent: 4, Queue: 16}, 60, true, 0.9},
	}
	for _, test := range tests {
		share := flood(test.limits, test.callers, 10*time.Millisecond, test.vary)
		t.Logf("%s: %.3f of the returns are served", test.name, share)
		if share < test.least {
			t.Errorf("%s: only %.3f of the returns are served", test.name, share)
		}
	}
}

type eventKind int

const (
	arrives eventKind = iota
	returns           // arrives again, when it was told to
	ends
)

type event struct {
	at     time.Time
	kind   eventKind
	caller *Caller
	took   time.Duration // of the statement that ends
}

// schedule is a heap of events by time.
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
