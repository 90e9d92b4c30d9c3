package peer

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"go.uber.org/goleak"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/slowlink"
)

// slowListener accepts connections that receive at the bandwidth of a slow link.
type slowListener struct {
	net.Listener
	link *slowlink.Link
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// What waits in the receive buffer counts as delivered. It must be small beside what
	// the link passes on within silenceTimeout.
	if err := conn.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		return nil, err
	}
	return l.link.Receive(conn), nil
}

// A request that waits in this host's send buffer, where the write has returned long
// before the link has passed it on, must not make its connection count as silent.
func TestLargeRequestInSendBufferKeepsItsConnection(t *testing.T) {
	const requestBytes = 1 << 20 // takes 0.84 s
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	server := NewServer([]byte("key"), "b", logr.Discard())
	qt.Assert(t, server.Register("Echo", &echoService{}), qt.IsNil)
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(context.Background(), &slowListener{Listener: l, link: slowlink.New(slowlink.TenMbit)})
	}()
	client := NewClient([]byte("key"), "a", func(topology.HostID) (string, bool) { return l.Addr().String(), true }, func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err == nil {
			err = conn.(*net.TCPConn).SetWriteBuffer(2 * requestBytes)
		}
		return conn, err
	})
	t.Cleanup(func() {
		client.Close()
		_ = l.Close()
		server.Close()
		<-served
		goleak.VerifyNone(t)
	})
	sent := strings.Repeat("x", requestBytes)
	out, err := callB(client, 10*time.Second, "Echo.Say", sent)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, out == sent, qt.IsTrue)
}

// opaqueConn is a connection whose state can't be queried while opaque is set.
type opaqueConn struct {
	*net.TCPConn
	opaque atomic.Bool
}

// SyscallConn implements syscall.Conn.
func (c *opaqueConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &opaqueRawConn{raw, c}, err
}

type opaqueRawConn struct {
	syscall.RawConn
	conn *opaqueConn
}

// Control implements syscall.RawConn.
func (c *opaqueRawConn) Control(f func(fd uintptr)) error {
	if c.conn.opaque.Load() {
		f(^uintptr(0)) // queries fail
		return nil
	}
	return c.RawConn.Control(f)
}

// A failed query of the send buffer must not make the bytes in it count as acknowledged by a
// peer that is silent.
func TestUnknownSendQueueIsNoProgress(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	raw, err := net.Dial("tcp", l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	peer, err := l.Accept() // reads nothing
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = peer.Close() }()
	conn := &opaqueConn{TCPConn: raw.(*net.TCPConn)}
	c := newCountedConn(conn, 0)
	written := make(chan error, 1)
	go func() {
		_, err := c.Write(make([]byte, 32<<20)) // more than the buffers of both sides
		written <- err
	}()
	var p sendProgress
	quietSince, end := time.Now(), time.Now().Add(10*time.Second)
	for time.Since(quietSince) < 200*time.Millisecond && time.Now().Before(end) {
		if p.check(c) {
			quietSince = time.Now()
		}
		time.Sleep(time.Millisecond)
	}
	queued, ok := c.sendQueue()
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, queued > 0, qt.IsTrue)
	conn.opaque.Store(true)
	qt.Check(t, p.check(c), qt.IsFalse)
	conn.opaque.Store(false)
	qt.Check(t, p.check(c), qt.IsFalse)
	_ = conn.Close()
	_, ok = c.sendQueue()
	qt.Check(t, ok, qt.IsFalse)
	qt.Check(t, <-written, qt.IsNotNil)
}
