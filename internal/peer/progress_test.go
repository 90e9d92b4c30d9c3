package peer

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func TestSendProgress(t *testing.T) {
	type check struct {
		delivered, backlog int64
		want               bool
	}
	for name, checks := range map[string][]check{
		"a large request is acknowledged piece by piece": {{100, 0, false}, {200, 1 << 20, false}, {100_000, 900_000, true}, {900_000, 100_000, true}, {1 << 20, 0, true}, {1 << 20, 0, false}},
		"the peer is gone":                       {{100, 1 << 20, false}, {100, 1 << 20, false}, {100, 2 << 20, false}},
		"small requests to a process that hangs": {{100, 10_000, false}, {20_000, 10_000, false}, {40_000, 0, false}, {60_000, largeBacklog - 1, false}, {70_000, 0, false}},
	} {
		var p sendProgress
		for i, c := range checks {
			qt.Check(t, p.note(c.delivered, c.backlog), qt.Equals, c.want, qt.Commentf("%s, check %d", name, i))
		}
	}
}

// startHangingHost starts a host whose process hangs after the handshake, while its kernel
// goes on to acknowledge what arrives until the receive buffer is full.
func startHangingHost(t *testing.T) *Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var conns []net.Conn
		for {
			conn, err := l.Accept()
			if err != nil {
				break
			}
			conns = append(conns, conn)
			_, _ = serverHandshake(conn, []byte("key"))
		}
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	client := NewClient([]byte("key"), "a", func(topology.HostID) (string, bool) { return l.Addr().String(), true }, nil)
	t.Cleanup(func() {
		client.Close()
		_ = l.Close()
		<-ended
		goleak.VerifyNone(t)
	})
	return client
}

// A large request must not keep a connection whose peer is gone: what this host's kernel
// takes isn't a sign of life.
func TestLargeRequestToHangingHostIsAbandoned(t *testing.T) {
	client := startHangingHost(t)
	startedAt := time.Now()
	_, err := callB(client, 10*time.Second, "Echo.Say", strings.Repeat("x", 32<<20))
	qt.Check(t, codeOf(t, err), qt.Equals, result.HolderLost)
	qt.Check(t, time.Since(startedAt) < 3*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
}

// A series of small requests must not keep the connection of a host whose process hangs,
// although its kernel acknowledges each of them.
func TestSmallRequestsToHangingHostAreAbandoned(t *testing.T) {
	client := startHangingHost(t)
	startedAt := time.Now()
	failed := make(chan error, 1)
	go func() {
		_, err := callB(client, 10*time.Second, "Echo.Say", "first")
		failed <- err
	}()
	ctx, cancel := context.WithCancel(context.Background())
	series := make(chan struct{})
	go func() {
		defer close(series)
		for ctx.Err() == nil {
			_, _ = callB(client, 10*time.Millisecond, "Echo.Say", strings.Repeat("x", 4<<10))
		}
	}()
	qt.Check(t, codeOf(t, <-failed), qt.Equals, result.HolderLost)
	qt.Check(t, time.Since(startedAt) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(startedAt)))
	cancel()
	<-series
}
