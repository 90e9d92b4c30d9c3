package gossip

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
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
	synctest.Test(t, func(t *testing.T) {
		n := newFakeNetwork("north", "south", "coast")
		n.useVirtualClock()
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
	})
}

// A host that has read a configuration from the store doesn't download the rest of it.
func TestDownloadEndsWhenTheSnapshotArrivesFromElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newFakeNetwork("north", "south")
		n.useVirtualClock()
		n.runRounds()
		a, b := n.hosts["a"], n.hosts["b"]
		counted := &slowSourceNetwork{fakeNetwork: n, slow: "a", delay: 200 * time.Millisecond}
		b.opts.Caller = counted
		a.opts.Catalog.OfferConfiguration(largeConfiguration(7, 20_000))
		a.exchange(context.Background(), "b")
		done, f := make(chan fetchResult), b.fetchers[ConfigurationSnapshot]
		go func() { done <- b.fetchNewest(context.Background(), f) }()
		time.Sleep(300 * time.Millisecond)
		b.opts.Catalog.OfferConfiguration(largeConfiguration(7, 20_000))
		qt.Check(t, <-done, qt.Equals, fetchDone)
		qt.Check(t, counted.fetches, qt.Equals, 2)
		qt.Check(t, f.download.data, qt.IsNil)
	})
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

// A host that receives a digest with a newer registry snapshot must fetch it at once.
func TestNewerRegisterIsFetchedAtOnce(t *testing.T) {
	n := newFakeNetwork("north", "south")
	n.runRounds()
	a, b := n.hosts["a"], n.hosts["b"]
	a.opts.Catalog.OfferRegistry(&catalog.Registry{Revision: 5})
	a.exchange(context.Background(), "b")
	select {
	case <-b.fetchers[RegistrySnapshot].wake:
	default:
		t.Fatal("the newer register isn't fetched")
	}
	picked := b.pickSource(RegistrySnapshot, nil)
	qt.Check(t, picked.behind, qt.IsTrue)
	qt.Check(t, picked.host, qt.Equals, topology.HostID("a"))
	qt.Check(t, b.fetchNewest(context.Background(), b.fetchers[RegistrySnapshot]), qt.Equals, fetchDone)
	_, register := b.opts.Catalog.Versions()
	qt.Check(t, register.Revision, qt.Equals, uint64(5))
}

// A host that got the configuration from elsewhere keeps no part of an unfinished download.
func TestOutdatedDownloadIsForgotten(t *testing.T) {
	n := newFakeNetwork("north", "south")
	n.runRounds()
	b := n.hosts["b"]
	b.recordSender(&Digest{From: n.hosts["a"].self, Configuration: 3, FetchesSnapshots: true})
	f := b.fetchers[ConfigurationSnapshot]
	f.download, f.slowSources = download{sum: 1, size: 10, data: []byte("part")}, 1
	b.opts.Catalog.OfferConfiguration(&catalog.Configuration{Version: 3})
	qt.Check(t, b.fetchNewest(context.Background(), f), qt.Equals, fetchDone)
	qt.Check(t, f.download.data, qt.IsNil)
	qt.Check(t, f.slowSources, qt.Equals, 0)
}

// refusingNetwork fails and counts all fetches.
type refusingNetwork struct {
	*fakeNetwork
	fetches int
}

func (n *refusingNetwork) Call(context.Context, topology.HostID, string, any, any) error {
	n.fetches++
	return errors.New("refused")
}

// A host that nobody delivers a snapshot to asks less often, at most twice in
// maxFetchRetryDelay.
func TestFailedFetchesBackOff(t *testing.T) {
	const duration = 20 * maxFetchRetryDelay
	n := newFakeNetwork("north", "south")
	n.runRounds()
	b := n.hosts["b"]
	refusing := &refusingNetwork{fakeNetwork: n}
	b.opts.Caller = refusing
	synctest.Test(t, func(t *testing.T) {
		f := &fetcher{kind: ConfigurationSnapshot, wake: make(chan struct{}, 1)}
		b.recordSender(&Digest{From: n.hosts["a"].self, Configuration: 3, FetchesSnapshots: true})
		f.request()
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		b.runFetcher(ctx, f)
	})
	const untilLongest = 4 // fetches until the delay has grown to maxFetchRetryDelay
	qt.Check(t, refusing.fetches <= untilLongest+int(2*duration/maxFetchRetryDelay), qt.IsTrue, qt.Commentf("%d fetches", refusing.fetches))
	qt.Check(t, refusing.fetches > untilLongest, qt.IsTrue)
}

// A snapshot of a large configuration crosses failure domains once for each host if all
// hosts fetch it from anywhere. With PreferOwnDomain a host of the own domain is asked
// first, and hosts elsewhere only if none of them has the snapshot.
func TestSnapshotIsFetchedWithinTheDomainFirst(t *testing.T) {
	n := newFakeNetwork("north", "south", "north", "south")
	n.runRounds()
	a := n.hosts["a"]
	announce := func(version uint64, from ...topology.HostID) {
		for _, id := range from {
			a.recordSender(&Digest{From: n.hosts[id].self, Configuration: version, FetchesSnapshots: true})
		}
	}
	announce(3, "b", "c", "d")
	picked := func(tried map[topology.HostID]bool) map[topology.HostID]bool {
		hosts := map[topology.HostID]bool{}
		for range 200 {
			hosts[a.pickSource(ConfigurationSnapshot, tried).host] = true
		}
		return hosts
	}
	qt.Check(t, picked(nil), qt.HasLen, 3)
	a.opts.PreferOwnDomain = true
	qt.Check(t, picked(nil), qt.DeepEquals, map[topology.HostID]bool{"c": true})
	qt.Check(t, picked(map[topology.HostID]bool{"c": true}), qt.DeepEquals, map[topology.HostID]bool{"b": true, "d": true})
	announce(4, "b") // what is newer counts more than where it is
	qt.Check(t, picked(nil), qt.DeepEquals, map[topology.HostID]bool{"b": true})
}
