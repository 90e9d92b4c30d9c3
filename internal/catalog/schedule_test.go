package catalog

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
)

// The first reader must read once per period, the other hosts only if they
// don't learn of that read.
func TestReadDueByRank(t *testing.T) {
	now := time.Unix(100, 0)
	scheduler := readScheduler{schedule: ConfigurationSchedule(3 * time.Second), startedAt: now.Add(-time.Minute)}
	for _, test := range []struct {
		age  time.Duration
		rank int
		want bool
	}{
		{1100 * time.Millisecond, 0, false}, {1200 * time.Millisecond, 0, true}, {1500 * time.Millisecond, 1, false},
		{1550 * time.Millisecond, 1, true}, {2240 * time.Millisecond, 80, false}, {2250 * time.Millisecond, 80, true},
	} {
		qt.Check(t, scheduler.due(now.Add(-test.age), test.rank, now), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestOnlyFirstReaderReadsAtStartup(t *testing.T) {
	now := time.Unix(100, 0)
	scheduler := readScheduler{schedule: ConfigurationSchedule(5 * time.Second), startedAt: now}
	qt.Check(t, scheduler.due(time.Time{}, 0, now), qt.IsTrue)
	qt.Check(t, scheduler.due(time.Time{}, 1, now), qt.IsFalse)
	qt.Check(t, scheduler.due(time.Time{}, ReaderCount, now.Add(time.Second)), qt.IsFalse)
	qt.Check(t, scheduler.due(time.Time{}, ReaderCount, now.Add(scheduler.schedule.FallbackAge-scheduler.schedule.Period)), qt.IsTrue)
}

func TestFailedReadsBackOff(t *testing.T) {
	now := time.Unix(100, 0)
	scheduler := readScheduler{schedule: ConfigurationSchedule(3 * time.Second), startedAt: now.Add(-time.Minute)}
	reads := 0
	for i := range 100 { // ten seconds in which the store doesn't answer
		at := now.Add(time.Duration(i) * pollCheckInterval)
		if scheduler.due(now.Add(-time.Minute), 0, at) {
			reads++
			scheduler.recordResult(false, at)
		}
	}
	qt.Check(t, reads <= 10, qt.IsTrue, qt.Commentf("%d reads", reads))
	scheduler.recordResult(true, now)
	qt.Check(t, scheduler.due(now.Add(-time.Minute), 0, now), qt.IsTrue)
}

// gossipFleet simulates a fleet whose hosts ask three random hosts for their
// newest known read every 300 ms, as gossip does in a large fleet.
type gossipFleet struct {
	hosts       []readScheduler
	knownReads  []time.Time
	rejected    int // number of hosts, lowest ranks first, whose reads the store rejects
	reads       int
	maxKnownAge time.Duration // maximum age of the newest read known to any host
}

func (f *gossipFleet) run(start time.Time, seconds int) {
	rng := rand.New(rand.NewPCG(1, 2))
	for tick := range seconds * 10 {
		now := start.Add(time.Duration(tick) * pollCheckInterval)
		for i := range f.hosts {
			if f.hosts[i].due(f.knownReads[i], i, now) {
				f.reads++
				f.hosts[i].recordResult(i >= f.rejected, now)
				if i >= f.rejected {
					f.knownReads[i] = now
				}
			}
			if (tick+i)%3 != 0 {
				continue
			}
			for range 3 {
				if other := f.knownReads[rng.IntN(len(f.knownReads))]; other.After(f.knownReads[i]) {
					f.knownReads[i] = other
				}
			}
		}
		for i := range f.knownReads {
			if tick > 100 {
				f.maxKnownAge = max(f.maxKnownAge, now.Sub(f.knownReads[i]))
			}
		}
	}
}

// A fleet of 86 hosts must read the store no more often than a small one, and
// every host must know of a recent read, even while the store rejects the first
// readers.
func TestReadRateIndependentOfFleetSize(t *testing.T) {
	const seconds = 60
	for _, rejected := range []int{0, 1, ReaderCount} {
		start := time.Unix(1000, 0)
		f := &gossipFleet{rejected: rejected, knownReads: make([]time.Time, 86)}
		for range f.knownReads {
			f.hosts = append(f.hosts, readScheduler{schedule: ConfigurationSchedule(5 * time.Second), startedAt: start})
		}
		f.run(start, seconds)
		comment := qt.Commentf("%d hosts rejected: %d reads, maximum age of the newest known read %s", rejected, f.reads, f.maxKnownAge)
		qt.Check(t, f.maxKnownAge < 5*time.Second, qt.IsTrue, comment)
		if rejected < ReaderCount {
			qt.Check(t, f.reads <= 2*seconds, qt.IsTrue, comment)
		}
		t.Log(comment)
	}
}

// notFoundReader answers that no configuration exists.
type notFoundReader struct{ configReader }

func (*notFoundReader) Get(context.Context, string, string) (platform.Object, error) {
	return platform.Object{}, result.New(result.NotFound, "no such object")
}

// A missing configuration must count as a read. Otherwise all hosts read ten
// times a second until the first configuration exists.
func TestNotFoundCountsAsConfigurationRead(t *testing.T) {
	s := NewStore()
	f := &ConfigurationFeed{Name: "main", Store: s, Log: logr.Discard(), Decode: func(json.RawMessage) (*Configuration, error) { return nil, nil }}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go f.Poll(ctx, &notFoundReader{}, "config", ConfigurationSchedule(3*time.Second), func() int { return 0 })
	for s.ReadTimes().Configuration.IsZero() && ctx.Err() == nil {
		<-time.After(time.Millisecond)
	}
	qt.Check(t, ctx.Err(), qt.IsNil)
}

// soleReader simulates a host whose reads nobody shares. Each takes the given time. It
// returns the share of time spent on reads, and the longest time from an answer that just
// missed a change to the end of the read that brings it.
func soleReader(readTime, duration time.Duration) (share float64, maxDelay time.Duration) {
	start := time.Unix(1000, 0)
	scheduler := readScheduler{schedule: ConfigurationSchedule(3 * time.Second), startedAt: start}
	var last time.Time // when the newest read was sent
	var reading time.Duration
	for now := start; now.Before(start.Add(duration)); now = now.Add(pollCheckInterval) {
		if !scheduler.due(last, 0, now) {
			continue
		}
		sent := now
		now = now.Add(readTime)
		scheduler.recordRead(true, sent, now)
		if !last.IsZero() {
			maxDelay = max(maxDelay, now.Sub(last))
		}
		last, reading = sent, reading+readTime
	}
	return float64(reading) / float64(duration), maxDelay
}

// Reads of a large configuration over a slow link must leave most of it to callers.
func TestLongReadsLeaveTheLinkToOthers(t *testing.T) {
	for _, readTime := range []time.Duration{10 * time.Millisecond, 560 * time.Millisecond, 1840 * time.Millisecond, 10 * time.Second} {
		share, _ := soleReader(readTime, 10*time.Minute)
		qt.Check(t, share < 0.34, qt.IsTrue, qt.Commentf("%s: %.2f", readTime, share))
	}
}

// The pause after a read from a slow store must not make a change take effect too late.
func TestSlowReadsBringChangesInTime(t *testing.T) {
	_, delay := soleReader(readTimeout, 10*time.Minute)
	qt.Check(t, delay <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", delay))
}
