package load

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	longestLatency = int64(60 * time.Second / time.Microsecond) // µs
	latencyDigits  = 3
	errorsKept     = 20 // distinct texts
)

// Timings gathers latencies, the times at which writes landed, and errors.
// Safe for concurrent use.
type Timings struct {
	mu     sync.Mutex
	writes *hdrhistogram.Histogram // µs
	reads  *hdrhistogram.Histogram // µs
	views  *hdrhistogram.Histogram // µs
	landed map[topology.GroupID][]time.Time
	errors map[string]int
	// Reads made later than the replicas' lag after the session's last write.
	pastLag, pastLagReplica int
}

func newTimings() *Timings {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestLatency, latencyDigits) }
	return &Timings{
		writes: histogram(),
		reads:  histogram(),
		views:  histogram(),
		landed: map[topology.GroupID][]time.Time{},
		errors: map[string]int{},
	}
}

func (t *Timings) addWrite(group topology.GroupID, start, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.writes.RecordValue(end.Sub(start).Microseconds())
	t.landed[group] = append(t.landed[group], end)
}

func (t *Timings) addRead(start, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.reads.RecordValue(end.Sub(start).Microseconds())
}

func (t *Timings) addView(start, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.views.RecordValue(end.Sub(start).Microseconds())
}

func (t *Timings) addError(kind string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := kind + ": " + err.Error()
	if _, known := t.errors[text]; known || len(t.errors) < errorsKept {
		t.errors[text]++
	}
}

// Errors returns the distinct error texts with their counts.
func (t *Timings) Errors() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int, len(t.errors))
	for text, n := range t.errors {
		out[text] = n
	}
	return out
}

// Writes, Reads and Views return the latencies in µs.
func (t *Timings) Writes() *hdrhistogram.Histogram { return t.copyOf(t.writes) }

// Reads returns the latencies of sessions' reads in µs.
func (t *Timings) Reads() *hdrhistogram.Histogram { return t.copyOf(t.reads) }

// Views returns the latencies of stale reads in µs.
func (t *Timings) Views() *hdrhistogram.Histogram { return t.copyOf(t.views) }

func (t *Timings) copyOf(h *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	t.mu.Lock()
	defer t.mu.Unlock()
	return hdrhistogram.Import(h.Export())
}

// Gap returns the longest time without a landed write of the group that
// overlaps the time from fault to until. It is until minus the last landed
// write if none landed after it.
func (t *Timings) Gap(group topology.GroupID, fault, until time.Time) time.Duration {
	t.mu.Lock()
	landed := append([]time.Time(nil), t.landed[group]...)
	t.mu.Unlock()
	sort.Slice(landed, func(i, j int) bool { return landed[i].Before(landed[j]) })
	return longestGap(landed, fault, until)
}

// longestGap looks at the times between neighbours, until counting as the last.
func longestGap(landed []time.Time, fault, until time.Time) time.Duration {
	longest := time.Duration(0)
	last := fault
	for _, at := range append(landed, until) {
		if at.After(until) {
			break
		}
		if at.After(fault) && at.Sub(last) > longest {
			longest = at.Sub(last)
		}
		last = at
	}
	return longest
}

// LandedSince returns how many writes of the group landed after t.
func (t *Timings) LandedSince(group topology.GroupID, since time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.landed[group] {
		if at.After(since) {
			n++
		}
	}
	return n
}

func (t *Timings) addPastLag(replica bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pastLag++
	if replica {
		t.pastLagReplica++
	}
}

// PastLag returns how many reads sessions made later than the replicas' lag
// after their last write, and how many of them replicas served.
func (t *Timings) PastLag() (reads, replica int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pastLag, t.pastLagReplica
}
