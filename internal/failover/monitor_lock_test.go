package failover

import (
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Changes of the watched groups and ticks that find a group edited don't wait
// for each other's locks.
func TestWatchAndTickDontDeadlock(t *testing.T) {
	group := func(id topology.GroupID) (*topology.Group, bool) {
		return &topology.Group{ID: id, Targets: []topology.Target{{ID: "t1", Group: id}}}, true
	}
	m := New(Options{Self: "h1", Group: group, Log: logr.Discard()})
	m.Watch([]topology.GroupID{"g"})
	const rounds = 20_000
	done := make(chan struct{})
	go func() {
		defer close(done)
		var both sync.WaitGroup
		both.Go(func() {
			for range rounds {
				m.Watch([]topology.GroupID{"g"})
			}
		})
		both.Go(func() {
			for range rounds {
				m.refresh(m.watchedGroup("g"))
			}
		})
		both.Wait()
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("deadlock")
	}
}
