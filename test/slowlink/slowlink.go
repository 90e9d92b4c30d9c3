// Package slowlink limits the bandwidth of connections in tests, as the network link of
// a small host does.
package slowlink

import (
	"context"
	"net"
	"sync/atomic"

	"golang.org/x/time/rate"
)

// TenMbit is the bandwidth, in bytes a second, of a link of 10 Mbit/s.
const TenMbit = 10e6 / 8

// segmentBytes is how much a link passes on at a time.
const segmentBytes = 1500

// Link is the network link of one host. The connections that it dials share its
// bandwidth. It is safe for concurrent use.
type Link struct {
	limiter  *rate.Limiter
	received atomic.Int64
}

// New returns a link with the given bandwidth in bytes a second.
func New(bytesPerSecond float64) *Link {
	return &Link{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), segmentBytes)}
}

// Received returns the number of bytes that arrived on connections of Dial.
func (l *Link) Received() int64 { return l.received.Load() }

// Dial opens a connection that receives at the bandwidth of the link.
func (l *Link) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return l.Receive(conn), nil
}

// Receive returns the connection, limited to receive at the bandwidth of the link.
func (l *Link) Receive(conn net.Conn) net.Conn { return &receivingConn{Conn: conn, link: l} }

// DialSending opens a connection that sends at the bandwidth of the link.
func (l *Link) DialSending(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &sendingConn{Conn: conn, link: l}, nil
}

// pass waits until the link has passed on n bytes, segmentBytes at most.
func (l *Link) pass(n int) error { return l.limiter.WaitN(context.Background(), n) }

type receivingConn struct {
	net.Conn
	link *Link
}

// Read implements net.Conn.
func (c *receivingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(len(p), segmentBytes)])
	c.link.received.Add(int64(n))
	if passErr := c.link.pass(n); passErr != nil {
		return n, passErr
	}
	return n, err
}

type sendingConn struct {
	net.Conn
	link *Link
}

// Write implements net.Conn.
func (c *sendingConn) Write(p []byte) (n int, err error) {
	for n < len(p) {
		segment := p[n:min(len(p), n+segmentBytes)]
		if err := c.link.pass(len(segment)); err != nil {
			return n, err
		}
		written, err := c.Conn.Write(segment)
		n += written
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
