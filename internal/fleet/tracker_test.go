package fleet

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// testHost is one host of a fleet on the loopback interface.
type testHost struct {
	*Tracker
	server *peer.Server
	client *peer.Client
	stop   context.CancelFunc
}

// startFleet starts n hosts of one domain that know each other.
func startFleet(t *testing.T, n int) []*testHost {
	key := []byte("key")
	hosts := fleetOf(n, 1)
	listeners := make([]net.Listener, n)
	for i := range hosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listeners[i], hosts[i].PeerAddr = l, l.Addr().String()
	}
	var running sync.WaitGroup
	started := make([]*testHost, n)
	for i, h := range hosts {
		p := &testHost{Tracker: NewTracker(h, logr.Discard()), server: peer.NewServer(key, h.ID, logr.Discard())}
		p.Apply(hosts)
		p.client = peer.NewClient(key, h.ID, p.PeerAddr, nil)
		qt.Assert(t, p.server.Register(ServiceName, p.Service()), qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		p.stop = cancel
		running.Go(func() { _ = p.server.Serve(ctx, listeners[i]) })
		running.Go(func() { p.Run(ctx, p.client) })
		started[i] = p
	}
	t.Cleanup(func() {
		for _, p := range started {
			p.kill()
		}
		running.Wait()
	})
	return started
}

func (p *testHost) kill() {
	p.stop()
	p.server.Close()
	p.client.Close()
}

func waitForState(t *testing.T, p *testHost, id topology.HostID, want topology.HostState, timeout time.Duration) {
	t.Helper()
	expired := time.After(timeout)
	for {
		changed := p.Changed()
		h, _ := p.Host(id)
		if h.State == want {
			return
		}
		select {
		case <-changed:
		case <-expired:
			t.Fatalf("%s sees %s as %q, want %q within %v", p.Self().ID, id, h.State, want, timeout)
		}
	}
}

func TestLeavingHostLosesItsSlotsAtOnce(t *testing.T) {
	fleet := startFleet(t, 4)
	leavingID := fleet[0].Self().ID
	fleet[0].AnnounceLeaving(context.Background(), fleet[0].client)
	for _, p := range fleet {
		waitForState(t, p, leavingID, topology.HostLeaving, time.Second)
		qt.Assert(t, p.HeldBy(leavingID, []topology.Target{designTarget(0)}), qt.HasLen, 0)
	}
	fleet[0].announce(context.Background(), fleet[0].client, ServiceName+".Hello", fleetOf(1, 1)[0])
	for _, p := range fleet[1:] {
		waitForState(t, p, leavingID, topology.HostLive, time.Second)
	}
}

func TestDeadHostIsGoneEverywhereWithinSeconds(t *testing.T) {
	fleet := startFleet(t, 5)
	deadID := fleet[0].Self().ID
	fleet[0].kill()
	for _, p := range fleet[1:] {
		waitForState(t, p, deadID, topology.HostGone, 5*time.Second)
	}
}
