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

// The first host reads once a period, the others only if they don't hear of it.
func TestReadsAreDueByRank(t *testing.T) {
	now := time.Unix(100, 0)
	r := reader{schedule: ConfigurationSchedule(3 * time.Second), begun: now.Add(-time.Minute)}
	for _, test := range []struct {
		age  time.Duration
		rank int
		want bool
	}{
		{1100 * time.Millisecond, 0, false}, {1200 * time.Millisecond, 0, true}, {1500 * time.Millisecond, 1, false},
		{1550 * time.Millisecond, 1, true}, {2240 * time.Millisecond, 80, false}, {2250 * time.Millisecond, 80, true},
	} {
		qt.Check(t, r.due(now.Add(-test.age), test.rank, now), qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}

func TestAHostThatStartsReadsAtOnceOnlyIfItIsTheFirst(t *testing.T) {
	now := time.Unix(100, 0)
	r := reader{schedule: ConfigurationSchedule(5 * time.Second), begun: now}
	qt.Check(t, r.due(time.Time{}, 0, now), qt.IsTrue)
	qt.Check(t, r.due(time.Time{}, 1, now), qt.IsFalse)
	qt.Check(t, r.due(time.Time{}, Readers, now.Add(time.Second)), qt.IsFalse)
	qt.Check(t, r.due(time.Time{}, Readers, now.Add(r.schedule.Latest-r.schedule.Period)), qt.IsTrue)
}

func TestFailedReadsAreRepeatedMoreAndMoreSeldom(t *testing.T) {
	now := time.Unix(100, 0)
	r := reader{schedule: ConfigurationSchedule(3 * time.Second), begun: now.Add(-time.Minute)}
	reads := 0
	for i := range 100 { // ten seconds, in which the store answers nothing
		at := now.Add(time.Duration(i) * pollTick)
		if r.due(now.Add(-time.Minute), 0, at) {
			reads++
			r.ended(false, at)
		}
	}
	qt.Check(t, reads <= 10, qt.IsTrue, qt.Commentf("%d reads", reads))
	r.ended(true, now)
	qt.Check(t, r.due(now.Add(-time.Minute), 0, now), qt.IsTrue)
}

// spreading is a fleet whose hosts ask three others for the newest read every
// 300 ms, as gossip does in a large one.
type spreading struct {
	hosts  []reader
	known  []time.Time
	silent int // hosts of the lowest ranks that the store turns away
	reads  int
	oldest time.Duration // that any host's knowledge was
}

func (f *spreading) run(from time.Time, seconds int) {
	draw := rand.New(rand.NewPCG(1, 2))
	for tick := range seconds * 10 {
		now := from.Add(time.Duration(tick) * pollTick)
		for i := range f.hosts {
			if f.hosts[i].due(f.known[i], i, now) {
				f.reads++
				f.hosts[i].ended(i >= f.silent, now)
				if i >= f.silent {
					f.known[i] = now
				}
			}
			if (tick+i)%3 != 0 {
				continue
			}
			for range 3 {
				if other := f.known[draw.IntN(len(f.known))]; other.After(f.known[i]) {
					f.known[i] = other
				}
			}
		}
		for i := range f.known {
			if tick > 100 {
				f.oldest = max(f.oldest, now.Sub(f.known[i]))
			}
		}
	}
}

// Eighty-six hosts read as often as a few, and every one knows of a read that
// is young enough, also while the store turns the first ones away.
func TestALargeFleetReadsAsSeldomAsASmallOne(t *testing.T) {
	const seconds = 60
	for _, silent := range []int{0, 1, Readers} {
		begun := time.Unix(1000, 0)
		f := &spreading{silent: silent, known: make([]time.Time, 86)}
		for range f.known {
			f.hosts = append(f.hosts, reader{schedule: ConfigurationSchedule(5 * time.Second), begun: begun})
		}
		f.run(begun, seconds)
		comment := qt.Commentf("%d turned away: %d reads, the oldest known was of %s ago", silent, f.reads, f.oldest)
		qt.Check(t, f.oldest < 5*time.Second, qt.IsTrue, comment)
		if silent < Readers {
			qt.Check(t, f.reads <= 2*seconds, qt.IsTrue, comment)
		}
		t.Log(comment)
	}
}

// noObject answers that there is none yet.
type noObject struct{ fakeReader }

func (*noObject) Get(context.Context, string, string) (platform.Object, error) {
	return platform.Object{}, result.New(result.NotFound, "no such object")
}

// Before the first configuration all hosts read ten times a second.
func TestThatThereIsNoConfigurationIsNews(t *testing.T) {
	s := NewStore()
	f := &ConfigurationFeed{Name: "main", Store: s, Log: logr.Discard(), Decode: func(json.RawMessage) (*Configuration, error) { return nil, nil }}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go f.Poll(ctx, &noObject{}, "config", ConfigurationSchedule(3*time.Second), func() int { return 0 })
	for s.Reads().Configuration.IsZero() && ctx.Err() == nil {
		<-time.After(time.Millisecond)
	}
	qt.Check(t, ctx.Err(), qt.IsNil)
}
