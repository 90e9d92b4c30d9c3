package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	linksPerHost   = 2                      // a large answer on one doesn't hold up the other
	secondLinkFrom = 4                      // waiting calls from which a second connection is worth its cost
	dialTimeout    = 500 * time.Millisecond // hosts are within a few milliseconds of each other
)

// remote is one other host with the connections to it.
type remote struct {
	client *Client
	host   topology.HostID

	mu    sync.Mutex
	links []*link
	dial  *dialing // nil: no dial is under way
}

// dialing is one attempt to connect, shared by all who wait for it.
type dialing struct {
	done chan struct{}
	link *link
	err  error
}

// connected is link within the time that the call's context allows for connecting.
func (r *remote) connected(ctx context.Context) (*link, error) {
	ctx, done := connecting(ctx)
	defer done()
	return r.link(ctx)
}

// link returns a usable connection, a new one if need be. On an error nothing was sent.
func (r *remote) link(ctx context.Context) (*link, error) {
	r.mu.Lock()
	best := r.best()
	if best != nil && !r.wantsAnother(best) {
		r.mu.Unlock()
		return best, nil
	}
	d := r.startDial()
	r.mu.Unlock()
	if best != nil {
		return best, nil
	}
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// best returns the usable connection with the fewest waiting calls and forgets
// the others that are over.
func (r *remote) best() *link {
	var best *link
	usable := r.links[:0]
	for _, l := range r.links {
		if !l.usable() {
			continue
		}
		usable = append(usable, l)
		if best == nil || l.waiting.Load() < best.waiting.Load() {
			best = l
		}
	}
	clear(r.links[len(usable):])
	r.links = usable
	return best
}

func (r *remote) wantsAnother(best *link) bool {
	return len(r.links) < linksPerHost && best.waiting.Load() >= secondLinkFrom
}

// startDial begins a dial unless one is under way. Needs r.mu.
func (r *remote) startDial() *dialing {
	if r.dial != nil {
		return r.dial
	}
	d := &dialing{done: make(chan struct{})}
	r.dial = d
	r.client.wg.Add(1)
	go r.finishDial(d)
	return d
}

func (r *remote) finishDial(d *dialing) {
	defer r.client.wg.Done()
	d.link, d.err = r.connect()
	r.mu.Lock()
	r.dial = nil
	if d.err == nil {
		r.links = append(r.links, d.link)
	}
	r.mu.Unlock()
	close(d.done)
	if d.err != nil {
		dialsFailed.Inc()
		return
	}
	if r.client.ctx.Err() != nil {
		d.link.close()
	}
	d.link.watch()
}

func (r *remote) connect() (*link, error) {
	addr, ok := r.client.resolve(r.host)
	if !ok {
		return nil, errors.New("no such host")
	}
	ctx, cancel := context.WithTimeout(r.client.ctx, dialTimeout)
	defer cancel()
	conn, err := r.client.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(r.client.ctx, func() { _ = conn.Close() })
	defer stop()
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := greet(conn, r.client.key, r.client.self); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = conn.Close()
		return nil, err
	}
	connectionsOpened.Inc()
	return newLink(r.host, newCountedConn(conn, 0)), nil
}

func (r *remote) close() {
	r.mu.Lock()
	links := append([]*link{}, r.links...)
	r.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}
