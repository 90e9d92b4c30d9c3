package quota

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// countingPeers counts calls by method. No host answers while silent is set.
type countingPeers struct {
	mu     sync.Mutex
	silent bool
	calls  map[string]int
}

func (p *countingPeers) Call(_ context.Context, _ topology.HostID, method string, _, _ any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[method]++
	if p.silent {
		return errors.New("no answer")
	}
	return nil
}

// newSeller returns a Quota of a host that is the coordinator of every customer.
func newSeller(peers *countingPeers) *Quota {
	return New(Options{Self: "a", Domain: "d", Peers: peers, Hosts: func() ([]topology.Host, uint64) {
		return []topology.Host{{ID: "a", Domain: "d", State: topology.HostLive}}, 1
	}, Reach: func() gossip.Reach {
		return gossip.Reach{Domains: map[topology.Domain]float64{"d": 0.5, "e": 0.5}, Own: "d", Self: 0.5}
	}, Configuration: func() *catalog.Configuration { return nil }, Bounds: testBounds, Now: time.Now, Log: logr.Discard()})
}

// An earlier seller that didn't answer when it was told to stop is told again once it
// answers, since it may still sell. While it is silent, purchases don't call it.
func TestEarlierSellerIsToldToStopUntilItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &countingPeers{silent: true, calls: map[string]int{}}
		q := newSeller(peers)
		buy := func() {
			args := BuyArgs{From: "h", Domain: "d", Customer: "c", Request: Request{Need: 1}, Previous: "b", PreviousAge: 6 * time.Second, Limit: Limit{Rate: 10, Burst: 10}, Version: 1}
			qt.Assert(t, q.Service().Buy(&args, &BuyReply{}), qt.IsNil)
			synctest.Wait()
		}
		for range 50 {
			buy()
			time.Sleep(100 * time.Millisecond)
		}
		qt.Check(t, peers.calls[stopMethod], qt.Equals, 1)
		peers.silent = false
		for range 3 { // a check of the host is due, it answers, the host is told
			time.Sleep(probeInterval)
			buy()
		}
		qt.Check(t, peers.calls[stopMethod], qt.Equals, 2)
	})
}

// An earlier seller that is avoided when it is first reported is told once it answers. It
// counted as told, so that it went on selling.
func TestAvoidedEarlierSellerIsToldToStopLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := &countingPeers{calls: map[string]int{}}
		q := newSeller(peers)
		q.avoided["b"] = &avoidance{probeAt: time.Now().Add(probeInterval)}
		for range 4 {
			args := BuyArgs{From: "h", Domain: "d", Customer: "c", Request: Request{Need: 1}, Previous: "b", PreviousAge: 6 * time.Second, Limit: Limit{Rate: 10, Burst: 10}, Version: 1}
			qt.Assert(t, q.Service().Buy(&args, &BuyReply{}), qt.IsNil)
			synctest.Wait()
			time.Sleep(probeInterval)
		}
		qt.Check(t, peers.calls[stopMethod], qt.Equals, 1)
	})
}

// A ledger that stays in use forgets the hosts that it told to stop.
func TestEarlierSellersAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newSeller(&countingPeers{calls: map[string]int{}})
		buy := func(previous topology.HostID) {
			args := BuyArgs{From: "h", Domain: "d", Customer: "c", Request: Request{Need: 1}, Previous: previous, Limit: Limit{Rate: 10, Burst: 10}, Version: 1}
			qt.Assert(t, q.Service().Buy(&args, &BuyReply{}), qt.IsNil)
			synctest.Wait()
		}
		buy("b")
		qt.Check(t, q.ledgers[coordinator]["c"].stopped, qt.HasLen, 1)
		time.Sleep(previousPeriod + stopInterval + pruneInterval)
		buy("")
		qt.Check(t, q.ledgers[coordinator]["c"].stopped, qt.HasLen, 0)
	})
}
