package gossip

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// network joins gossips in one process. cut hosts don't answer.
type network struct {
	hosts map[topology.HostID]*Gossip
	cut   map[topology.HostID]bool
}

func (n *network) Call(_ context.Context, id topology.HostID, _ string, args, reply any) error {
	digest := args.(*Digest)
	if n.cut[id] || n.cut[digest.From.Addr] {
		return errors.New("cut")
	}
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
			Catalog: catalog.NewStore(), Caller: n, Offers: func() []Offer { return nil }, Heard: func([]Offer) {}, Log: logr.Discard(),
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

func TestHostsFindEachOtherThroughASeed(t *testing.T) {
	n := newNetwork("north", "south", "coast", "coast")
	n.round()
	for id, g := range n.hosts {
		qt.Check(t, g.Live(), qt.DeepEquals, []topology.HostID{"a", "b", "c", "d"}, qt.Commentf("%s", id))
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
			k.answered = k.answered.Add(-contactFor)
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
	n.hosts["b"].Leave()
	n.round()
	qt.Check(t, n.hosts["a"].Live(), qt.DeepEquals, []topology.HostID{"a"})
	qt.Check(t, n.hosts["a"].Offers(), qt.HasLen, 0)
}
