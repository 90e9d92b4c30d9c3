package gossip

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func TestHostsDiscoverEachOtherThroughASeed(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast", "coast")
	n.runRounds()
	for id, g := range n.hosts {
		qt.Check(t, liveIDs(g), qt.DeepEquals, []topology.HostID{"a", "b", "c", "d"}, qt.Commentf("%s", id))
	}
}

// A host that the platform's store rejects still gets newer state from other hosts.
func TestNewerStateReachesHostsThatLackIt(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.hosts["b"].opts.Catalog.OfferConfiguration(&catalog.Configuration{Version: 9})
	n.hosts["c"].opts.Catalog.OfferRegistry(&catalog.Registry{Revision: 5})
	n.hosts["c"].claims.Learn(duty.Claim{Group: "g", Holder: "c", Token: 2})
	n.runRounds()
	for id, g := range n.hosts {
		configuration, register := g.opts.Catalog.Versions()
		qt.Check(t, configuration, qt.Equals, uint64(9), qt.Commentf("%s", id))
		qt.Check(t, register.Revision, qt.Equals, uint64(5), qt.Commentf("%s", id))
	}
	qt.Check(t, n.hosts["a"].claims.Claims()[0].Token, qt.Equals, uint64(2))
}

// A duty holder that other hosts still see must not be taken for dead because the
// network path from one host to it is broken.
func TestHeardAgoCountsReportsOfOtherHosts(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.runRounds()
	a, b := n.hosts["a"], n.hosts["b"]
	a.mu.Lock()
	a.hosts["c"].lastHeard = a.hosts["c"].lastHeard.Add(-time.Minute)
	a.hosts["c"].lastReported = time.Time{}
	a.mu.Unlock()
	ago, _ := a.HeardAgo("c")
	qt.Check(t, ago >= time.Minute, qt.IsTrue)
	b.claims.Learn(duty.Claim{Group: "g", Holder: "c", Token: 1})
	a.exchange(context.Background(), "b")
	ago, _ = a.HeardAgo("c")
	qt.Check(t, ago < 10*time.Second, qt.IsTrue)
}

// In a large fleet a host contacts each other host too rarely to tell a dead host
// from one that it didn't contact. It must rely on the ages that others relay.
func TestLargeFleetStaysLiveThroughRelayedAges(t *testing.T) {
	n := newLargeFakeNetwork()
	n.ageAllHosts(livenessTimeout)
	for range 7 {
		n.runRounds()
	}
	for id, g := range n.hosts {
		qt.Check(t, g.Live(), qt.HasLen, largeFleetHosts, qt.Commentf("%s", id))
	}
}

// Ages are relayed over several hops. No host may compute a time of last contact
// with a dead host that is later than its death.
func TestRelayedAgesNeverMakeADeadHostYounger(t *testing.T) {
	n := newLargeFakeNetwork()
	n.partitioned["b"], n.delay = true, time.Millisecond
	diedAt := steady.Now()
	n.runRounds()
	n.runRounds()
	for id, g := range n.hosts {
		if k := g.hosts["b"]; k != nil {
			qt.Check(t, k.lastSeen().After(diedAt), qt.IsFalse, qt.Commentf("%s", id))
		}
	}
}

// Hosts postpone their own reads of the store while another host's read is recent.
// A relayed read time must therefore never be later than the read itself.
func TestRelayedReadTimesNeverGetYounger(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.runRounds()
	n.delay = time.Millisecond
	readAt := steady.Now()
	n.hosts["a"].opts.Catalog.RecordReadTimes(catalog.ReadTimes{Configuration: readAt, Registry: readAt})
	for range 5 {
		n.runRounds()
	}
	for id, g := range n.hosts {
		reads := g.opts.Catalog.ReadTimes()
		qt.Check(t, reads.Configuration.IsZero(), qt.IsFalse)
		qt.Check(t, reads.Configuration.After(readAt), qt.IsFalse, qt.Commentf("%s", id))
		qt.Check(t, reads.Registry.After(readAt), qt.IsFalse, qt.Commentf("%s", id))
	}
}

// A host that got no answer yet tries more often for a while.
func TestStartingHostTriesMoreOften(t *testing.T) {
	n := newFakeNetwork("north", "south")
	g := n.hosts["b"]
	qt.Check(t, g.nextRoundIn(), qt.Equals, startRoundInterval)
	n.runRounds()
	qt.Check(t, g.nextRoundIn(), qt.Equals, roundInterval)
	g.shiftContacts(-ContactWindow, 0)
	g.startedAt = g.startedAt.Add(-startPhase)
	qt.Check(t, g.nextRoundIn(), qt.Equals, roundInterval)
}

// failingCaller fails each call with err, or at the end of its context if err is nil.
type failingCaller struct{ err error }

func (c failingCaller) Call(ctx context.Context, _ topology.HostID, _ string, _, _ any) error {
	if c.err != nil {
		return c.err
	}
	<-ctx.Done()
	return result.New(result.HolderLost, "%s", ctx.Err())
}

// Metrics tell a host that is cut off from one whose answers arrive late.
func TestFailedExchangesAreCountedByReason(t *testing.T) {
	g := newFakeNetwork("north", "south").hosts["b"]
	for counter, err := range map[*metrics.Counter]error{
		exchangesUnreachable: result.New(result.HostUnreachable, "no connection"),
		exchangesTimedOut:    nil,
		exchangesBroken:      result.New(result.HolderLost, "connection reset"),
	} {
		before := counter.Get()
		g.opts.Caller = failingCaller{err}
		g.exchange(context.Background(), "a")
		qt.Check(t, counter.Get(), qt.Equals, before+1)
	}
}
