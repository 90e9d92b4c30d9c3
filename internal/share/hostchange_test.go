package share

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Holders that are kept when the list of hosts changes must be those that a host chooses
// which sees only the new list: otherwise requests go to hosts without connections.
func TestKeptHoldersAgreeWithSortedChoice(t *testing.T) {
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 5))
		domains := 1 + r.IntN(5)
		newHost := func() topology.Host {
			host := topology.Host{ID: topology.HostID(fmt.Sprintf("10.%d.%d:7000", r.IntN(8), r.IntN(8)))}
			host.Domain = topology.Domain(fmt.Sprint(min(r.IntN(domains), r.IntN(domains)))) // of unequal sizes
			host.Weight = []float64{0, 0.2, 0.2, 8 * r.Float64(), math.Inf(1)}[r.IntN(5)]    // some scores are equal
			return host
		}
		hosts := map[topology.HostID]topology.Host{}
		var holders Holders
		groups := []topology.GroupID{"a", "b", "c", "d"}
		n := 1 + r.IntN(8)
		for version := range uint64(60) {
			for range 1 + r.IntN(3) {
				host := newHost()
				if _, ok := hosts[host.ID]; ok && r.IntN(3) > 0 {
					delete(hosts, host.ID)
				} else {
					hosts[host.ID] = host
				}
			}
			var list []topology.Host
			for _, host := range hosts {
				list = append(list, host)
			}
			sortByID(list)
			for _, id := range groups {
				if r.IntN(4) == 0 {
					continue // looked up again after several changes
				}
				want := sortedHolders(id, n, list)
				if got := holders.WeightedForGroup(id, n, list, version); !slices.Equal(got, want) {
					t.Fatalf("seed %d, version %d, %d of %d hosts:\n%v\nwant %v", seed, version, n, len(list), got, want)
				}
			}
		}
	}
}

func sortByID(list []topology.Host) {
	slices.SortFunc(list, func(a, b topology.Host) int { return cmp.Compare(a.ID, b.ID) })
}

// The holders of a group are chosen among all hosts. If that were done for each group when
// any host joins or leaves, the cost of a change would be the product of hosts and groups.
func TestChangeOfHostsKeepsHoldersOfOtherGroups(t *testing.T) {
	const groups, n = 200, 6
	hosts := newHosts(300)
	sortByID(hosts)
	var h Holders
	lookUp := func(list []topology.Host, version uint64) map[topology.GroupID]*topology.Host {
		first := map[topology.GroupID]*topology.Host{}
		for i := range groups {
			id := topology.GroupID(fmt.Sprint("group-", i))
			first[id] = &h.WeightedForGroup(id, n, list, version)[0]
		}
		return first
	}
	before := lookUp(hosts, 1)
	chosen := 0
	for i := range 20 {
		list := slices.Delete(slices.Clone(hosts), i, i+1)
		for j, list := range [][]topology.Host{list, hosts} { // leaves and joins again
			after := lookUp(list, uint64(2+2*i+j))
			for id := range after {
				if after[id] != before[id] {
					chosen++
				}
			}
			before = after
		}
	}
	// Each host holds 2 % of the groups.
	qt.Check(t, chosen < 40*groups/10, qt.IsTrue, qt.Commentf("%d choices for %d groups in 40 changes", chosen, groups))
	t.Logf("%d choices for %d groups in 40 changes", chosen, groups)
}
