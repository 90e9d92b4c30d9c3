package customer_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
)

// cluster runs several hosts and a stand-in platform in one process.
type cluster struct {
	tb          testing.TB
	platform    *standin.Server
	mu          sync.Mutex
	nodes       map[topology.HostID]*node
	partitioned map[topology.Domain]bool // domains that cannot reach hosts of other domains
}

// node is one host of a cluster.
type node struct {
	host         topology.Host
	store        *customer.Store
	client       *platform.Client
	syncer       *customer.Syncer
	platformLink *platformLink
	stop         func()
}

// platformLink dials the platform for a node and can be interrupted.
type platformLink struct {
	mu    sync.Mutex
	down  bool
	conns []net.Conn
}

func (p *platformLink) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	p.conns = append(p.conns, conn)
	return conn, nil
}

// setDown interrupts or restores the link. Both close the open connections.
func (p *platformLink) setDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	p.conns = nil
}

func newCluster(tb testing.TB) *cluster {
	server, err := standin.Start(standin.Config{})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(server.Close)
	return &cluster{tb: tb, platform: server, nodes: map[topology.HostID]*node{}, partitioned: map[topology.Domain]bool{}}
}

// addHost starts a host and adds it to the platform's list of hosts if listed
// is set. Seeds are host IDs.
func (c *cluster) addHost(id, domain string, listed bool, seeds ...string) *node {
	host := topology.Host{ID: topology.HostID(id), Domain: topology.Domain(domain), State: topology.HostLive}
	if listed {
		c.put("host", id, host)
	}
	n := &node{host: host, store: customer.NewStore(logr.Discard(), nil), platformLink: &platformLink{}}
	n.client = platform.New(platform.Options{
		Addr:        c.platform.Addr,
		Caller:      id,
		Dial:        n.platformLink.dial,
		CallTimeout: 500 * time.Millisecond,
	})
	n.syncer = customer.NewSyncer(customer.SyncerOptions{
		Self:       host,
		Store:      n.store,
		Client:     n.client,
		Peers:      &directCaller{cluster: c, from: host},
		Seeds:      seeds,
		SeedCaller: &directCaller{cluster: c, from: host},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.syncer.Run(ctx)
	}()
	n.stop = sync.OnceFunc(func() {
		cancel()
		<-done
		n.client.Close()
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.nodes[host.ID] == n {
			delete(c.nodes, host.ID)
		}
	})
	c.tb.Cleanup(n.stop)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[host.ID] = n
	return n
}

func (c *cluster) put(kind, name string, value any) uint64 {
	object, err := c.platform.Put(kind, name, value)
	if err != nil {
		c.tb.Fatal(err)
	}
	return object.Version
}

// putCustomer writes a template with a rate, and a customer that uses the
// template.
func (c *cluster) putCustomer(id string, rate float64) {
	c.put("template", "t", map[string]any{"parameters": map[string]any{"rate": rate}})
	c.put("customer", id, map[string]any{"template": "t", "databases": map[string]string{"db": "g"}})
}

// setPartitioned cuts a domain off from all other domains, or reconnects it.
func (c *cluster) setPartitioned(domain string, partitioned bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitioned[topology.Domain(domain)] = partitioned
}

// directCaller calls the services of other nodes without a network. It
// implements peer.Caller and customer.AddrCaller; host IDs serve as addresses.
type directCaller struct {
	cluster *cluster
	from    topology.Host
}

func (c *directCaller) CallAddr(ctx context.Context, addr, method string, args, reply any) error {
	return c.Call(ctx, topology.HostID(addr), method, args, reply)
}

func (c *directCaller) Call(ctx context.Context, to topology.HostID, method string, args, reply any) error {
	n := c.reachableNode(to)
	if n == nil {
		return result.New(result.HostUnreachable, "host %s is unreachable", to)
	}
	err := c.serve(ctx, n, method, args, reply)
	if c.reachableNode(to) != n {
		return result.New(result.HolderLost, "lost the connection to %s", to)
	}
	return err
}

// reachableNode returns the node, or nil if it is stopped or partitioned from
// the caller.
func (c *directCaller) reachableNode(to topology.HostID) *node {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	n := c.cluster.nodes[to]
	if n == nil || n.host.Domain != c.from.Domain && (c.cluster.partitioned[n.host.Domain] || c.cluster.partitioned[c.from.Domain]) {
		return nil
	}
	return n
}

// serve runs the method on the service of the node.
func (c *directCaller) serve(ctx context.Context, n *node, method string, args, reply any) error {
	service := customer.NewService(n.store)
	errs := make(chan error, 1)
	switch method {
	case "Config.Pull":
		var response customer.PullReply
		go func() { errs <- service.Pull(args.(*customer.PullArgs), &response) }()
		return await(ctx, errs, func() { *reply.(*customer.PullReply) = response })
	case "Config.Page":
		var response customer.Page
		go func() { errs <- service.Page(args.(*customer.PageArgs), &response) }()
		return await(ctx, errs, func() { *reply.(*customer.Page) = response })
	}
	return fmt.Errorf("unknown method %s", method)
}

// await waits for the result of a call and copies the reply if the call
// succeeded in time.
func await(ctx context.Context, errs chan error, copyReply func()) error {
	select {
	case err := <-errs:
		if err == nil {
			copyReply()
		}
		return err
	case <-ctx.Done():
		return result.New(result.HolderLost, "call timed out")
	}
}

// rate returns the active rate of a customer at the node, -1 if the customer
// is unknown.
func (n *node) rate(id string) float64 {
	c, ok := n.store.Customer(topology.CustomerID(id))
	if !ok {
		return -1
	}
	return c.Limits.Rate
}

// waitFor polls until ok returns true and fails the test after the timeout.
func waitFor(tb testing.TB, timeout time.Duration, condition string, ok func() bool) {
	tb.Helper()
	deadline := time.Now().Add(timeout)
	for !ok() {
		if time.Now().After(deadline) {
			tb.Fatalf("timed out after %v waiting for: %s", timeout, condition)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
