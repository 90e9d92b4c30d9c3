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

// echo is a service whose answers the test may hold back.
type echo struct{ hold chan struct{} }

func (e *echo) Say(in *string, out *string) error {
	*out = *in
	return nil
}

func (e *echo) Hold(in *string, out *string) error {
	<-e.hold
	*out = *in
	return nil
}

func (e *echo) Refuse(_ *string, _ *string) error {
	return result.New(result.QueueFull, "7 wait").After(40 * time.Millisecond)
}

// muteConn drops what is written and brings nothing once muted, like a
// connection that a middlebox forgot.
type muteConn struct {
	net.Conn
	muted *atomic.Bool
}

func (c *muteConn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *muteConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.muted.Load() {
		n, err = c.Conn.Read(p)
	}
	return n, err
}

// muteDialer can silence the connections that it opened so far.
type muteDialer struct {
	mu     sync.Mutex
	opened []*atomic.Bool
}

func (d *muteDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	muted := &atomic.Bool{}
	d.opened = append(d.opened, muted)
	return &muteConn{Conn: conn, muted: muted}, nil
}

func (d *muteDialer) mute() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.opened {
		m.Store(true)
	}
}

func startPair(t *testing.T, serverKey, clientKey string) (*echo, *muteDialer, *Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := NewServer([]byte(serverKey), "b", logr.Discard())
	service := &echo{hold: make(chan struct{})}
	qt.Assert(t, server.Register("Echo", service), qt.IsNil)
	served := make(chan error, 1)
	go func() { served <- server.Serve(context.Background(), l) }()
	dialer := &muteDialer{}
	addr := l.Addr().String()
	client := NewClient([]byte(clientKey), "a", func(id topology.HostID) (string, bool) { return addr, id == "b" }, dialer.dial)
	t.Cleanup(func() {
		client.Close()
		close(service.hold)
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

func call(client *Client, timeout time.Duration, method, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var out string
	err := client.Call(ctx, "b", method, &text, &out)
	return out, err
}

func TestCallAnswersAndErrorsArriveWhole(t *testing.T) {
	_, _, client := startPair(t, "key", "key")
	out, err := call(client, time.Second, "Echo.Say", "hello")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out, qt.Equals, "hello")
	_, err = call(client, time.Second, "Echo.Refuse", "")
	qt.Assert(t, err, qt.DeepEquals, error(result.New(result.QueueFull, "7 wait").After(40*time.Millisecond)))
}

func TestAnotherKeyIsRefusedBeforeAnyCall(t *testing.T) {
	_, _, client := startPair(t, "key", "other")
	_, err := call(client, time.Second, "Echo.Say", "hello")
	qt.Assert(t, codeOf(t, err), qt.Equals, result.HostUnreachable)
}

func TestUnknownHostIsUnreachable(t *testing.T) {
	_, _, client := startPair(t, "key", "key")
	var out string
	err := client.Call(context.Background(), "c", "Echo.Say", &out, &out)
	qt.Assert(t, codeOf(t, err), qt.Equals, result.HostUnreachable)
}

// A call with other hosts to turn to waits for a connection for a short time
// only, and surely wasn't sent then. Without the bound it waits for the dial.
func TestCallWaitsForAConnectionAsLongAsItMay(t *testing.T) {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client := NewClient([]byte("key"), "a", func(topology.HostID) (string, bool) { return "127.0.0.1:1", true }, dial)
	defer client.Close()
	var text string
	began := time.Now()
	err := client.Call(ConnectWithin(context.Background(), 20*time.Millisecond), "b", "Echo.Say", &text, &text)
	qt.Check(t, codeOf(t, err), qt.Equals, result.HostUnreachable)
	qt.Check(t, time.Since(began) < dialTimeout, qt.IsTrue)
}

func TestCallEndsWithItsContextAsLost(t *testing.T) {
	_, _, client := startPair(t, "key", "key")
	_, err := call(client, 20*time.Millisecond, "Echo.Hold", "late")
	qt.Assert(t, codeOf(t, err), qt.Equals, result.HolderLost)
}

// Fails without heartbeats: the held call then waits for its whole deadline.
func TestSilentConnectionIsAbandonedAndANewOneWorks(t *testing.T) {
	_, dialer, client := startPair(t, "key", "key")
	_, err := call(client, time.Second, "Echo.Say", "hello")
	qt.Assert(t, err, qt.IsNil)
	dialer.mute()
	began := time.Now()
	_, err = call(client, 10*time.Second, "Echo.Say", "lost")
	qt.Assert(t, codeOf(t, err), qt.Equals, result.HolderLost)
	qt.Assert(t, time.Since(began) < 3*time.Second, qt.IsTrue)
	out, err := call(client, time.Second, "Echo.Say", "again")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, out, qt.Equals, "again")
}

// A slow service isn't a silent connection: heartbeats pass beside its call.
func TestSlowServiceKeepsItsConnection(t *testing.T) {
	service, dialer, client := startPair(t, "key", "key")
	done := make(chan error, 1)
	go func() {
		_, err := call(client, 10*time.Second, "Echo.Hold", "slow")
		done <- err
	}()
	for began := time.Now(); time.Since(began) < 2*silentAfter; {
		_, err := call(client, time.Second, "Echo.Say", "beside")
		qt.Assert(t, err, qt.IsNil)
	}
	service.hold <- struct{}{}
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, len(dialer.opened), qt.Equals, 1)
}

