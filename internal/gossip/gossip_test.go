package gossip

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// network joins gossips in one process. cut hosts don't answer.
type network struct {
	hosts map[topology.HostID]*Gossip
	cut   map[topology.HostID]bool
	delay time.Duration // of each message
}

func (n *network) Call(_ context.Context, id topology.HostID, _ string, args, reply any) error {
	digest := args.(*Digest)
	if n.cut[id] || n.cut[digest.From.Addr] {
		return errors.New("cut")
	}
	time.Sleep(n.delay)
	defer time.Sleep(n.delay)
	return n.hosts[id].Service().Exchange(digest, reply.(*News))
}

// claims remembers what it learns.
type claims struct{ list []duty.Claim }

func (c *claims) Learn(claim duty.Claim) { c.list = append(c.list, claim) }
func (c *claims) Claims() []duty.Claim   { return c.list }

func newNetwork(domains ...topology.Domain) *network {
	n := &network{hosts: map[topology.HostID]*Gossip{}, cut: map[topology.HostID]bool{}}
	for i, d := range domains {
		id := topology.HostID(rune('a' + i))
		g := New(Options{
			Self: Host{Addr: id, Name: "host-" + string(id), Domain: d}, Seeds: []topology.HostID{"a"},
			Catalog: catalog.NewStore(), Caller: n, Offers: func() []Offer { return nil }, Heard: func([]Offer, time.Time) {}, Log: logr.Discard(),
		})
		g.SetClaims(&claims{})
		n.hosts[id] = g
	}
	return n
}

