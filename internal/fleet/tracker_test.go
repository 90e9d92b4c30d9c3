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

// process is one host of a fleet on loopback.
type process struct {
	*Tracker
	server *peer.Server
	client *peer.Client
	stop   context.CancelFunc
}

// startFleet starts n hosts that know each other.
func startFleet(t *testing.T, n int) []*process {
	key := []byte("key")
	hosts := fleetOf(n, 1)
	listeners := make([]net.Listener, n)
	for i := range hosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listeners[i], hosts[i].PeerAddr = l, l.Addr().String()
	}
	var running sync.WaitGroup
	processes := make([]*process, n)
	for i, h := range hosts {
		p := &process{Tracker: NewTracker(h, logr.Discard()), server: peer.NewServer(key, h.ID, logr.Discard())}
		p.Apply(hosts)
		p.client = peer.NewClient(key, h.ID, p.PeerAddr, nil)
		qt.Assert(t, p.server.Register(ServiceName, p.Service()), qt.IsNil)
		ctx, cancel := context.WithCancel(context.Background())
		p.stop = cancel
		running.Go(func() { _ = p.server.Serve(ctx, listeners[i]) })
		running.Go(func() { p.Run(ctx, p.client) })
		processes[i] = p
	}
	t.Cleanup(func() {
		for _, p := range processes {
			p.kill()
		}
		running.Wait()
	})
	return processes
}

func (p *process) kill() {
	p.stop()
	p.server.Close()
	p.client.Close()
}

func waitForState(t *testing.T, p *process, id topology.HostID, want topology.HostState, within time.Duration) {
	t.Helper()
	timeout := time.After(within)
	for {
		changed := p.Changed()
		h, _ := p.Host(id)
		if h.State == want {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("%s sees %s as %q, want %q within %v", p.Self().ID, id, h.State, want, within)
		}
	}
}

func TestLeavingHostLosesItsSlotsAtOnce(t *testing.T) {
	fleet := startFleet(t, 4)
	leaver := fleet[0].Self().ID
	fleet[0].AnnounceLeaving(context.Background(), fleet[0].client)
	for _, p := range fleet {
		waitForState(t, p, leaver, topology.HostLeaving, time.Second)
		qt.Assert(t, p.HeldBy(leaver, []topology.Target{planTarget(0)}), qt.HasLen, 0)
	}
	fleet[0].announce(context.Background(), fleet[0].client, ServiceName+".Hello", fleetOf(1, 1)[0])
	for _, p := range fleet[1:] {
		waitForState(t, p, leaver, topology.HostLive, time.Second)
	}
}

func TestDeadHostIsGoneEverywhereWithinSeconds(t *testing.T) {
	fleet := startFleet(t, 5)
	dead := fleet[0].Self().ID
	fleet[0].kill()
	for _, p := range fleet[1:] {
		waitForState(t, p, dead, topology.HostGone, 5*time.Second)
	}
}
