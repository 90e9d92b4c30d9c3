package load

import (
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	maxLatency        = int64(60 * time.Second / time.Microsecond) // µs
	significantDigits = 3
	maxDistinctErrors = 20 // further distinct messages are not counted
)

// Timings collects latencies, the times at which writes were acknowledged, and
// error counts. It is safe for concurrent use.
type Timings struct {
	mu         sync.Mutex
	writes     *hdrhistogram.Histogram // µs
	reads      *hdrhistogram.Histogram // µs
	staleReads *hdrhistogram.Histogram // µs
	writeTimes map[topology.GroupID][]time.Time
	errors     map[string]int
	// Reads made after the replication lag has passed since the session's last write.
	delayedReads, delayedReadsAtReplica int
}

func newTimings() *Timings {
	newHistogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, significantDigits) }
	return &Timings{
		writes:     newHistogram(),
		reads:      newHistogram(),
		staleReads: newHistogram(),
		writeTimes: map[topology.GroupID][]time.Time{},
		errors:     map[string]int{},
	}
}

func (t *Timings) addWrite(group topology.GroupID, start, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.writes.RecordValue(end.Sub(start).Microseconds())
	t.writeTimes[group] = append(t.writeTimes[group], end)
}

func (t *Timings) addRead(start, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.reads.RecordValue(end.Sub(start).Microseconds())
}

func (t *Timings) addStaleRead(start, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.staleReads.RecordValue(end.Sub(start).Microseconds())
}

func (t *Timings) addError(kind string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := kind + ": " + err.Error()
	if _, known := t.errors[text]; known || len(t.errors) < maxDistinctErrors {
		t.errors[text]++
	}
}

// Errors returns the number of occurrences of each distinct error message.
func (t *Timings) Errors() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[string]int, len(t.errors))
	for text, n := range t.errors {
		counts[text] = n
	}
	return counts
}

// Writes returns the latencies of sessions' writes in µs.
func (t *Timings) Writes() *hdrhistogram.Histogram { return t.copyHistogram(t.writes) }

// Reads returns the latencies of sessions' reads in µs.
func (t *Timings) Reads() *hdrhistogram.Histogram { return t.copyHistogram(t.reads) }

// StaleReads returns the latencies of stale reads in µs.
func (t *Timings) StaleReads() *hdrhistogram.Histogram { return t.copyHistogram(t.staleReads) }

func (t *Timings) copyHistogram(h *hdrhistogram.Histogram) *hdrhistogram.Histogram {
	t.mu.Lock()
	defer t.mu.Unlock()
	return hdrhistogram.Import(h.Export())
}

// Gap returns the longest interval without an acknowledged write to the group that
// overlaps the time from fault to until. The interval after the last write ends at
// until.
func (t *Timings) Gap(group topology.GroupID, fault, until time.Time) time.Duration {
	t.mu.Lock()
	writeTimes := append([]time.Time(nil), t.writeTimes[group]...)
	t.mu.Unlock()
	sort.Slice(writeTimes, func(i, j int) bool { return writeTimes[i].Before(writeTimes[j]) })
	return longestGap(writeTimes, fault, until)
}

// longestGap returns the longest interval between consecutive times in writeTimes
// that ends after fault. It treats until as the last time.
func longestGap(writeTimes []time.Time, fault, until time.Time) time.Duration {
	longest := time.Duration(0)
	previous := fault
	for _, at := range append(writeTimes, until) {
		if at.After(until) {
			break
		}
		if at.After(fault) && at.Sub(previous) > longest {
			longest = at.Sub(previous)
		}
		previous = at
	}
	return longest
}

// LandedSince returns the number of writes to the group that were acknowledged
// after since.
func (t *Timings) LandedSince(group topology.GroupID, since time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, at := range t.writeTimes[group] {
		if at.After(since) {
			n++
		}
	}
	return n
}

func (t *Timings) addDelayedRead(replica bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.delayedReads++
	if replica {
		t.delayedReadsAtReplica++
	}
}

// DelayedReads returns the number of reads that sessions made after the replication
// lag had passed since their last write, and how many of these replicas served.
func (t *Timings) DelayedReads() (reads, replica int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.delayedReads, t.delayedReadsAtReplica
}
