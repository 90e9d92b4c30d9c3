package peer

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Resolver returns the address of a host for peer calls.
type Resolver func(topology.HostID) (addr string, ok bool)

// Client calls services of other hosts. It opens connections on demand and
// implements Caller.
type Client struct {
	key     []byte
	self    topology.HostID
	resolve Resolver
	dial    target.DialFunc

	mu      sync.Mutex
	remotes map[topology.HostID]*remoteHost
	closed  bool
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup // runDial goroutines
}

// NewClient returns a Client without connections. If dial is nil, net.Dialer is used.
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
		remotes: map[topology.HostID]*remoteHost{},
		ctx:     ctx,
		cancel:  cancel,
	}
}

// Close closes all connections. Calls in progress fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	remotes := c.remotes
	c.mu.Unlock()
	c.cancel()
	for _, r := range remotes {
		r.close()
	}
	c.wg.Wait()
}

// Call implements Caller. If the connection breaks before any part of the request
// may have been sent, Call retries on another connection.
func (c *Client) Call(ctx context.Context, host topology.HostID, method string, args, reply any) error {
	countCall(method)
	r, err := c.lookupRemote(host)
	if err != nil {
		return err
	}
	for {
		l, err := r.acquireLink(ctx)
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

var errClientClosed = errors.New("the peer client of this host is closed")

// beginDial adds a runDial goroutine to wg. It returns false once Close was called, which
// waits for these goroutines.
func (c *Client) beginDial() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.wg.Add(1)
	return true
}

// lookupRemote returns the remoteHost of the host and creates it if necessary.
func (c *Client) lookupRemote(host topology.HostID) (*remoteHost, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, result.New(result.HostUnreachable, "%s: %s", host, errClientClosed)
	}
	r := c.remotes[host]
	if r == nil {
		r = &remoteHost{client: c, host: host}
		c.remotes[host] = r
	}
	return r, nil
}
