package quota

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Two hosts buy from the same coordinator over real connections: together they get no more
// than a ledger begins with, and the one that isn't the coordinator gets its tokens from it.
// Every message must be encodable.
func TestHostsBuyOverPeerConnections(t *testing.T) {
	limit := Limit{Rate: 0.01, Burst: 10}
	var hosts []topology.Host
	var listeners []net.Listener
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(t, err, qt.IsNil)
		listeners = append(listeners, l)
		hosts = append(hosts, topology.Host{ID: topology.HostID(l.Addr().String()), Domain: "d", State: topology.HostLive})
	}
	c := &catalog.Configuration{Version: 1, Customers: map[topology.CustomerID]catalog.Customer{"c": {ID: "c", Rate: limit.Rate, Burst: limit.Burst}}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var quotas []*Quota
	for i, h := range hosts {
		client := peer.NewClient([]byte("key"), h.ID, func(id topology.HostID) (string, bool) { return string(id), true }, nil)
		t.Cleanup(client.Close)
		q := New(Options{Self: h.ID, Domain: "d", Peers: client, Hosts: func() ([]topology.Host, uint64) { return hosts, 1 },
			Reach: func() gossip.Reach {
				return gossip.Reach{Domains: map[topology.Domain]float64{"d": 1}, Own: "d", Self: 0.5}
			},
			Configuration: func() *catalog.Configuration { return c }, Bounds: testBounds, Log: logr.Discard()})
		server := peer.NewServer([]byte("key"), h.ID, logr.Discard())
		qt.Assert(t, server.Register(ServiceName, q.Service()), qt.IsNil)
		go func() { _ = server.Serve(ctx, listeners[i]) }()
		quotas = append(quotas, q)
	}
	admitted := 0
	for range 20 {
		for _, q := range quotas {
			if _, _, ok := q.Admit("c", time.Now().Add(time.Second)); ok {
				admitted++
			}
		}
	}
	qt.Check(t, admitted > 1, qt.IsTrue)
	qt.Check(t, float64(admitted) <= testBounds.start(limit)+1, qt.IsTrue, qt.Commentf("%d admitted", admitted))
	coordinators := map[topology.HostID]bool{}
	for i, q := range quotas {
		d := q.Dump()
		qt.Assert(t, d.Wallets, qt.HasLen, 1)
		coordinators[d.Wallets[0].Seller] = true
		other := quotas[1-i]
		for method, call := range map[string]struct{ args, reply any }{
			stopMethod: {&StopArgs{From: q.opts.Self, Customer: "c"}, &StopReply{}},
			cedeMethod: {&CedeArgs{From: q.opts.Self, Domain: "d", Customer: "c", Votes: 0.5}, &Confirmation{}},
			pingMethod: {&PingArgs{From: q.opts.Self}, &Confirmation{}},
		} {
			qt.Check(t, q.call(other.opts.Self, method, call.args, call.reply, time.Second), qt.IsNil, qt.Commentf(method))
		}
	}
	qt.Check(t, coordinators, qt.HasLen, 1)
}
