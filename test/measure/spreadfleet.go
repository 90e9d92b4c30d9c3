package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
)

const (
	spreadKey     = "key of the hosts of one measurement"
	spreadDomains = 3
	seedTimeout   = 1 * time.Second
)

// spreadFleet is hosts in this process that have nothing but configuration and
// real connections between them.
type spreadFleet struct {
	platform *standin.Server
	client   *platform.Client // of the operator
	nodes    []*spreadNode
}

// spreadNode is one host.
type spreadNode struct {
	host   topology.Host
	store  *customer.Store
	peers  *peer.Client
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	reverts int
}

func newSpreadFleet(hosts int) (*spreadFleet, error) {
	server, err := standin.Start(standin.Config{})
	if err != nil {
		return nil, err
	}
	f := &spreadFleet{platform: server}
	f.client = platform.New(platform.Options{Addr: server.Addr, Caller: "operator"})
	group := topology.Group{ID: "g", Targets: []topology.Target{{
		ID: "t", Group: "g", Domain: "d0", Addr: "127.0.0.1:1", Connections: 16, Slots: 2,
	}}}
	spec := map[string]any{"template": spreadTemplate, "databases": map[string]string{"db": "g"}}
	template := map[string]any{}
	for kind, value := range map[string]any{platform.KindGroup: group, platform.KindCustomer: spec, platform.KindTemplate: template} {
		name := map[string]string{platform.KindGroup: "g", platform.KindCustomer: spreadCustomer, platform.KindTemplate: spreadTemplate}[kind]
		if _, err := server.Put(kind, name, value); err != nil {
			return nil, err
		}
	}
	for i := range hosts {
		id := topology.HostID(fmt.Sprint("h", i))
		n, err := f.start(id, topology.Domain(fmt.Sprint("d", i%spreadDomains)))
		if err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// start begins a host that knows the first host's address as seed.
func (f *spreadFleet) start(id topology.HostID, domain topology.Domain) (*spreadNode, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	host := topology.Host{ID: id, Domain: domain, PeerAddr: listener.Addr().String(), State: topology.HostLive}
	if _, err := f.platform.Put(platform.KindHost, string(id), host); err != nil {
		return nil, err
	}
	n := &spreadNode{host: host, store: customer.NewStore(logr.Discard(), nil)}
	var seeds []string
	if len(f.nodes) > 0 {
		seeds = []string{f.nodes[0].host.PeerAddr}
	}
	server := peer.NewServer([]byte(spreadKey), id, logr.Discard())
	if err := server.Register(customer.ServiceName, customer.NewService(n.store)); err != nil {
		return nil, err
	}
	n.peers = peer.NewClient([]byte(spreadKey), id, n.resolve, nil)
	client := platform.New(platform.Options{Addr: f.platform.Addr, Caller: string(id)})
	spreader := customer.NewSpreader(customer.SpreaderOptions{
		Self: host, Store: n.store, Client: client, Peers: n.peers, Seeds: seeds, SeedCaller: n,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = func() {
		cancel()
		n.peers.Close()
		server.Close()
		client.Close()
	}
	n.done.Go(func() { _ = server.Serve(ctx, listener) })
	n.done.Go(func() { spreader.Run(ctx) })
	n.done.Go(func() { n.watchReverts(ctx) })
	return n, nil
}

// resolve finds a host's address in the configuration.
func (n *spreadNode) resolve(id topology.HostID) (string, bool) {
	for _, host := range n.store.Hosts() {
		if host.ID == id {
			return host.PeerAddr, true
		}
	}
	return "", false
}

// CallAddr implements customer.AddrCaller.
func (n *spreadNode) CallAddr(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	client := peer.NewClient([]byte(spreadKey), n.host.ID, func(topology.HostID) (string, bool) { return addr, true }, nil)
	defer client.Close()
	return client.Call(ctx, topology.HostID(addr), method, args, reply)
}

// watchReverts counts every fall of the version in force.
func (n *spreadNode) watchReverts(ctx context.Context) {
	last := uint64(0)
	for ctx.Err() == nil {
		changed := n.store.Changed()
		if c, ok := n.store.Customer(spreadCustomer); ok {
			n.note(c.TemplateVersion < last)
			last = c.TemplateVersion
		} else if last > 0 {
			n.note(true)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (n *spreadNode) note(reverted bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if reverted {
		n.reverts++
	}
}

func (f *spreadFleet) reverts() int {
	sum := 0
	for _, n := range f.nodes {
		n.mu.Lock()
		sum += n.reverts
		n.mu.Unlock()
	}
	return sum
}

// restart replaces a host by an empty one of the same name.
func (f *spreadFleet) restart(i int) {
	old := f.nodes[i]
	old.stop()
	if n, err := f.start(old.host.ID, old.host.Domain); err == nil {
		n.reverts = old.reverts
		f.nodes[i] = n
	}
}

func (f *spreadFleet) waitReady() error {
	deadline := time.Now().Add(spreadLimit)
	for time.Now().Before(deadline) {
		ready := 0
		for _, n := range f.nodes {
			if _, ok := n.store.Customer(spreadCustomer); ok && len(n.store.Hosts()) == len(f.nodes) {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("not every host has its configuration")
}

func (n *spreadNode) stop() {
	n.cancel()
	n.done.Wait()
}

func (f *spreadFleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	f.client.Close()
	f.platform.Close()
}

// peerBytes returns what all hosts of this process have sent to each other.
func peerBytes() uint64 {
	return metrics.GetOrCreateCounter("nettlewalk_peer_sent_bytes_total").Get()
}
