package gossip

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/slowlink"
)

// realNetwork connects several Gossips by peer connections over loopback.
type realNetwork struct {
	t     *testing.T
	addrs map[topology.HostID]string
	hosts map[topology.HostID]*Gossip
}

var spreadTestKey = []byte("spread-test")

// newRealNetwork starts one host per domain, named a, b, c and so on. dial gives the
// dial functions of hosts whose link isn't plain loopback.
func newRealNetwork(t *testing.T, domains []topology.Domain, dial map[topology.HostID]target.DialFunc) *realNetwork {
	n := &realNetwork{t: t, addrs: map[topology.HostID]string{}, hosts: map[topology.HostID]*Gossip{}}
	listeners := map[topology.HostID]net.Listener{}
	for i := range domains {
		id := topology.HostID(rune('a' + i))
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listeners[id], n.addrs[id] = listener, listener.Addr().String()
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	resolve := func(id topology.HostID) (string, bool) { addr, ok := n.addrs[id]; return addr, ok }
	for i, domain := range domains {
		id := topology.HostID(rune('a' + i))
		client := peer.NewClient(spreadTestKey, id, resolve, dial[id])
		t.Cleanup(client.Close)
		g := New(Options{
			Self: Host{Addr: id, Name: "host-" + string(id), Domain: domain}, Seeds: []topology.HostID{"a"}, Domains: domains,
			Catalog: catalog.NewStore(), Caller: client, Offers: func() []Offer { return nil }, OnOffers: func([]Offer, time.Time) {}, Log: logr.Discard(),
		})
		g.SetClaims(&fakeClaims{})
		server := peer.NewServer(spreadTestKey, id, logr.Discard())
		qt.Assert(t, server.Register(ServiceName, g.Service()), qt.IsNil)
		go func() { _ = server.Serve(ctx, listeners[id]) }()
		go g.Run(ctx)
		n.hosts[id] = g
	}
	return n
}

// eventually waits until the condition holds and fails the test after the limit.
func (n *realNetwork) eventually(what string, limit time.Duration, condition func() bool) {
	n.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			n.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

func (n *realNetwork) connected() bool {
	for _, g := range n.hosts {
		if !g.Connected() {
			return false
		}
	}
	return true
}

// largeConfiguration returns a configuration with that many routes.
func largeConfiguration(version uint64, routes int) *catalog.Configuration {
	c := &catalog.Configuration{Version: version, Routes: map[string]catalog.Route{}, Groups: map[topology.GroupID]catalog.Group{}}
	for i := range routes {
		name := fmt.Sprintf("tenant%dx%d", i*7919%routes, i)
		c.Routes[name] = catalog.Route{Database: name, Group: topology.GroupID(fmt.Sprintf("group-%d", i%8)), Freshness: catalog.OwnWrites,
			MaxAge: 2500 * time.Millisecond, StatementTimeout: 800 * time.Millisecond, LatencyGoal: 200 * time.Millisecond, Priority: i % 3}
	}
	return c
}

// applyTimeout is the time within which a configuration must be in force on every host.
const applyTimeout = 3 * time.Second

// A configuration whose transfer takes longer than an exchange reaches a host behind a
// slow link in time, and that host stays in contact meanwhile.
func TestLargeConfigurationReachesHostBehindSlowLink(t *testing.T) {
	link := slowlink.New(slowlink.TenMbit)
	n := newRealNetwork(t, []topology.Domain{"north", "south", "coast", "west"}, map[topology.HostID]target.DialFunc{"d": link.Dial})
	n.eventually("all hosts are connected", 5*time.Second, n.connected)
	slow := n.hosts["d"]
	const routes = 20_000
	for _, id := range []topology.HostID{"a", "b", "c"} {
		n.hosts[id].opts.Catalog.OfferConfiguration(largeConfiguration(2, routes))
		n.hosts[id].TriggerRound()
	}
	disconnected, receivedBefore := 0, link.Received()
	n.eventually("the configuration is in force behind the slow link", applyTimeout, func() bool {
		if !slow.Connected() {
			disconnected++
		}
		version, _ := slow.opts.Catalog.Versions()
		return version == 2
	})
	qt.Check(t, slow.opts.Catalog.Configuration().Routes, qt.HasLen, routes)
	qt.Check(t, disconnected, qt.Equals, 0)
	encoded, err := encodeSnapshot(largeConfiguration(2, routes))
	qt.Assert(t, err, qt.IsNil)
	received := link.Received() - receivedBefore
	qt.Check(t, received < 2*int64(len(encoded.data)), qt.IsTrue, qt.Commentf("%d bytes for a snapshot of %d", received, len(encoded.data)))
}

// A configuration reaches many hosts in time although each serves few downloads at once.
func TestLargeConfigurationReachesManyHosts(t *testing.T) {
	const hosts, routes = 24, 5_000
	var domains []topology.Domain
	dial := map[topology.HostID]target.DialFunc{}
	for i := range hosts {
		domains = append(domains, []topology.Domain{"north", "south", "coast", "west"}[i%4])
		dial[topology.HostID(rune('a'+i))] = slowlink.New(slowlink.TenMbit).Dial
	}
	n := newRealNetwork(t, domains, dial)
	n.eventually("all hosts are connected", 10*time.Second, n.connected)
	n.hosts["a"].opts.Catalog.OfferConfiguration(largeConfiguration(2, routes))
	n.hosts["a"].TriggerRound()
	n.eventually("the configuration is in force on all hosts", applyTimeout, func() bool {
		for _, g := range n.hosts {
			if version, _ := g.opts.Catalog.Versions(); version != 2 {
				return false
			}
		}
		return true
	})
}
