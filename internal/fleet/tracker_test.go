package fleet

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// network delivers calls between trackers in memory.
type network struct {
	mu       sync.Mutex
	services map[topology.HostID]*Service
}

func (n *network) cut(id topology.HostID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.services, id)
}

func (n *network) Call(_ context.Context, id topology.HostID, method string, args, reply any) error {
	n.mu.Lock()
	s, ok := n.services[id]
	n.mu.Unlock()
	if !ok {
		return result.New(result.HostUnreachable, "cut off")
	}
	switch method {
	case "Fleet.Hello":
		return s.Hello(args.(topology.Host), reply.(*Empty))
	case "Fleet.Leaving":
		return s.Leaving(args.(topology.HostID), reply.(*Empty))
	case "Fleet.Accuse":
		return s.Accuse(args.(Accusation), reply.(*Empty))
	default:
		return s.Ping(args.(topology.HostID), reply.(*topology.Host))
	}
}

func startFleet(t *testing.T, n int) ([]*Tracker, *network) {
	net := &network{services: map[topology.HostID]*Service{}}
	hosts := fleetOf(n, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	trackers := make([]*Tracker, n)
	for i, h := range hosts {
		trackers[i] = NewTracker(h, logr.Discard())
		trackers[i].Apply(hosts)
		net.services[h.ID] = trackers[i].Service()
	}
	for _, tracker := range trackers {
		running.Go(func() { tracker.Run(ctx, net) })
	}
	return trackers, net
}

func waitForState(t *testing.T, tracker *Tracker, id topology.HostID, want topology.HostState, within time.Duration) {
	t.Helper()
	timeout := time.After(within)
	for {
		changed := tracker.Changed()
		if h, _ := tracker.Host(id); h.State == want {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			h, _ := tracker.Host(id)
			t.Fatalf("%s sees %s as %q, want %q within %v", tracker.Self().ID, id, h.State, want, within)
		}
	}
}

func TestLeavingHostLosesItsSlotsAtOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("fleet", func(t *testing.T) {
		trackers, net := startFleet(t, 4)
		leaver := trackers[0].Self().ID
		trackers[0].AnnounceLeaving(context.Background(), net)
		for _, tracker := range trackers {
			waitForState(t, tracker, leaver, topology.HostLeaving, time.Second)
			qt.Assert(t, tracker.HeldBy(leaver, []topology.Target{planTarget(0)}), qt.HasLen, 0)
		}
	})
}

func TestDeadHostIsGoneEverywhereWithinSeconds(t *testing.T) {
	trackers, net := startFleet(t, 5)
	dead := trackers[0].Self().ID
	net.cut(dead)
	for _, tracker := range trackers[1:] {
		waitForState(t, tracker, dead, topology.HostGone, 5*time.Second)
	}
}
