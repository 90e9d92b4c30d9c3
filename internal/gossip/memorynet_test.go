package gossip

import (
	"context"
	"net"
	"sync"
)

// memoryNetwork connects hosts of one process without sockets, so that package synctest can
// tell when all of them wait. It is safe for concurrent use.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

func (n *memoryNetwork) listen(addr string) *memoryListener {
	l := &memoryListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*memoryListener{}
	}
	n.listeners[addr] = l
	return l
}

// dial implements target.DialFunc.
func (n *memoryNetwork) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	client, server := net.Pipe()
	select {
	case l.accepted <- newBufferedConn(server):
		return newBufferedConn(client), nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// memoryListener implements net.Listener.
type memoryListener struct {
	accepted  chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.UnixAddr{Name: "memory"} }

// bufferedConn is an end of a net.Pipe with an unlimited send buffer.
type bufferedConn struct {
	net.Conn
	mu        sync.Mutex
	unsent    []byte
	wake      chan struct{} // unsent isn't empty
	closed    chan struct{}
	closeOnce sync.Once
}

func newBufferedConn(conn net.Conn) *bufferedConn {
	c := &bufferedConn{Conn: conn, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go c.send()
	return c
}

// Write implements net.Conn.
func (c *bufferedConn) Write(p []byte) (int, error) {
	select {
	case <-c.closed:
		return 0, net.ErrClosed
	default:
	}
	c.mu.Lock()
	c.unsent = append(c.unsent, p...)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return len(p), nil
}

// send passes on what Write received until the connection is closed.
func (c *bufferedConn) send() {
	for {
		select {
		case <-c.closed:
			return
		case <-c.wake:
		}
		c.mu.Lock()
		data := c.unsent
		c.unsent = nil
		c.mu.Unlock()
		if _, err := c.Conn.Write(data); err != nil {
			_ = c.Close()
			return
		}
	}
}

// Close implements net.Conn.
func (c *bufferedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
