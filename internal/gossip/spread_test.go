package gossip

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/slowlink"
)

// peerNetwork connects several Gossips by peer connections in memory, on the virtual clock
// of package synctest: what it measures are transfers, rounds and timeouts, not the
// processor time that the hosts share with each other and with the rest of the machine.
type peerNetwork struct {
	t     *testing.T
	hosts map[topology.HostID]*Gossip
}

var spreadTestKey = []byte("spread-test")

// newPeerNetwork starts one host per domain, named a, b, c and so on. links are those of
// hosts that receive at a limited bandwidth.
func newPeerNetwork(t *testing.T, domains []topology.Domain, links map[topology.HostID]*slowlink.Link) *peerNetwork {
	n, network := &peerNetwork{t: t, hosts: map[topology.HostID]*Gossip{}}, &memoryNetwork{}
	listeners := map[topology.HostID]net.Listener{}
	for i := range domains {
		id := topology.HostID(rune('a' + i))
		listeners[id] = network.listen(string(id))
	}
	t.Cleanup(func() { time.Sleep(time.Second) }) // until the links have passed on what is under way
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	resolve := func(id topology.HostID) (string, bool) { return string(id), true }
	for i, domain := range domains {
		id := topology.HostID(rune('a' + i))
		client := peer.NewClient(spreadTestKey, id, resolve, dialOver(network, links[id]))
		t.Cleanup(client.Close)
		g := newWithClock(Options{
			Self: Host{Addr: id, Name: "host-" + string(id), Domain: domain}, Seeds: []topology.HostID{"a"}, Domains: domains,
			Catalog: catalog.NewStore(), Caller: client, Offers: func() []Offer { return nil }, OnOffers: func([]Offer, time.Time) {}, Log: logr.Discard(),
		}, time.Now)
		g.SetClaims(&fakeClaims{})
		g.snapshots[ConfigurationSnapshot].encode = func(source any) (*encodedSnapshot, error) {
			time.Sleep(encodingTime)
			return encodeSnapshot(source)
		}
		server := peer.NewServer(spreadTestKey, id, logr.Discard())
		qt.Assert(t, server.Register(ServiceName, g.Service()), qt.IsNil)
		go func() { _ = server.Serve(ctx, listeners[id]) }()
		go g.Run(ctx)
		n.hosts[id] = g
	}
	return n
}

// encodingTime is how long a host of the tests takes to encode a configuration. 20,000 routes
// take 50 ms of a whole core, and hosts with a tenth of a core or less exist.
const encodingTime = time.Second

// dialOver returns a function that dials over the link, which may be nil.
func dialOver(n *memoryNetwork, link *slowlink.Link) target.DialFunc {
	if link == nil {
		return n.dial
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := n.dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return link.Receive(conn), nil
	}
}

// eventually waits until the condition holds and fails the test after the limit.
func (n *peerNetwork) eventually(what string, limit time.Duration, condition func() bool) {
	n.t.Helper()
	for deadline := time.Now().Add(limit); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			n.t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

func (n *peerNetwork) connected() bool {
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
// slow link in time, and that host stays in contact meanwhile. Hosts that read it from the
// store encode it once at most, however long that takes.
func TestLargeConfigurationReachesHostBehindSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := slowlink.New(slowlink.TenMbit)
		n := newPeerNetwork(t, []topology.Domain{"north", "south", "coast", "west"}, map[topology.HostID]*slowlink.Link{"d": link})
		n.eventually("all hosts are connected", 5*time.Second, n.connected)
		slow := n.hosts["d"]
		const routes = 20_000
		readers := []topology.HostID{"a", "b", "c"}
		read := map[topology.HostID]*catalog.Configuration{}
		for _, id := range readers {
			read[id] = largeConfiguration(2, routes)
		}
		time.Sleep(2*roundInterval + time.Millisecond) // all hosts have contacted each other, and no round begins now
		encodedBefore := snapshotsEncoded.Get()
		for _, id := range readers {
			n.hosts[id].opts.Catalog.OfferConfiguration(read[id])
		}
		for _, id := range readers {
			n.hosts[id].TriggerRound()
		}
		disconnected, receivedBefore, offeredAt := 0, link.Received(), time.Now()
		n.eventually("the configuration is in force behind the slow link", applyTimeout, func() bool {
			if !slow.Connected() {
				disconnected++
			}
			version, _ := slow.opts.Catalog.Versions()
			return version == 2
		})
		t.Logf("in force after %v, %d encodings", time.Since(offeredAt), snapshotsEncoded.Get()-encodedBefore)
		qt.Check(t, slow.opts.Catalog.Configuration().Routes, qt.HasLen, routes)
		qt.Check(t, disconnected, qt.Equals, 0)
		qt.Check(t, snapshotsEncoded.Get()-encodedBefore, qt.Equals, uint64(1), qt.Commentf("the download has left a host that was encoding"))
		encoded, err := encodeSnapshot(largeConfiguration(2, routes))
		qt.Assert(t, err, qt.IsNil)
		received := link.Received() - receivedBefore
		qt.Check(t, received < 2*int64(len(encoded.data)), qt.IsTrue, qt.Commentf("%d bytes for a snapshot of %d", received, len(encoded.data)))
	})
}

// A configuration reaches many hosts in time although each serves few downloads at once.
// It is encoded once, and each host downloads it once.
func TestLargeConfigurationReachesManyHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, routes = 24, 5_000
		var domains []topology.Domain
		links := map[topology.HostID]*slowlink.Link{}
		for i := range hosts {
			domains = append(domains, []topology.Domain{"north", "south", "coast", "west"}[i%4])
			links[topology.HostID(rune('a'+i))] = slowlink.New(slowlink.TenMbit)
		}
		n := newPeerNetwork(t, domains, links)
		n.eventually("all hosts are connected", 10*time.Second, n.connected)
		encodedBefore, bytesBefore := snapshotsEncoded.Get(), snapshotBytes[ConfigurationSnapshot].Get()
		time.Sleep(2 * roundInterval)
		configuration, offeredAt := largeConfiguration(2, routes), time.Now()
		n.hosts["a"].opts.Catalog.OfferConfiguration(configuration)
		n.hosts["a"].TriggerRound()
		n.eventually("the configuration is in force on all hosts", applyTimeout, func() bool {
			for _, g := range n.hosts {
				if version, _ := g.opts.Catalog.Versions(); version != 2 {
					return false
				}
			}
			return true
		})
		received := snapshotBytes[ConfigurationSnapshot].Get() - bytesBefore
		t.Logf("in force after %v, %d encodings, %d bytes received", time.Since(offeredAt), snapshotsEncoded.Get()-encodedBefore, received)
		qt.Check(t, snapshotsEncoded.Get()-encodedBefore, qt.Equals, uint64(1))
		encoded, err := encodeSnapshot(configuration)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, received, qt.Equals, uint64((hosts-1)*len(encoded.data)))
	})
}
