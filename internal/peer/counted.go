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
	readTimeout  time.Duration             // 0: no timeout
	lastReceived atomic.Int64              // monotonic time since processStart at which data last arrived
	accepted     atomic.Int64              // bytes passed to Write
	written      atomic.Int64              // those of them that Conn has taken
	sendQueue    func() (n int64, ok bool) // see sendQueueFunc
}

// writeChunkBytes is how much is written at a time, so that the progress of a large write
// is visible: 39 ms on a link of 10 Mbit/s, well below checkInterval. A part of a snapshot
// (32 KiB) is written in one piece.
const writeChunkBytes = 48 << 10

var processStart = time.Now()

func newCountedConn(conn net.Conn, readTimeout time.Duration) *countedConn {
	c := &countedConn{Conn: conn, readTimeout: readTimeout, sendQueue: sendQueueFunc(conn)}
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
func (c *countedConn) Write(p []byte) (n int, err error) {
	c.accepted.Add(int64(len(p)))
	for {
		written, err := c.Conn.Write(p[n:min(len(p), n+writeChunkBytes)])
		n += written
		c.written.Add(int64(written))
		bytesSent.Add(written)
		if err != nil || n == len(p) {
			return n, err
		}
	}
}

// delivery returns how many bytes the peer has acknowledged, and how many that were passed
// to Write it hasn't. ok is false if that is unknown.
func (c *countedConn) delivery() (delivered, backlog int64, ok bool) {
	delivered = c.written.Load()
	if c.sendQueue != nil {
		queued, ok := c.sendQueue()
		if !ok {
			return 0, 0, false
		}
		delivered -= queued
	}
	return delivered, c.accepted.Load() - delivered, true
}

// quietFor returns the time since data last arrived.
func (c *countedConn) quietFor() time.Duration {
	return time.Since(processStart) - time.Duration(c.lastReceived.Load())
}
