package gossip

import (
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeNetwork connects several Gossips within one process. Calls to and from
// partitioned hosts fail.
type fakeNetwork struct {
	hosts       map[topology.HostID]*Gossip
	partitioned map[topology.HostID]bool
	partition   func(a, b topology.HostID) bool // whether two hosts are cut off from each other; nil: none
	delay       time.Duration                   // of each message, one way
}

func (n *fakeNetwork) Call(_ context.Context, id topology.HostID, method string, args, reply any) error {
	if method == fetchMethod {
		fetch := args.(*FetchArgs)
		if err := n.pass(fetch.From, id); err != nil {
			return err
		}
		time.Sleep(2 * n.delay)
		return n.hosts[id].Service().Fetch(fetch, reply.(*FetchReply))
	}
	digest := args.(*Digest)
	if err := n.pass(digest.From.Addr, id); err != nil {
		return err
	}
	time.Sleep(n.delay)
	defer time.Sleep(n.delay)
	return n.hosts[id].Service().Exchange(digest, reply.(*DigestReply))
}

// pass returns an error if no message passes between the two hosts.
func (n *fakeNetwork) pass(from, to topology.HostID) error {
	if n.partitioned[to] || n.partitioned[from] {
		return errors.New("host is partitioned")
	}
	if n.partition != nil && n.partition(to, from) {
		return errors.New("hosts are cut off from each other")
	}
	return nil
}

// fakeClaims records the claims that it learns.
type fakeClaims struct{ list []duty.Claim }

func (c *fakeClaims) Learn(claim duty.Claim) { c.list = append(c.list, claim) }
func (c *fakeClaims) Claims() []duty.Claim   { return c.list }

func (c *fakeClaims) Token(topology.GroupID) (token uint64, held bool) { return 0, false }

func newFakeNetwork(domains ...topology.Domain) *fakeNetwork {
	n := &fakeNetwork{hosts: map[topology.HostID]*Gossip{}, partitioned: map[topology.HostID]bool{}}
	for i, d := range domains {
		id := topology.HostID(rune('a' + i))
		g := New(Options{
			Self: Host{Addr: id, Name: "host-" + string(id), Domain: d}, Seeds: []topology.HostID{"a"},
			Catalog: catalog.NewStore(), Caller: n, Offers: func() []Offer { return nil }, OnOffers: func([]Offer, time.Time) {}, Log: logr.Discard(),
		})
		g.SetClaims(&fakeClaims{})
		n.hosts[id] = g
	}
	return n
}

// runRounds runs three rounds of exchanges on every host, each followed by the fetches
// that it requested.
func (n *fakeNetwork) runRounds() {
	for range 3 {
		for _, g := range n.hosts {
			for _, id := range g.selectPeers() {
				g.exchange(context.Background(), id)
			}
			g.runRequestedFetches()
		}
	}
}

func (g *Gossip) runRequestedFetches() {
	for _, f := range g.fetchers {
		select {
		case <-f.wake:
			g.fetchNewest(context.Background(), f)
		default:
		}
	}
}

func liveIDs(g *Gossip) []topology.HostID {
	var ids []topology.HostID
	for _, h := range g.Live() {
		ids = append(ids, h.ID)
	}
	return ids
}

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

// In a partition between failure domains, a host on the side with fewer domains
// must report that it isn't connected.
func TestMinorityOfDomainsIsNotConnected(t *testing.T) {
	n := newFakeNetwork("north", "north", "south", "coast")
	n.runRounds()
	qt.Check(t, n.hosts["a"].Connected(), qt.IsTrue)
	for _, g := range n.hosts { // make the latest answers too old to count
		g.shiftContacts(-ContactWindow, 0)
	}
	n.partitioned["d"] = true
	n.runRounds()
	qt.Check(t, n.hosts["d"].Connected(), qt.IsFalse)
	qt.Check(t, n.hosts["a"].Connected(), qt.IsTrue)
}

// A cut-off host forgets the hosts that are silent for long, but not their domains.
func TestCutOffHostNeverCountsAsConnected(t *testing.T) {
	n := newFakeNetwork("north", "north", "south", "coast")
	g := n.hosts["a"]
	g.opts.Domains = []topology.Domain{"north", "south", "coast"}
	n.runRounds()
	qt.Check(t, g.Connected(), qt.IsTrue)
	n.ageAllHosts(2 * livenessTimeout)
	g.shiftContacts(-2*livenessTimeout, 0)
	qt.Check(t, g.Connected(), qt.IsFalse)
}

// shiftContacts changes the times of all contacts.
func (g *Gossip) shiftContacts(last, since time.Duration) {
	for _, k := range g.hosts {
		k.contact.last, k.contact.since = k.contact.last.Add(last), k.contact.since.Add(since)
	}
	for _, c := range g.contacts {
		c.last, c.since = c.last.Add(last), c.since.Add(since)
	}
}

// Of two halves, one may go on: that with the first host of the first domain.
func TestOneHalfOfTheDomainsIsEnough(t *testing.T) {
	for _, test := range []struct {
		reachable string
		want      bool
	}{{"ab", true}, {"cd", false}, {"ad", true}, {"bc", false}, {"a", false}, {"bcd", true}} {
		var voters []voter
		for _, d := range "abcd" {
			voters = append(voters, voter{domain: topology.Domain(d), host: topology.HostID(d), reachable: strings.ContainsRune(test.reachable, d)})
		}
		qt.Check(t, isMajority(voters, nil), qt.Equals, test.want, qt.Commentf("%s", test.reachable))
	}
}

// Whichever way a partition runs, also through failure domains, at most one side has
// a majority. Guards against this failure: a domain with a host on each side counted
// on both.
func TestAtMostOneSideHasAMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var voters, other []voter
		domains := []topology.Domain{"a", "b", "c", "d", "e"}[:rapid.IntRange(1, 5).Draw(t, "domains")]
		for i := range rapid.IntRange(1, 12).Draw(t, "hosts") {
			v := voter{domain: rapid.SampledFrom(domains).Draw(t, "domain"), host: topology.HostID(rune('a' + i)), reachable: rapid.Bool().Draw(t, "side")}
			voters = append(voters, v)
			v.reachable = !v.reachable
			other = append(other, v)
		}
		if isMajority(voters, domains) && isMajority(other, domains) {
			t.Fatalf("both sides have a majority: %v", voters)
		}
	})
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

