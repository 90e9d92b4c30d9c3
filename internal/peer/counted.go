package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes of a connection and records when data last arrived.
// A read that gets no data for readTimeout fails.
type countedConn struct {
	net.Conn
	readTimeout  time.Duration // 0: no timeout
	lastReceived atomic.Int64  // monotonic time since processStart at which data last arrived
}

var processStart = time.Now()

func newCountedConn(conn net.Conn, readTimeout time.Duration) *countedConn {
	c := &countedConn{Conn: conn, readTimeout: readTimeout}
	c.lastReceived.Store(int64(time.Since(processStart)))
	return c
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.readTimeout > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastReceived.Store(int64(time.Since(processStart)))
		bytesReceived.Add(n)
	}
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesSent.Add(n)
	return n, err
}

// quietFor returns the time since data last arrived.
func (c *countedConn) quietFor() time.Duration {
	return time.Since(processStart) - time.Duration(c.lastReceived.Load())
}
