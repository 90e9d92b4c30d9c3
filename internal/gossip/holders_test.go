package gossip

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// startingFleet is a fleet whose hosts all start at once, in three failure domains.
type startingFleet struct {
	*fakeNetwork
	ids        []topology.HostID
	limit      int                          // on the connections to a target
	holders    map[string][]topology.HostID // by group and list of hosts
	advancedAt time.Time
}

func newStartingFleet(hosts, limit int) *startingFleet {
	f := &startingFleet{fakeNetwork: &fakeNetwork{hosts: map[topology.HostID]*Gossip{}}, limit: limit, holders: map[string][]topology.HostID{}, advancedAt: steady.Now()}
	for i := range hosts {
		id := topology.HostID(fmt.Sprintf("h%03d", i))
		g := New(Options{
			Self: Host{Addr: id, Domain: topology.Domain(rune('x' + i%3)), Weight: []float64{0.2, 1}[i%2]}, Seeds: []topology.HostID{"h000", "h001", "h002"},
			Catalog: catalog.NewStore(), Caller: f, Offers: func() []Offer { return nil }, OnOffers: func([]Offer, time.Time) {}, Log: logr.Discard(),
		})
		g.SetClaims(&fakeClaims{})
		f.hosts[id], f.ids = g, append(f.ids, id)
	}
	return f
}

// runRound runs a round of all hosts, which takes the interval of rounds.
func (f *startingFleet) runRound() {
	for _, id := range f.ids {
		for _, peer := range f.hosts[id].selectPeers() {
			f.hosts[id].exchange(context.Background(), peer)
		}
	}
	f.advance(roundInterval)
}

// advance makes all times earlier, so that exactly d has passed since the last call. The
// time that the test itself takes must not count: on a busy machine, hosts would have
// heard from few others when they count as having joined long ago.
func (f *startingFleet) advance(d time.Duration) {
	d -= steady.Now().Sub(f.advancedAt)
	for _, g := range f.hosts {
		earlier := func(times ...*time.Time) {
			for _, at := range times {
				if !at.IsZero() {
					*at = at.Add(-d)
				}
			}
		}
		earlier(&g.startedAt, &g.firstHeardAt, &g.listsBuiltAt, &g.lists.sharers.ChangedAt)
		for _, k := range g.hosts {
			earlier(&k.lastHeard, &k.lastReported, &k.reportedAt, &k.addedAt)
		}
		g.shiftContacts(-d, -d)
	}
	f.advancedAt = steady.Now()
}

// wanted returns how many connections to a target of the group all hosts want together.
func (f *startingFleet) wanted(group topology.GroupID) int {
	f.advance(0)
	sum := 0
	for _, id := range f.ids {
		s := f.hosts[id].Sharers()
		holders, size := share.PlanForCustomers(f.limit, len(s.Hosts))
		planned := share.Planned{Size: size, Holder: slices.Contains(f.holdersOf(group, holders, s.Hosts), id)}
		sum += share.Allowed(f.limit, planned, share.Fleet{Hosts: len(s.Hosts), Recent: s.Recent, JoinedFor: s.JoinedFor, Unchanged: steady.Now().Sub(s.ChangedAt)})
	}
	return sum
}

func (f *startingFleet) holdersOf(group topology.GroupID, n int, hosts []topology.Host) []topology.HostID {
	var key strings.Builder
	fmt.Fprint(&key, group, n)
	for _, h := range hosts {
		fmt.Fprint(&key, h.ID, h.Domain, h.Weight)
	}
	if f.holders[key.String()] == nil {
		for _, h := range share.WeightedHolders(group, n, hosts) {
			f.holders[key.String()] = append(f.holders[key.String()], h.ID)
		}
	}
	return f.holders[key.String()]
}

// Where connections belong to customers, holders are chosen by domain and weight. Hosts
// that don't know these of all others choose themselves too often: all hosts that started at
// once wanted 64 (67 hosts) and 104 (139 hosts) connections within a limit of 56.
func TestConnectionsStayWithinLimitWhileHostsAreReported(t *testing.T) {
	for _, hosts := range []int{67, 139} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			f := newStartingFleet(hosts, 56)
			for round := range 24 {
				f.runRound()
				worst := 0
				for i := range 5 {
					worst = max(worst, f.wanted(topology.GroupID(fmt.Sprint("group-", i))))
				}
				at := time.Duration(round+1) * roundInterval
				t.Logf("after %v: at most %d connections wanted", at, worst)
				qt.Check(t, worst <= f.limit, qt.IsTrue, qt.Commentf("after %v: %d connections", at, worst))
			}
		})
	}
}
