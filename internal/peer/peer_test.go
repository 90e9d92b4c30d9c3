package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// echoService is an RPC service. Hold answers only after a receive from release.
type echoService struct{ release chan struct{} }

func (e *echoService) Say(in *string, out *string) error {
	*out = *in
	return nil
}

func (e *echoService) Hold(in *string, out *string) error {
	<-e.release
	*out = *in
	return nil
}

func (e *echoService) Refuse(_ *string, _ *string) error {
	return result.New(result.QueueFull, "7 wait").WithRetryAfter(40 * time.Millisecond)
}

// silentConn discards writes and received data once it is silenced, like a
// connection whose state a middlebox has dropped.
type silentConn struct {
	net.Conn
	silenced *atomic.Bool
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.silenced.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.silenced.Load() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// silencingDialer can silence the connections that it has opened. silencedFlags has
// one entry for each of them.
type silencingDialer struct {
	mu            sync.Mutex
	silencedFlags []*atomic.Bool
}

func (d *silencingDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	silenced := &atomic.Bool{}
	d.silencedFlags = append(d.silencedFlags, silenced)
	return &silentConn{Conn: conn, silenced: silenced}, nil
}

func (d *silencingDialer) silenceAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, silenced := range d.silencedFlags {
		silenced.Store(true)
	}
}

func startPair(t *testing.T, serverKey, clientKey string) (*echoService, *silencingDialer, *Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := NewServer([]byte(serverKey), "b", logr.Discard())
	service := &echoService{release: make(chan struct{})}
	qt.Assert(t, server.Register("Echo", service), qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- server.Serve(context.Background(), l) }()
	dialer := &silencingDialer{}
	addr := l.Addr().String()
	client := NewClient([]byte(clientKey), "a", func(id topology.HostID) (string, bool) { return addr, id == "b" }, dialer.dial)
	t.Cleanup(func() {
		client.Close()
		close(service.release)
		_ = l.Close()
		server.Close()
		<-served
		goleak.VerifyNone(t)
	})
	return service, dialer, client
}

func codeOf(t *testing.T, err error) result.Code {
	t.Helper()
	var e *result.Error
	qt.Assert(t, errors.As(err, &e), qt.IsTrue, qt.Commentf("%v", err))
	return e.Code
}

// callB calls a method of host "b".
func callB(client *Client, timeout time.Duration, method, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var out string
	err := client.Call(ctx, "b", method, &text, &out)
	return out, err
}

func TestCallReturnsAnswersAndServiceErrors(t *testing.T) {
	_, _, client := startPair(t, "key", "key")
	out, err := callB(client, time.Second, "Echo.Say", "hello")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out, qt.Equals, "hello")
	_, err = callB(client, time.Second, "Echo.Refuse", "")
	qt.Assert(t, err, qt.DeepEquals, error(result.New(result.QueueFull, "7 wait").WithRetryAfter(40*time.Millisecond)))
}

func TestKeyMismatchIsRefusedBeforeAnyCall(t *testing.T) {
	_, _, client := startPair(t, "key", "other")
	_, err := callB(client, time.Second, "Echo.Say", "hello")
	qt.Assert(t, codeOf(t, err), qt.Equals, result.HostUnreachable)
}

func TestUnknownHostIsUnreachable(t *testing.T) {
	_, _, client := startPair(t, "key", "key")
	var out string
	err := client.Call(context.Background(), "c", "Echo.Say", &out, &out)
	qt.Assert(t, codeOf(t, err), qt.Equals, result.HostUnreachable)
}

// A call made with WithConnectTimeout must stop waiting for a connection in time and
// report that nothing was sent. Without the bound it waits for the whole dial.
func TestConnectWithinBoundsTheWaitForAConnection(t *testing.T) {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client := NewClient([]byte("key"), "a", func(topology.HostID) (string, bool) { return "127.0.0.1:1", true }, dial)
	defer client.Close()
	var text string
	startedAt := time.Now()
	err := client.Call(WithConnectTimeout(context.Background(), 20*time.Millisecond), "b", "Echo.Say", &text, &text)
	qt.Check(t, codeOf(t, err), qt.Equals, result.HostUnreachable)
	qt.Check(t, time.Since(startedAt) < dialTimeout, qt.IsTrue)
}

func TestCallEndsAsHolderLostWithItsContext(t *testing.T) {
	_, _, client := startPair(t, "key", "key")
	_, err := callB(client, 20*time.Millisecond, "Echo.Hold", "late")
	qt.Assert(t, codeOf(t, err), qt.Equals, result.HolderLost)
}

// A call on a silent connection must fail within a few heartbeats, and the next call
// must use a new connection. Without heartbeats the call waits for its deadline.
func TestSilentConnectionIsReplaced(t *testing.T) {
	_, dialer, client := startPair(t, "key", "key")
	_, err := callB(client, time.Second, "Echo.Say", "hello")
	qt.Assert(t, err, qt.IsNil)
	dialer.silenceAll()
	startedAt := time.Now()
	_, err = callB(client, 10*time.Second, "Echo.Say", "lost")
	qt.Assert(t, codeOf(t, err), qt.Equals, result.HolderLost)
	qt.Assert(t, time.Since(startedAt) < 3*time.Second, qt.IsTrue)
	out, err := callB(client, time.Second, "Echo.Say", "again")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out, qt.Equals, "again")
}

