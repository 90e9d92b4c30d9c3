package gossip

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// slowSourceNetwork delays the fetches from one host, and counts all fetches.
type slowSourceNetwork struct {
	*fakeNetwork
	slow    topology.HostID
	delay   time.Duration
	fetches int
}

func (n *slowSourceNetwork) Call(ctx context.Context, id topology.HostID, method string, args, reply any) error {
	if method != fetchMethod {
		return n.fakeNetwork.Call(ctx, id, method, args, reply)
	}
	n.fetches++
	if id == n.slow {
		select {
		case <-time.After(n.delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return n.fakeNetwork.Call(ctx, id, method, args, reply)
}

// A host isn't late with a configuration because it began to fetch it from a slow host.
func TestDownloadLeavesSlowSource(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.runRounds()
	a, b, c := n.hosts["a"], n.hosts["b"], n.hosts["c"]
	b.opts.Caller = &slowSourceNetwork{fakeNetwork: n, slow: "a", delay: 700 * time.Millisecond}
	a.opts.Catalog.OfferConfiguration(largeConfiguration(7, 20_000))
	a.exchange(context.Background(), "b")
	done, start := make(chan time.Duration), time.Now()
	go func() {
		b.fetchNewest(context.Background(), b.fetchers[ConfigurationSnapshot])
		done <- time.Since(start)
	}()
	time.Sleep(100 * time.Millisecond)
	c.opts.Catalog.OfferConfiguration(largeConfiguration(7, 20_000))
	c.exchange(context.Background(), "b")
	took := <-done
	qt.Check(t, took < applyTimeout, qt.IsTrue, qt.Commentf("in force after %v", took))
}

// A host that restarted with an older configuration than it had announced before isn't
// asked for it again and again.
func TestOutdatedAnnouncementIsFetchedOnce(t *testing.T) {
	n := newFakeNetwork("north", "south")
	n.runRounds()
	a, b := n.hosts["a"], n.hosts["b"]
	counted := &slowSourceNetwork{fakeNetwork: n}
	b.opts.Caller = counted
	for _, g := range []*Gossip{a, b} {
		g.opts.Catalog.OfferConfiguration(&catalog.Configuration{Version: 2})
	}
	b.recordSender(&Digest{From: a.self, Configuration: 3, FetchesSnapshots: true})
	for range 5 {
		b.fetchNewest(context.Background(), b.fetchers[ConfigurationSnapshot])
	}
	qt.Check(t, counted.fetches, qt.Equals, 1)
}

// If no host with the newest configuration answers, a host takes an older one that is
// still newer than its own.
func TestOlderSnapshotIsFetchedIfTheNewestCannotBe(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.runRounds()
	a, b, c := n.hosts["a"], n.hosts["b"], n.hosts["c"]
	c.opts.Catalog.OfferConfiguration(&catalog.Configuration{Version: 2})
	c.exchange(context.Background(), "b")
	a.opts.Catalog.OfferConfiguration(&catalog.Configuration{Version: 3})
	a.exchange(context.Background(), "b")
	n.partitioned["a"] = true
	qt.Check(t, b.fetchNewest(context.Background(), b.fetchers[ConfigurationSnapshot]), qt.Equals, fetchFailed)
	version, _ := b.opts.Catalog.Versions()
	qt.Check(t, version, qt.Equals, uint64(2))
}

// A host waits for a busy host with the newest configuration rather than take an older one.
func TestBusySourceIsAskedAgain(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.runRounds()
	a, b, c := n.hosts["a"], n.hosts["b"], n.hosts["c"]
	c.opts.Catalog.OfferConfiguration(&catalog.Configuration{Version: 2})
	c.exchange(context.Background(), "b")
	a.opts.Catalog.OfferConfiguration(largeConfiguration(3, 20_000))
	a.exchange(context.Background(), "b")
	for _, id := range []topology.HostID{"x", "y"} {
		var reply FetchReply
		qt.Assert(t, a.Service().Fetch(&FetchArgs{From: id}, &reply), qt.IsNil)
		qt.Assert(t, reply.Busy, qt.IsFalse)
	}
	f := b.fetchers[ConfigurationSnapshot]
	qt.Check(t, b.fetchNewest(context.Background(), f), qt.Equals, fetchBusy)
	qt.Check(t, b.opts.Catalog.Configuration(), qt.IsNil)
	a.uploads[ConfigurationSnapshot] = uploads{}
	qt.Check(t, b.fetchNewest(context.Background(), f), qt.Equals, fetchDone)
	version, _ := b.opts.Catalog.Versions()
	qt.Check(t, version, qt.Equals, uint64(3))
}
