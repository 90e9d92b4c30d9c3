package peer

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/slowlink"
)

// A connection must not be abandoned as silent while it transmits a large request.
func TestLargeRequestOverSlowLinkKeepsItsConnection(t *testing.T) {
	const requestBytes = 1 << 20 // takes 0.84 s
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := NewServer([]byte("key"), "b", logr.Discard())
	qt.Assert(t, server.Register("Echo", &echoService{}), qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- server.Serve(context.Background(), l) }()
	client := NewClient([]byte("key"), "a", func(topology.HostID) (string, bool) { return l.Addr().String(), true }, slowlink.New(slowlink.TenMbit).DialSending)
	t.Cleanup(func() {
		client.Close()
		_ = l.Close()
		server.Close()
		<-served
		goleak.VerifyNone(t)
	})
	sent := strings.Repeat("x", requestBytes)
	startedAt := time.Now()
	out, err := callB(client, 10*time.Second, "Echo.Say", sent)
	t.Logf("%.2f s", time.Since(startedAt).Seconds())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, out == sent, qt.IsTrue)
}
