package freshness

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

type fakeSource struct {
	requests atomic.Int64
	down     atomic.Bool
}

func (f *fakeSource) Primary(context.Context, topology.GroupID) (target.Status, error) {
	f.requests.Add(1)
	if f.down.Load() {
		return target.Status{}, errors.New("primary unreachable")
	}
	return primaryStatus(5), nil
}

func TestPollerStartsOnFirstAgeRequest(t *testing.T) {
	defer goleak.VerifyNone(t)
	source := &fakeSource{}
	p := New(Config{
		Source:         source,
		StalenessBound: func(topology.GroupID) time.Duration { return 100 * time.Millisecond },
		Log:            logr.Discard(),
	})
	defer p.Close()
	qt.Assert(t, source.requests.Load(), qt.Equals, int64(0))
	waitFor(t, func() bool {
		age, known := p.Age("g", primaryStatus(5).Applied)
		return known && age < 100*time.Millisecond
	})
	_, known := p.Age("g", primaryStatus(4).Applied)
	qt.Assert(t, known, qt.IsFalse)
	source.down.Store(true)
	waitFor(t, func() bool { age, _ := p.Age("g", primaryStatus(5).Applied); return age > 200*time.Millisecond })
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !condition(); {
		if time.Now().After(deadline) {
			t.Fatal("condition not met within 5 s")
		}
		time.Sleep(time.Millisecond)
	}
}
