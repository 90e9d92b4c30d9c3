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

// The service answers over net/rpc, its refusals with their code.
func TestServiceOverPeers(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	key := []byte("key")
	w := newWorld(nil)
	w.takeLock(1)
	w.hosts[1].keeper.OnCommit(name(0), 0, "s", pos(7))
	server := peer.NewServer(key, "keeper", logr.Discard())
	defer server.Close()
	qt.Assert(t, server.Register(ServiceName, w.hosts[1].keeper.Service()), qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = server.Serve(ctx, listener) }()
	client := peer.NewClient(key, "asker", func(topology.HostID) (string, bool) { return listener.Addr().String(), true }, nil)
	defer client.Close()

	var a Answer
	q := Question{Group: "g", Target: name(0), Sessions: []string{"s", "other"}}
	qt.Assert(t, client.Call(ctx, "keeper", ServiceName+".Ask", q, &a), qt.IsNil)
	qt.Assert(t, a.Floors, qt.DeepEquals, []topology.Position{pos(7), pos(0)})
	w.takeLock(0)
	err = client.Call(ctx, "keeper", ServiceName+".Ask", q, &Answer{})
	qt.Assert(t, result.As(err, 0).Code, qt.Equals, result.NotHolder)
}
