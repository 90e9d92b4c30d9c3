package fleet

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Announcements and pings pass over net/rpc.
func TestAnnouncementsOverPeers(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	key := []byte("key")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	hosts := fleetOf(2, 1)
	hosts[1].PeerAddr = listener.Addr().String()
	here, there := NewTracker(hosts[0], logr.Discard()), NewTracker(hosts[1], logr.Discard())
	here.Apply(hosts)
	server := peer.NewServer(key, hosts[1].ID, logr.Discard())
	defer server.Close()
	qt.Assert(t, server.Register(ServiceName, there.Service()), qt.IsNil)
	go func() { _ = server.Serve(ctx, listener) }()
	client := peer.NewClient(key, hosts[0].ID, here.PeerAddr, nil)
	defer client.Close()

	here.AnnounceHello(ctx, client)
	waitForState(t, there, hosts[0].ID, topology.HostLive, time.Second)
	there.Leave()
	here.ping(ctx, client, hosts[1].ID)
	waitForState(t, here, hosts[1].ID, topology.HostLeaving, time.Second)
	here.AnnounceLeaving(ctx, client)
	waitForState(t, there, hosts[0].ID, topology.HostLeaving, time.Second)
}
