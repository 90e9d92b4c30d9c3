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
	propagationPeerKey = "key of the hosts of one measurement"
	propagationDomains = 3
	seedCallTimeout    = 1 * time.Second
)

// propagationFleet is a set of in-process hosts that run only the configuration
// service and connect to each other over TCP.
type propagationFleet struct {
	platform *standin.Server
	client   *platform.Client // acts as the operator
	hosts    []*propagationHost
}

// propagationHost is one host of the fleet.
type propagationHost struct {
	host   topology.Host
	store  *customer.Store
	peers  *peer.Client
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex
	reverts int
}

func newPropagationFleet(hosts int) (*propagationFleet, error) {
	server, err := standin.Start(standin.Config{})
	if err != nil {
		return nil, err
	}
	f := &propagationFleet{platform: server}
	f.client = platform.New(platform.Options{Addr: server.Addr, Caller: "operator"})
	group := topology.Group{ID: "g", Targets: []topology.Target{{
		ID: "t", Group: "g", Domain: "d0", Addr: "127.0.0.1:1", Connections: 16, Slots: 2,
	}}}
	customerObject := map[string]any{"template": propagationTemplate, "databases": map[string]string{"db": "g"}}
	template := map[string]any{}
	for kind, value := range map[string]any{platform.KindGroup: group, platform.KindCustomer: customerObject, platform.KindTemplate: template} {
		name := map[string]string{platform.KindGroup: "g", platform.KindCustomer: propagationCustomer, platform.KindTemplate: propagationTemplate}[kind]
		if _, err := server.Put(kind, name, value); err != nil {
			return nil, err
		}
	}
	for i := range hosts {
		id := topology.HostID(fmt.Sprint("h", i))
		h, err := f.startHost(id, topology.Domain(fmt.Sprint("d", i%propagationDomains)))
		if err != nil {
			return nil, err
		}
		f.hosts = append(f.hosts, h)
	}
	return f, nil
}

// startHost starts a host that joins the fleet through the first host.
func (f *propagationFleet) startHost(id topology.HostID, domain topology.Domain) (*propagationHost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	host := topology.Host{ID: id, Domain: domain, PeerAddr: listener.Addr().String(), State: topology.HostLive}
	if _, err := f.platform.Put(platform.KindHost, string(id), host); err != nil {
		return nil, err
	}
	h := &propagationHost{host: host, store: customer.NewStore(logr.Discard(), nil)}
	var seeds []string
	if len(f.hosts) > 0 {
		seeds = []string{f.hosts[0].host.PeerAddr}
	}
	server := peer.NewServer([]byte(propagationPeerKey), id, logr.Discard())
	if err := server.Register(customer.ServiceName, customer.NewService(h.store)); err != nil {
		return nil, err
	}
	h.peers = peer.NewClient([]byte(propagationPeerKey), id, h.lookupPeerAddr, nil)
	client := platform.New(platform.Options{Addr: f.platform.Addr, Caller: string(id)})
	syncer := customer.NewSyncer(customer.SyncerOptions{
		Self: host, Store: h.store, Client: client, Peers: h.peers, Seeds: seeds, SeedCaller: h,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = func() {
		cancel()
		h.peers.Close()
		server.Close()
		client.Close()
	}
	h.done.Go(func() { _ = server.Serve(ctx, listener) })
	h.done.Go(func() { syncer.Run(ctx) })
	h.done.Go(func() { h.countReverts(ctx) })
	return h, nil
}

// lookupPeerAddr returns a host's peer address from the configuration.
func (h *propagationHost) lookupPeerAddr(id topology.HostID) (string, bool) {
	for _, host := range h.store.Hosts() {
		if host.ID == id {
			return host.PeerAddr, true
		}
	}
	return "", false
}

// CallAddr implements customer.AddrCaller.
func (h *propagationHost) CallAddr(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, seedCallTimeout)
	defer cancel()
	client := peer.NewClient([]byte(propagationPeerKey), h.host.ID, func(topology.HostID) (string, bool) { return addr, true }, nil)
	defer client.Close()
	return client.Call(ctx, topology.HostID(addr), method, args, reply)
}

// countReverts counts each time that the template version in force decreases or the
// customer disappears.
func (h *propagationHost) countReverts(ctx context.Context) {
	last := uint64(0)
	for ctx.Err() == nil {
		changed := h.store.Changed()
		if c, ok := h.store.Customer(propagationCustomer); ok {
			h.recordRevert(c.TemplateVersion < last)
			last = c.TemplateVersion
		} else if last > 0 {
			h.recordRevert(true)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (h *propagationHost) recordRevert(reverted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if reverted {
		h.reverts++
	}
}

func (f *propagationFleet) totalReverts() int {
	total := 0
	for _, h := range f.hosts {
		h.mu.Lock()
		total += h.reverts
		h.mu.Unlock()
	}
	return total
}

// restartHost replaces host i with a new host of the same name and an empty store.
func (f *propagationFleet) restartHost(i int) {
	old := f.hosts[i]
	old.stop()
	if h, err := f.startHost(old.host.ID, old.host.Domain); err == nil {
		h.reverts = old.reverts
		f.hosts[i] = h
	}
}

// waitReady waits until every host has the customer and the complete host list.
func (f *propagationFleet) waitReady() error {
	deadline := time.Now().Add(propagationTimeout)
	for time.Now().Before(deadline) {
		ready := 0
		for _, h := range f.hosts {
			if _, ok := h.store.Customer(propagationCustomer); ok && len(h.store.Hosts()) == len(f.hosts) {
				ready++
			}
		}
		if ready == len(f.hosts) {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.New("some hosts did not receive their configuration in time")
}

func (h *propagationHost) stop() {
	h.cancel()
	h.done.Wait()
}

func (f *propagationFleet) close() {
	for _, h := range f.hosts {
		h.stop()
	}
	f.client.Close()
	f.platform.Close()
}

// peerBytesSent returns the number of bytes that all hosts in this process have sent
// to each other.
func peerBytesSent() uint64 {
	return metrics.GetOrCreateCounter("nettlewalk_peer_sent_bytes_total").Get()
}