func TestJudge(t *testing.T) {
	const none = -1
	tests := []struct {
		name                string
		quiet               time.Duration
		waiting             calls
		heartbeat, lastCall time.Duration
		want                verdict
	}{
		{"idle", time.Hour, calls{}, none, time.Second, keep},
		{"unused", time.Hour, calls{}, none, idleClose, unused},
		{"fresh call", 0, calls{prompt: 1}, none, 0, keep},
		{"waiting", heartbeatInterval, calls{prompt: 1}, none, heartbeatInterval, probe},
		{"heartbeat on its way", heartbeatInterval, calls{prompt: 1}, 0, heartbeatInterval, keep},
		{"long idle, then a call", time.Hour, calls{prompt: 1}, 0, 0, keep},
		{"other bytes arrive", 0, calls{prompt: 1}, time.Hour, 0, keep},
		{"patient call", heartbeatInterval, calls{patient: 1}, none, heartbeatInterval, keep},
		{"patient call waits long", patientInterval, calls{patient: 1}, none, patientInterval, probe},
		{"patient beside prompt", heartbeatInterval, calls{prompt: 1, patient: 1}, none, heartbeatInterval, probe},
		{"patient call, long idle", time.Hour, calls{patient: 1}, 0, idleClose, keep},
		{"patient and silent", silentAfter, calls{patient: 1}, silentAfter, silentAfter, tooQuiet},
		{"silent", silentAfter, calls{prompt: 1}, silentAfter, silentAfter, tooQuiet},
	}
	for _, test := range tests {
		got := judge(test.quiet, test.waiting, test.heartbeat, test.lastCall)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

func TestNextLook(t *testing.T) {
	const none = -1
	tests := []struct {
		name                string
		quiet               time.Duration
		waiting             calls
		heartbeat, lastCall time.Duration
		want                time.Duration
	}{
		{"a call waits", 0, calls{prompt: 1}, none, 0, lookInterval},
		{"a heartbeat is on its way", 0, calls{}, 0, 0, lookInterval},
		{"a patient call waits", 0, calls{patient: 1}, none, 0, patientInterval},
		{"a patient call, quiet", 2 * patientInterval, calls{patient: 1}, none, 0, lookInterval},
		{"idle", time.Hour, calls{}, none, time.Second, idleClose - time.Second},
	}
	for _, test := range tests {
		got := nextLook(test.quiet, test.waiting, test.heartbeat, test.lastCall)
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s", test.name))
	}
}

// Fails when watch doesn't look at a connection on which only a patient call waits.
func TestSilentConnectionOfAPatientCallIsAbandoned(t *testing.T) {
	_, dialer, client := startPair(t, "key", "key")
	_, err := call(client, time.Second, "Echo.Say", "hello")
	qt.Assert(t, err, qt.IsNil)
	dialer.mute()
	ctx, cancel := context.WithTimeout(Patient(context.Background()), 10*time.Second)
	defer cancel()
	in, out := "lost", ""
	began := time.Now()
	err = client.Call(ctx, "b", "Echo.Hold", &in, &out)
	qt.Assert(t, codeOf(t, err), qt.Equals, result.HolderLost)
	qt.Assert(t, time.Since(began) < 5*time.Second, qt.IsTrue)
}

func BenchmarkCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := NewServer([]byte("key"), "b", logr.Discard())
	if err := server.Register("Echo", &echo{}); err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(context.Background(), l) }()
	client := NewClient([]byte("key"), "a", func(topology.HostID) (string, bool) { return l.Addr().String(), true }, nil)
	for b.Loop() {
		if _, err := call(client, time.Second, "Echo.Say", "hello"); err != nil {
			b.Fatal(err)
		}
	}
	client.Close()
	_ = l.Close()
	server.Close()
}