func TestLeavingHostIsNotLiveAndOffersNothing(t *testing.T) {
	n := newFakeNetwork("north", "south")
	n.runRounds()
	qt.Check(t, n.hosts["a"].HasUsablePeer(), qt.IsTrue)
	qt.Check(t, n.hosts["a"].Sharers().Hosts, qt.HasLen, 2)
	n.hosts["b"].Leave()
	n.runRounds()
	qt.Check(t, liveIDs(n.hosts["a"]), qt.DeepEquals, []topology.HostID{"a"})
	qt.Check(t, n.hosts["a"].HasUsablePeer(), qt.IsFalse)
	qt.Check(t, n.hosts["a"].Sharers().Hosts, qt.HasLen, 1)
}

const largeFleetHosts = 40

// newLargeFakeNetwork returns a fleet in which one round contacts only a small
// part of the hosts. All hosts know each other.
func newLargeFakeNetwork() *fakeNetwork {
	var domains []topology.Domain
	for i := range largeFleetHosts {
		domains = append(domains, topology.Domain([]string{"north", "south", "coast"}[i%3]))
	}
	n := newFakeNetwork(domains...)
	for _, g := range n.hosts {
		for id, other := range n.hosts {
			if other != g {
				g.exchange(context.Background(), id)
			}
		}
	}
	return n
}

