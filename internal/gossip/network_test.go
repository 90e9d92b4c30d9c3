package gossip

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
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

func (c *fakeClaims) Claims() []duty.Claim { return c.list }

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

// useVirtualClock makes the hosts use the clock of package synctest.
func (n *fakeNetwork) useVirtualClock() {
	for _, g := range n.hosts {
		g.now, g.startedAt = time.Now, time.Now()
	}
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

// shiftContacts changes the times of all contacts.
func (g *Gossip) shiftContacts(last, since time.Duration) {
	for _, k := range g.hosts {
		k.contact.last, k.contact.since = k.contact.last.Add(last), k.contact.since.Add(since)
	}
	for _, c := range g.contacts {
		c.last, c.since = c.last.Add(last), c.since.Add(since)
	}
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
