package peer

import (
	"context"
	"net"
	"sync"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Resolver returns the peer address of a host.
type Resolver func(topology.HostID) (addr string, ok bool)

// Client calls services of other hosts over connections that it opens when
// needed. It implements Caller.
type Client struct {
	key     []byte
	self    topology.HostID
	resolve Resolver
	dial    target.DialFunc

	mu     sync.Mutex
	hosts  map[topology.HostID]*remote
	closed bool
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewClient returns a client without connections. A nil dial dials directly.
func NewClient(key []byte, self topology.HostID, resolve func(topology.HostID) (addr string, ok bool), dial target.DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		key:     key,
		self:    self,
		resolve: resolve,
		dial:    dial,
		hosts:   map[topology.HostID]*remote{},
		ctx:     ctx,
		cancel:  cancel,
	}
}

// Close ends all connections; calls under way fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	hosts := c.hosts
	c.mu.Unlock()
	c.cancel()
	for _, r := range hosts {
		r.close()
	}
	c.wg.Wait()
}

// Call implements Caller. A call that surely didn't leave on a connection that
// broke meanwhile is made on a new one.
func (c *Client) Call(ctx context.Context, host topology.HostID, method string, args, reply any) error {
	countCall(method)
	r, err := c.remote(host)
	if err != nil {
		return err
	}
	for {
		l, err := r.connected(ctx)
		if err != nil {
			return result.New(result.HostUnreachable, "%s: %s", host, err)
		}
		sent, err := l.call(ctx, method, args, reply)
		if err == nil || sent {
			return err
		}
		if ctx.Err() != nil {
			return result.New(result.HostUnreachable, "%s: %s", host, ctx.Err())
		}
	}
}

func (c *Client) remote(host topology.HostID) (*remote, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, result.New(result.HostUnreachable, "%s: this host's peer connections are closed", host)
	}
	r := c.hosts[host]
	if r == nil {
		r = &remote{client: c, host: host}
		c.hosts[host] = r
	}
	return r, nil
}
