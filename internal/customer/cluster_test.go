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

// cluster is some hosts in one process, with a platform between them.
type cluster struct {
	tb       testing.TB
	platform *standin.Server
	mu       sync.Mutex
	nodes    map[topology.HostID]*node
	cut      map[topology.Domain]bool // domains whose peers can't reach others
}

// node is one host's configuration.
type node struct {
	host   topology.Host
	store  *customer.Store
	client *platform.Client
	spread *customer.Spreader
	link   *link
	stop   func()
}

// link is a node's way to the platform, which can be cut.
type link struct {
	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

func (l *link) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	l.conns = append(l.conns, conn)
	return conn, nil
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

func newCluster(tb testing.TB) *cluster {
	server, err := standin.Start(standin.Config{})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(server.Close)
	return &cluster{tb: tb, platform: server, nodes: map[topology.HostID]*node{}, cut: map[topology.Domain]bool{}}
}

// add starts a host; listed hosts are in the platform's list. Its seeds are
// the names of hosts.
func (c *cluster) add(id, domain string, listed bool, seeds ...string) *node {
	host := topology.Host{ID: topology.HostID(id), Domain: topology.Domain(domain), State: topology.HostLive}
	if listed {
		c.put("host", id, host)
	}
	n := &node{host: host, store: customer.NewStore(logr.Discard(), nil), link: &link{}}
	n.client = platform.New(platform.Options{
		Addr:        c.platform.Addr,
		Caller:      id,
		Dial:        n.link.dial,
		CallTimeout: 500 * time.Millisecond,
	})
	n.spread = customer.NewSpreader(customer.SpreaderOptions{
		Self:       host,
		Store:      n.store,
		Client:     n.client,
		Peers:      &caller{cluster: c, from: host},
		Seeds:      seeds,
		SeedCaller: &caller{cluster: c, from: host},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.spread.Run(ctx)
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

// putCustomer writes a template with a rate and a customer of it.
func (c *cluster) putCustomer(id string, rate float64) {
	c.put("template", "t", map[string]any{"parameters": map[string]any{"rate": rate}})
	c.put("customer", id, map[string]any{"template": "t", "databases": map[string]string{"db": "g"}})
}

func (c *cluster) setCut(domain string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[topology.Domain(domain)] = cut
}

// caller calls other nodes' services directly. It implements peer.Caller and
// customer.AddrCaller, with names for addresses.
type caller struct {
	cluster *cluster
	from    topology.Host
}

func (r *caller) CallAddr(ctx context.Context, addr, method string, args, reply any) error {
	return r.Call(ctx, topology.HostID(addr), method, args, reply)
}

func (r *caller) Call(ctx context.Context, to topology.HostID, method string, args, reply any) error {
	n := r.reach(to)
	if n == nil {
		return result.New(result.HostUnreachable, "%s can't be reached", to)
	}
	err := r.answer(ctx, n, method, args, reply)
	if r.reach(to) != n {
		return result.New(result.HolderLost, "cut off from %s", to)
	}
	return err
}

// reach returns a node that can be reached.
func (r *caller) reach(to topology.HostID) *node {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	n := r.cluster.nodes[to]
	if n == nil || n.host.Domain != r.from.Domain && (r.cluster.cut[n.host.Domain] || r.cluster.cut[r.from.Domain]) {
		return nil
	}
	return n
}

func (r *caller) answer(ctx context.Context, n *node, method string, args, reply any) error {
	service := customer.NewService(n.store)
	answer := make(chan error, 1)
	switch method {
	case "Config.Pull":
		var got customer.PullReply
		go func() { answer <- service.Pull(args.(*customer.PullArgs), &got) }()
		return await(ctx, answer, func() { *reply.(*customer.PullReply) = got })
	case "Config.Page":
		var got customer.Page
		go func() { answer <- service.Page(args.(*customer.PageArgs), &got) }()
		return await(ctx, answer, func() { *reply.(*customer.Page) = got })
	}
	return fmt.Errorf("no method %s", method)
}

func await(ctx context.Context, answer chan error, take func()) error {
	select {
	case err := <-answer:
		if err == nil {
			take()
		}
		return err
	case <-ctx.Done():
		return result.New(result.HolderLost, "no answer in time")
	}
}

// rate returns the rate in force for a customer at a node, -1 if none is.
func (n *node) rate(id string) float64 {
	c, ok := n.store.Customer(topology.CustomerID(id))
	if !ok {
		return -1
	}
	return c.Limits.Rate
}

// waitFor polls until ok, and fails after the limit.
func waitFor(tb testing.TB, limit time.Duration, what string, ok func() bool) {
	tb.Helper()
	deadline := time.Now().Add(limit)
	for !ok() {
		if time.Now().After(deadline) {
			tb.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}
