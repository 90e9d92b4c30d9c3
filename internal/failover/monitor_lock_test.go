package failover

import (
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Watch and refresh acquire the mutexes of the monitor and of the group. They
// would deadlock if they did so in opposite orders.
func TestWatchAndRefreshDoNotDeadlock(t *testing.T) {
	group := func(id topology.GroupID) (*topology.Group, bool) {
		return &topology.Group{ID: id, Targets: []topology.Target{{ID: "t1", Group: id}}}, true
	}
	m := New(Options{Self: "h1", Group: group, Log: logr.Discard()})
	m.Watch([]topology.GroupID{"g"})
	const iterations = 20_000
	done := make(chan struct{})
	go func() {
		defer close(done)
		var workers sync.WaitGroup
		workers.Go(func() {
			for range iterations {
				m.Watch([]topology.GroupID{"g"})
			}
		})
		workers.Go(func() {
			for range iterations {
				m.refresh(m.lookup("g"))
			}
		})
		workers.Wait()
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("Watch and refresh deadlocked")
	}
}
