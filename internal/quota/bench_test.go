package quota

import (
	"strconv"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func benchHosts(n int) []topology.Host {
	var list []topology.Host
	for i := range n {
		list = append(list, topology.Host{ID: topology.HostID("host-" + strconv.Itoa(i)), Domain: domainName(i % 3), State: topology.HostLive})
	}
	return list
}

// BenchmarkAdmit measures an operation that finds a token.
func BenchmarkAdmit(b *testing.B) {
	c := &catalog.Configuration{Version: 1, Customers: map[topology.CustomerID]catalog.Customer{}}
	for i := range 14_000 {
		id := topology.CustomerID("customer-" + strconv.Itoa(i))
		c.Customers[id] = catalog.Customer{ID: id, Rate: 1e9, Burst: 1e9}
	}
	list := benchHosts(1)
	q := New(Options{Self: list[0].ID, Domain: list[0].Domain, Hosts: func() ([]topology.Host, uint64) { return list, 1 },
		Reach: func() gossip.Reach {
			return gossip.Reach{Domains: map[topology.Domain]float64{"d0": 1}, Own: "d0", Self: 1}
		},
		Configuration: func() *catalog.Configuration { return c }, Bounds: testBounds, Log: logr.Discard()})
	deadline := time.Now().Add(time.Hour)
	for b.Loop() {
		if _, _, ok := q.Admit("customer-7", deadline); !ok {
			b.Fatal("refused")
		}
	}
}

// BenchmarkSell measures a sale to one of many hosts.
func BenchmarkSell(b *testing.B) {
	for _, hosts := range []int{67, 4500} {
		b.Run(strconv.Itoa(hosts)+" hosts", func(b *testing.B) {
			g := NewLedger(testBounds, Limit{Rate: 1e6, Burst: 1e6}, 1, 1, at(0))
			list := benchHosts(hosts)
			n := 0
			for b.Loop() {
				n++
				g.Buy(list[n%hosts].ID, Request{Seq: uint64(n), Need: 1, Demand: 10}, at(time.Duration(n)*10*time.Microsecond))
			}
		})
	}
}

// BenchmarkChooseSellers measures what a change of the hosts costs for each customer.
func BenchmarkChooseSellers(b *testing.B) {
	for _, hosts := range []int{67, 4500} {
		b.Run(strconv.Itoa(hosts)+" hosts", func(b *testing.B) {
			index := fleet.NewIndex(benchHosts(hosts))
			n := 0
			for b.Loop() {
				n++
				chooseSellers(index, topology.CustomerID("customer-"+strconv.Itoa(n%14_000)), "d1")
			}
		})
	}
}