// ageAllHosts moves every time at which a host was seen back by d.
func (n *fakeNetwork) ageAllHosts(d time.Duration) {
	for _, g := range n.hosts {
		for _, k := range g.hosts {
			k.lastHeard, k.lastReported = k.lastHeard.Add(-d), k.lastReported.Add(-d)
		}
	}
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

// Every request calls Sharers and Offers. Rebuilding such a list per request costs
// more the larger the fleet is: with 86 hosts it took two fifths of the CPU time.
func TestSharersAndOffersAreNotRebuiltPerRequest(t *testing.T) {
	n := newLargeFakeNetwork()
	g := n.hosts["a"]
	qt.Assert(t, g.Sharers().Hosts, qt.HasLen, largeFleetHosts)
	qt.Check(t, testing.AllocsPerRun(1000, func() { g.Sharers() }) < 1, qt.IsTrue)
	qt.Check(t, testing.AllocsPerRun(1000, func() { g.Offers("none") }), qt.Equals, 0.0)
}

// The version increases exactly when the list changes.
func TestSharersVersion(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.runRounds()
	g := n.hosts["a"]
	first := g.Sharers()
	g.mu.Lock()
	g.sharersBuiltAt = g.sharersBuiltAt.Add(-sharersMaxAge)
	g.mu.Unlock()
	qt.Check(t, g.Sharers().Version, qt.Equals, first.Version)
	g.mu.Lock()
	g.hosts["c"].lastHeard, g.hosts["c"].lastReported = time.Time{}, time.Time{}
	g.sharersBuiltAt = g.sharersBuiltAt.Add(-sharersMaxAge)
	g.mu.Unlock()
	second := g.Sharers()
	qt.Check(t, second.Version > first.Version, qt.IsTrue)
	qt.Check(t, second.Hosts, qt.HasLen, 2)
	qt.Check(t, first.Hosts, qt.HasLen, 3)
}

// The three lowest ranks read the store for all hosts. Ranked by address alone,
// they were in one failure domain, and a single partition cut off all three.
func TestLowestRanksAreInDifferentDomains(t *testing.T) {
	n := newFakeNetwork("north", "north", "north", "north", "south", "south", "coast")
	n.runRounds()
	ranks := map[int]topology.Domain{}
	for _, g := range n.hosts {
		ranks[g.Rank()] = g.self.Domain
	}
	qt.Check(t, ranks, qt.HasLen, 7)
	qt.Check(t, map[topology.Domain]bool{ranks[0]: true, ranks[1]: true, ranks[2]: true}, qt.HasLen, 3)
}

func TestLoneHostRanksFirstOnlyAfterFirstContactWait(t *testing.T) {
	n := newFakeNetwork("north")
	g := n.hosts["a"]
	g.opts.Seeds = []topology.HostID{"z"}
	qt.Check(t, g.Rank(), qt.Equals, math.MaxInt)
	g.startedAt = g.startedAt.Add(-firstContactWait)
	qt.Check(t, g.Rank(), qt.Equals, 0)
	g.startedAt, g.opts.Seeds = steady.Now(), []topology.HostID{"a"}
	qt.Check(t, g.Rank(), qt.Equals, 0)
}

// A holder whose partition has just healed may not have heard yet that another host
// took its duty.
func TestContactIsSettledOnlyAfterNewsDelay(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }
	var c Contact
	for ms := 0; ms <= 900; ms += 300 {
		c.Record(at(ms), at(ms+5))
		qt.Check(t, c.Connected(at(ms+5)), qt.IsTrue)
		qt.Check(t, c.Settled(at(-1000), at(ms+5)), qt.Equals, ms > 700, qt.Commentf("at %d ms", ms))
	}
	qt.Check(t, c.Settled(at(-1000), at(1699)), qt.IsTrue)
	qt.Check(t, c.Settled(at(-1000), at(1700)), qt.IsFalse)
	c.Record(at(1600), at(2100)) // a late answer doesn't end the series
	qt.Check(t, c.Settled(at(-1000), at(2200)), qt.IsTrue)
	c.Record(at(2400), at(2405)) // the gap is ContactWindow
	qt.Check(t, c.Settled(at(-1000), at(2406)), qt.IsFalse)
	qt.Check(t, c.Settled(at(-1000), at(3105)), qt.IsFalse)
	c.Record(at(3000), at(3005))
	qt.Check(t, c.Settled(at(-1000), at(3106)), qt.IsTrue)
}

