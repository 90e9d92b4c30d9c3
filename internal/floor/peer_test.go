package floor

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Over net/rpc the service must return floors, and errors with their result code.
func TestServiceOverRPC(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	key := []byte("key")
	sim := newSimulation(nil)
	sim.takeLock(1)
	sim.hosts[1].keeper.OnCommit(targetID(0), 0, "s", pos(7))
	server := peer.NewServer(key, "keeper", logr.Discard())
	defer server.Close()
	qt.Assert(t, server.Register(ServiceName, sim.hosts[1].keeper.Service()), qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = server.Serve(ctx, listener) }()
	client := peer.NewClient(key, "asker", func(topology.HostID) (string, bool) { return listener.Addr().String(), true }, nil)
	defer client.Close()

	var a AskReply
	q := AskArgs{Group: "g", Target: targetID(0), Sessions: []string{"s", "other"}}
	qt.Assert(t, client.Call(ctx, "keeper", ServiceName+".Ask", q, &a), qt.IsNil)
	qt.Assert(t, a.Floors, qt.DeepEquals, []topology.Position{pos(7), pos(0)})
	sim.takeLock(0)
	err = client.Call(ctx, "keeper", ServiceName+".Ask", q, &AskReply{})
	qt.Assert(t, result.As(err, 0).Code, qt.Equals, result.NotHolder)
}
