package peer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	maxLinksPerHost     = 2                      // a large answer on one doesn't delay calls on the other
	secondLinkThreshold = 4                      // pending calls from which a second connection is worth its cost
	dialTimeout         = 200 * time.Millisecond // hosts are within some tens of milliseconds of each other; one without power doesn't answer
)

// remoteHost holds the connections to another host.
type remoteHost struct {
	client *Client
	host   topology.HostID

	mu             sync.Mutex
	links          []*link
	dialInProgress *pendingDial // nil: none
}

// pendingDial is a connection attempt, shared by all calls that wait for it.
type pendingDial struct {
	done chan struct{}
	link *link
	err  error
}

// acquireLink returns a usable connection. It waits for a new one no longer than
// ctx allows (see WithConnectTimeout).
func (r *remoteHost) acquireLink(ctx context.Context) (*link, error) {
	ctx, cancel := connectContext(ctx)
	defer cancel()
	return r.usableLink(ctx)
}

// usableLink returns a usable connection and opens a new one if there is none. On
// an error nothing was sent.
func (r *remoteHost) usableLink(ctx context.Context) (*link, error) {
	r.mu.Lock()
	leastLoaded := r.leastLoadedLink()
	if leastLoaded != nil && !r.needsSecondLink(leastLoaded) {
		r.mu.Unlock()
		return leastLoaded, nil
	}
	d := r.startDial()
	r.mu.Unlock()
	if leastLoaded != nil {
		return leastLoaded, nil
	}
	select {
	case <-d.done:
		return d.link, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// leastLoadedLink returns the usable connection with the fewest pending calls, or
// nil. It removes connections that aren't usable. The caller holds r.mu.
func (r *remoteHost) leastLoadedLink() *link {
	var leastLoaded *link
	usable := r.links[:0]
	for _, l := range r.links {
		if !l.usable() {
			continue
		}
		usable = append(usable, l)
		if leastLoaded == nil || l.pendingPrompt.Load() < leastLoaded.pendingPrompt.Load() {
			leastLoaded = l
		}
	}
	clear(r.links[len(usable):])
	r.links = usable
	return leastLoaded
}

// needsSecondLink reports whether the calls pending on the only connection justify a
// second one.
func (r *remoteHost) needsSecondLink(leastLoaded *link) bool {
	return len(r.links) < maxLinksPerHost && leastLoaded.pendingPrompt.Load() >= secondLinkThreshold
}

// startDial starts a dial unless one is in progress. The caller holds r.mu.
func (r *remoteHost) startDial() *pendingDial {
	if r.dialInProgress != nil {
		return r.dialInProgress
	}
	d := &pendingDial{done: make(chan struct{})}
	if !r.client.beginDial() {
		d.err = errClientClosed
		close(d.done)
		return d
	}
	r.dialInProgress = d
	go r.runDial(d)
	return d
}

// runDial connects, adds the new connection to links and then monitors it until it
// ends.
func (r *remoteHost) runDial(d *pendingDial) {
	defer r.client.wg.Done()
	d.link, d.err = r.connect()
	r.mu.Lock()
	r.dialInProgress = nil
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
	d.link.monitor()
}

// connect dials the host and performs the handshake.
func (r *remoteHost) connect() (*link, error) {
	addr, ok := r.client.resolve(r.host)
	if !ok {
		return nil, errors.New("no peer address is known for the host")
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
	if err := clientHandshake(conn, r.client.key, r.client.self); err != nil {
		_ = conn.Close()
		return nil, errors.Wrap(err, "peer handshake")
	}
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = conn.Close()
		return nil, err
	}
	connectionsOpened.Inc()
	return newLink(r.host, newCountedConn(conn, 0)), nil
}

func (r *remoteHost) close() {
	r.mu.Lock()
	links := append([]*link{}, r.links...)
	r.mu.Unlock()
	for _, l := range links {
		l.close()
	}
}