// round lets every host ask all it knows.
func (n *network) round() {
	for range 3 {
		for _, g := range n.hosts {
			for _, id := range g.round() {
				g.exchange(context.Background(), id)
			}
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

func TestHostsFindEachOtherThroughASeed(t *testing.T) {
	n := newNetwork("north", "south", "coast", "coast")
	n.round()
	for id, g := range n.hosts {
		qt.Check(t, liveIDs(g), qt.DeepEquals, []topology.HostID{"a", "b", "c", "d"}, qt.Commentf("%s", id))
	}
}

// A host that the store turns away follows through the others.
func TestNewsReachWhoLacksThem(t *testing.T) {
	n := newNetwork("north", "south", "coast")
	n.hosts["b"].opts.Catalog.OfferConfiguration(&catalog.Configuration{Version: 9})
	n.hosts["c"].opts.Catalog.OfferRegister(&catalog.Register{Revision: 5})
	n.hosts["c"].claims.Learn(duty.Claim{Group: "g", Holder: "c", Token: 2})
	n.round()
	for id, g := range n.hosts {
		configuration, register := g.opts.Catalog.Versions()
		qt.Check(t, configuration, qt.Equals, uint64(9), qt.Commentf("%s", id))
		qt.Check(t, register, qt.Equals, uint64(5), qt.Commentf("%s", id))
	}
	qt.Check(t, n.hosts["a"].claims.Claims()[0].Token, qt.Equals, uint64(2))
}

// Of a cut between failure domains, the smaller side knows that it is cut off.
func TestConnectedIsLostOnTheSmallerSide(t *testing.T) {
	n := newNetwork("north", "north", "south", "coast")
	n.round()
	qt.Check(t, n.hosts["a"].Connected(), qt.IsTrue)
	for _, g := range n.hosts { // as if the last answers were old
		for _, k := range g.hosts {
			k.answered = k.answered.Add(-ContactFor)
		}
	}
	n.cut["d"] = true
	n.round()
	qt.Check(t, n.hosts["d"].Connected(), qt.IsFalse)
	qt.Check(t, n.hosts["a"].Connected(), qt.IsTrue)
}

// What others heard of a holder counts, so that one bad path isn't its death.
func TestHeardThroughOthers(t *testing.T) {
	n := newNetwork("north", "south", "coast")
	n.round()
	a, b := n.hosts["a"], n.hosts["b"]
	a.mu.Lock()
	a.hosts["c"].heard = a.hosts["c"].heard.Add(-time.Minute)
	a.hosts["c"].told = time.Time{}
	a.mu.Unlock()
	ago, _ := a.HeardAgo("c")
	qt.Check(t, ago >= time.Minute, qt.IsTrue)
	b.claims.Learn(duty.Claim{Group: "g", Holder: "c", Token: 1})
	a.exchange(context.Background(), "b")
	ago, _ = a.HeardAgo("c")
	qt.Check(t, ago < 10*time.Second, qt.IsTrue)
}

func TestALeavingHostHoldsNothingAndOffersNothing(t *testing.T) {
	n := newNetwork("north", "south")
	n.round()
	qt.Check(t, n.hosts["a"].Reachable(), qt.IsTrue)
	qt.Check(t, n.hosts["a"].Sharers().Hosts, qt.HasLen, 2)
	n.hosts["b"].Leave()
	n.round()
	qt.Check(t, liveIDs(n.hosts["a"]), qt.DeepEquals, []topology.HostID{"a"})
	qt.Check(t, n.hosts["a"].Reachable(), qt.IsFalse)
	qt.Check(t, n.hosts["a"].Sharers().Hosts, qt.HasLen, 1)
}

const manyHosts = 40

// largeNetwork is a fleet in which one round asks a small part of the hosts.
// All know each other.
func largeNetwork() *network {
	var domains []topology.Domain
	for i := range manyHosts {
		domains = append(domains, topology.Domain([]string{"north", "south", "coast"}[i%3]))
	}
	n := newNetwork(domains...)
	for _, g := range n.hosts {
		for id, other := range n.hosts {
			if other != g {
				g.exchange(context.Background(), id)
			}
		}
	}
	return n
}

// age makes everything known older.
func (n *network) age(d time.Duration) {
	for _, g := range n.hosts {
		for _, k := range g.hosts {
			k.heard, k.told = k.heard.Add(-d), k.told.Add(-d)
		}
	}
}

// In a large fleet a host asks another one too seldom to tell a dead one from
// one that it didn't meet.
func TestALargeFleetHearsOfAllThroughOthers(t *testing.T) {
	n := largeNetwork()
	n.age(liveFor)
	for range 7 {
		n.round()
	}
	for id, g := range n.hosts {
		qt.Check(t, g.Live(), qt.HasLen, manyHosts, qt.Commentf("%s", id))
	}
}

// However often it is passed on, nobody hears of a dead host later than it lived.
func TestADeadHostGrowsOlder(t *testing.T) {
	n := largeNetwork()
	n.cut["b"], n.delay = true, time.Millisecond
	died := steady.Now()
	n.round()
	n.round()
	for id, g := range n.hosts {
		if k := g.hosts["b"]; k != nil {
			qt.Check(t, k.last().After(died), qt.IsFalse, qt.Commentf("%s", id))
		}
	}
}

// Whoever is asked by a host that knows a newer register asks back at once.
func TestANewRegisterIsAskedFor(t *testing.T) {
	n := newNetwork("north", "south")
	n.round()
	a, b := n.hosts["a"], n.hosts["b"]
	a.opts.Catalog.OfferRegister(&catalog.Register{Revision: 5})
	a.exchange(context.Background(), "b")
	select {
	case id := <-b.better:
		qt.Check(t, id, qt.Equals, topology.HostID("a"))
	default:
		t.Fatal("nobody is asked")
	}
}

// A read of the store grows older wherever it is told of: hosts wait with their
// own for as long as it is young.
func TestReadsGrowOlder(t *testing.T) {
	n := newNetwork("north", "south", "coast")
	n.round()
	n.delay = time.Millisecond
	read := steady.Now()
	n.hosts["a"].opts.Catalog.NoteReads(catalog.Reads{Configuration: read, Register: read})
	for range 5 {
		n.round()
	}
	for id, g := range n.hosts {
		reads := g.opts.Catalog.Reads()
		qt.Check(t, reads.Configuration.IsZero(), qt.IsFalse)
		qt.Check(t, reads.Configuration.After(read), qt.IsFalse, qt.Commentf("%s", id))
		qt.Check(t, reads.Register.After(read), qt.IsFalse, qt.Commentf("%s", id))
	}
}

// Every request asks for the sharers of connections, and for a group's offers.
// Building such a list costs more in a larger fleet: with 86 hosts it took two
// fifths of the processor time.
func TestWhatRequestsAskForIsKept(t *testing.T) {
	n := largeNetwork()
	g := n.hosts["a"]
	qt.Assert(t, g.Sharers().Hosts, qt.HasLen, manyHosts)
	qt.Check(t, testing.AllocsPerRun(1000, func() { g.Sharers() }) < 1, qt.IsTrue)
	qt.Check(t, testing.AllocsPerRun(1000, func() { g.Offers("none") }), qt.Equals, 0.0)
}

// The list's version tells whether it has changed.
func TestSharersVersion(t *testing.T) {
	n := newNetwork("north", "south", "coast")
	n.round()
	g := n.hosts["a"]
	first := g.Sharers()
	g.mu.Lock()
	g.sharersAt = g.sharersAt.Add(-sharersFor)
	g.mu.Unlock()
	qt.Check(t, g.Sharers().Version, qt.Equals, first.Version)
	g.mu.Lock()
	g.hosts["c"].heard, g.hosts["c"].told = time.Time{}, time.Time{}
	g.sharersAt = g.sharersAt.Add(-sharersFor)
	g.mu.Unlock()
	second := g.Sharers()
	qt.Check(t, second.Version > first.Version, qt.IsTrue)
	qt.Check(t, second.Hosts, qt.HasLen, 2)
	qt.Check(t, first.Hosts, qt.HasLen, 3)
}

// Three hosts read the store for all. One cut took the first three by address.
func TestTheFirstHostsAreOfDifferentDomains(t *testing.T) {
	n := newNetwork("north", "north", "north", "north", "south", "south", "coast")
	n.round()
	ranks := map[int]topology.Domain{}
	for _, g := range n.hosts {
		ranks[g.Rank()] = g.self.Domain
	}
	qt.Check(t, ranks, qt.HasLen, 7)
	qt.Check(t, map[topology.Domain]bool{ranks[0]: true, ranks[1]: true, ranks[2]: true}, qt.HasLen, 3)
}

func TestAHostThatStartsAloneIsFirstOnlyAfterAWhile(t *testing.T) {
	n := newNetwork("north")
	g := n.hosts["a"]
	g.opts.Seeds = []topology.HostID{"z"}
	qt.Check(t, g.Rank(), qt.Equals, math.MaxInt)
	g.begun = g.begun.Add(-helloFor)
	qt.Check(t, g.Rank(), qt.Equals, 0)
	g.begun, g.opts.Seeds = steady.Now(), []topology.HostID{"a"}
	qt.Check(t, g.Rank(), qt.Equals, 0)
}