// A connection on which a service is slow must not be abandoned as silent: heartbeats
// and other calls are still answered.
func TestSlowServiceKeepsItsConnection(t *testing.T) {
	service, dialer, client := startPair(t, "key", "key")
	done := make(chan error, 1)
	go func() {
		_, err := callB(client, 10*time.Second, "Echo.Hold", "slow")
		done <- err
	}()
	for startedAt := time.Now(); time.Since(startedAt) < 2*silenceTimeout; {
		_, err := callB(client, time.Second, "Echo.Say", "beside")
		qt.Assert(t, err, qt.IsNil)
	}
	service.release <- struct{}{}
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, len(dialer.silencedFlags), qt.Equals, 1)
}

func TestChooseAction(t *testing.T) {
	const noHeartbeat = -1
	tests := []struct {
		name                        string
		quietFor                    time.Duration
		pending                     pendingCalls
		heartbeatAge, sinceLastCall time.Duration
		want                        connAction
	}{
		{"idle", time.Hour, pendingCalls{}, noHeartbeat, time.Second, keepOpen},
		{"unused", time.Hour, pendingCalls{}, noHeartbeat, idleTimeout, closeUnused},
		{"new call", 0, pendingCalls{prompt: 1}, noHeartbeat, 0, keepOpen},
		{"pending call without data", heartbeatInterval, pendingCalls{prompt: 1}, noHeartbeat, heartbeatInterval, startHeartbeat},
		{"heartbeat in flight", heartbeatInterval, pendingCalls{prompt: 1}, 0, heartbeatInterval, keepOpen},
		{"long idle, then a call", time.Hour, pendingCalls{prompt: 1}, 0, 0, keepOpen},
		{"other data arrives", 0, pendingCalls{prompt: 1}, time.Hour, 0, keepOpen},
		{"long poll", heartbeatInterval, pendingCalls{longPoll: 1}, noHeartbeat, heartbeatInterval, keepOpen},
		{"long poll past its heartbeat interval", longPollHeartbeatInterval, pendingCalls{longPoll: 1}, noHeartbeat, longPollHeartbeatInterval, startHeartbeat},
		{"long poll beside another call", heartbeatInterval, pendingCalls{prompt: 1, longPoll: 1}, noHeartbeat, heartbeatInterval, startHeartbeat},
		{"long poll, long without data", time.Hour, pendingCalls{longPoll: 1}, 0, idleTimeout, keepOpen},
		{"silent with a long poll", silenceTimeout, pendingCalls{longPoll: 1}, silenceTimeout, silenceTimeout, abandonSilent},
		{"silent", silenceTimeout, pendingCalls{prompt: 1}, silenceTimeout, silenceTimeout, abandonSilent},
	}
	for _, test := range tests {
		got := chooseAction(test.quietFor, test.pending, test.heartbeatAge, test.sinceLastCall)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

func TestNextCheckDelay(t *testing.T) {
	const noHeartbeat = -1
	tests := []struct {
		name                        string
		quietFor                    time.Duration
		pending                     pendingCalls
		heartbeatAge, sinceLastCall time.Duration
		want                        time.Duration
	}{
		{"pending call", 0, pendingCalls{prompt: 1}, noHeartbeat, 0, checkInterval},
		{"heartbeat in flight, no call", 0, pendingCalls{}, 0, 0, checkInterval},
		{"pending long poll", 0, pendingCalls{longPoll: 1}, noHeartbeat, 0, longPollHeartbeatInterval},
		{"pending long poll, long without data", 2 * longPollHeartbeatInterval, pendingCalls{longPoll: 1}, noHeartbeat, 0, checkInterval},
		{"idle", time.Hour, pendingCalls{}, noHeartbeat, time.Second, idleTimeout - time.Second},
	}
	for _, test := range tests {
		got := nextCheckDelay(test.quietFor, test.pending, test.heartbeatAge, test.sinceLastCall)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

// monitor must also detect a silent connection on which only a long poll is pending.
func TestSilentConnectionOfALongPollIsAbandoned(t *testing.T) {
	_, dialer, client := startPair(t, "key", "key")
	_, err := callB(client, time.Second, "Echo.Say", "hello")
	qt.Assert(t, err, qt.IsNil)
	dialer.silenceAll()
	ctx, cancel := context.WithTimeout(WithLongPoll(context.Background()), 10*time.Second)
	defer cancel()
	in, out := "lost", ""
	startedAt := time.Now()
	err = client.Call(ctx, "b", "Echo.Hold", &in, &out)
	qt.Assert(t, codeOf(t, err), qt.Equals, result.HolderLost)
	qt.Assert(t, time.Since(startedAt) < 5*time.Second, qt.IsTrue)
}

func BenchmarkCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := NewServer([]byte("key"), "b", logr.Discard())
	if err := server.Register("Echo", &echoService{}); err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(context.Background(), l) }()
	client := NewClient([]byte("key"), "a", func(topology.HostID) (string, bool) { return l.Addr().String(), true }, nil)
	for b.Loop() {
		if _, err := callB(client, time.Second, "Echo.Say", "hello"); err != nil {
			b.Fatal(err)
		}
	}
	client.Close()
	_ = l.Close()
	server.Close()
}

// A call that needs a connection while the client is being closed must not begin a dial
// for which Close doesn't wait.
func TestNoDialAfterClose(t *testing.T) {
	dials := 0
	client := NewClient([]byte("key"), "a", func(topology.HostID) (string, bool) { return "127.0.0.1:1", true }, func(context.Context, string, string) (net.Conn, error) {
		dials++
		return nil, errors.New("refused")
	})
	r, err := client.lookupRemote("b") // as a call does just before Close
	qt.Assert(t, err, qt.IsNil)
	client.Close()
	_, err = r.acquireLink(context.Background())
	qt.Check(t, err, qt.ErrorIs, errClientClosed)
	qt.Check(t, dials, qt.Equals, 0)
}