// Hosts of one domain take turns in answering, and the domain's contact lasts.
func TestHostIsSettledAfterLongContact(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.runRounds()
	g := n.hosts["a"]
	qt.Check(t, g.Connected(), qt.IsTrue)
	qt.Check(t, g.Settled(time.Time{}), qt.IsFalse)
	qt.Check(t, g.Settled(steady.Now()), qt.IsTrue) // a duty acquired during the contact
	g.shiftContacts(0, -2*NewsDelay)
	qt.Check(t, g.Settled(time.Time{}), qt.IsTrue)
}

// A partition that runs through a failure domain, as the one that was found in a hunt:
// both sides had a host of north.
func TestPartitionThroughADomainLeavesOneSideConnected(t *testing.T) {
	n := newFakeNetwork("north", "north", "south", "west", "coast", "coast")
	for _, g := range n.hosts {
		g.opts.HostVotes = true
	}
	n.runRounds()
	sideA := map[topology.HostID]bool{"a": true, "c": true, "d": true} // north, south, west
	n.partition = func(x, y topology.HostID) bool { return sideA[x] != sideA[y] }
	for _, g := range n.hosts {
		g.shiftContacts(-ContactWindow, 0)
	}
	n.runRounds()
	for id, g := range n.hosts {
		qt.Check(t, g.Connected(), qt.Equals, sideA[id], qt.Commentf("%s", id))
	}
}

// A host that starts on the smaller side of a partition knows only the hosts there and
// must not count itself to a majority.
func TestHostThatStartsInsideAPartitionTrustsSeniors(t *testing.T) {
	n := newFakeNetwork("north", "north", "south", "west", "coast")
	for _, g := range n.hosts {
		g.opts.HostVotes = true
		g.opts.Domains = []topology.Domain{"coast", "north", "south", "west"}
	}
	n.runRounds()
	side := map[topology.HostID]bool{"a": true, "c": true, "z": true} // one of north, and south
	n.partition = func(x, y topology.HostID) bool { return side[x] != side[y] }
	for _, g := range n.hosts {
		g.shiftContacts(-ContactWindow, 0)
		g.startedAt = g.startedAt.Add(-2 * voteTimeout)
	}
	n.runRounds()
	delete(n.hosts, "a") // restarts as z in the same domain
	z := New(Options{
		Self: Host{Addr: "z", Name: "host-z", Domain: "north"}, Seeds: []topology.HostID{"c"}, HostVotes: true,
		Domains: []topology.Domain{"coast", "south"}, // few domains, so that its own count would do
		Catalog: catalog.NewStore(), Caller: n, Offers: func() []Offer { return nil }, OnOffers: func([]Offer, time.Time) {}, Log: logr.Discard(),
	})
	z.SetClaims(&fakeClaims{})
	n.hosts["z"] = z
	for range 3 {
		z.exchange(context.Background(), "c")
	}
	qt.Check(t, n.hosts["c"].Connected(), qt.IsFalse)
	qt.Check(t, z.Connected(), qt.IsFalse)
	z.startedAt = z.startedAt.Add(-voteTimeout)
	qt.Check(t, z.Connected(), qt.IsTrue, qt.Commentf("by its own count"))
}

// In a large fleet a holder relies on contacts of other hosts for relayedContactWindow.
// Others must not take its duty before that has passed, also if they know of some hosts
// fewer than the holder.
func TestTakeoverWaitsForRelayedContacts(t *testing.T) {
	n := newLargeFakeNetwork()
	g := n.hosts["a"]
	g.opts.HostVotes = true
	for id := range g.hosts {
		if len(g.hosts) > largeFleetThreshold-3 {
			delete(g.hosts, id)
		}
	}
	qt.Check(t, g.LargeFleet(), qt.IsTrue)
	qt.Check(t, relayedContactWindow+NewsDelay < duty.TakeoverTime(true), qt.IsTrue)
	qt.Check(t, ContactWindow < duty.TakeoverTime(false), qt.IsTrue)
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
