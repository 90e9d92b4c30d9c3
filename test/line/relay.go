package line

import (
	"io"
	"net"
	"sync"
)

// relay forwards connections from an address of its own to another one.
type relay struct {
	addr, upstream string

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	conns    map[net.Conn]bool
	filter   func(net.Conn) bool // connections to forward; nil means all
}

// newRelay returns a relay that refuses connections until open is called.
func newRelay(addr, upstream string) *relay {
	return &relay{addr: addr, upstream: upstream, conns: map[net.Conn]bool{}}
}

// open accepts connections, unless the relay is open.
func (r *relay) open() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.listener = listener
	go r.accept(listener)
	return nil
}

// close closes all connections and refuses new ones.
func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return
	}
	r.listener.Close()
	r.listener = nil
	for c := range r.conns {
		c.Close()
	}
}

func (r *relay) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		closed := r.listener != listener
		r.conns[conn] = true
		filter := r.filter
		r.mu.Unlock()
		if closed {
			conn.Close()
		}
		go func() {
			if filter != nil && !filter(conn) {
				conn.Close()
			}
			r.forward(conn)
		}()
	}
}

// setFilter sets the connections to forward and closes the others, open and new ones.
func (r *relay) setFilter(filter func(net.Conn) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.filter = filter
	for c := range r.conns {
		if filter != nil && !filter(c) {
			c.Close()
		}
	}
}

// forward copies data in both directions until one of the connections is closed.
func (r *relay) forward(conn net.Conn) {
	defer func() {
		conn.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}()
	upstream, err := net.Dial("tcp", r.upstream)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() {
		_, _ = io.Copy(upstream, conn)
		upstream.Close()
	}()
	_, _ = io.Copy(conn, upstream)
}
