package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// countedConn counts the bytes of a connection and knows when the last ones
// arrived. A read that brings nothing for idle ends the connection.
type countedConn struct {
	net.Conn
	idle     time.Duration // 0: reads may wait for ever
	received atomic.Int64  // monotonic time of the last read, since processStart
}

var processStart = time.Now()

func newCountedConn(conn net.Conn, idle time.Duration) *countedConn {
	c := &countedConn{Conn: conn, idle: idle}
	c.received.Store(int64(time.Since(processStart)))
	return c
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	if c.idle > 0 {
		if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.Store(int64(time.Since(processStart)))
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

// quiet returns how long nothing has arrived.
func (c *countedConn) quiet() time.Duration {
	return time.Since(processStart) - time.Duration(c.received.Load())
}
