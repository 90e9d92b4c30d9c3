package share

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// sortedHolders defines the choice of WeightedHolders: all hosts are sorted, and each round
// takes the best remaining host of each domain.
func sortedHolders(group topology.GroupID, n int, hosts []topology.Host) []topology.Host {
	type ranked struct {
		topology.Host
		score float64
	}
	key := xxhash.Sum64String(string(group))
	list := make([]ranked, len(hosts))
	for i, host := range hosts {
		weight := host.Weight
		if weight <= 0 {
			weight = unknownHostWeight
		}
		uniform := (float64(mix(key^xxhash.Sum64String(string(host.ID)))>>11) + 0.5) / (1 << 53)
		list[i] = ranked{host, -weight / math.Log(uniform)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	var holders []topology.Host
	byDomain := map[topology.Domain]int{}
	for limit := 1; len(holders) < n && len(list) > 0; limit++ {
		list = slices.DeleteFunc(list, func(r ranked) bool {
			if len(holders) >= n || byDomain[r.Domain] >= limit {
				return false
			}
			byDomain[r.Domain]++
			holders = append(holders, r.Host)
			return true
		})
	}
	return holders
}

// Hosts of different versions must choose the same holders in the same order: otherwise
// requests go to hosts without connections, and the connections of all exceed the limit.
func TestWeightedHoldersAgreeWithSortedChoice(t *testing.T) {
	for seed := range uint64(1000) {
		r := rand.New(rand.NewPCG(seed, 3))
		var hosts []topology.Host
		domains := 1 + r.IntN(6)
		for i := range r.IntN(120) {
			host := topology.Host{ID: topology.HostID(fmt.Sprintf("10.%d.%d.%d:7000", r.IntN(256), r.IntN(256), i))}
			host.Domain = topology.Domain(fmt.Sprint(min(r.IntN(domains), r.IntN(domains)))) // of unequal sizes
			switch r.IntN(4) {
			case 0: // no weight
			case 1:
				host.Weight = r.Float64() * 8
			case 2:
				host.Weight = 0.192
			case 3:
				host.Weight = []float64{-1, 1e-300, 1e300, math.Inf(1)}[r.IntN(4)] // some scores are equal
			}
			hosts = append(hosts, host)
		}
		group := topology.GroupID(fmt.Sprintf("group-%d", r.Uint64()))
		n := r.IntN(len(hosts) + 3)
		var holders Holders
		qt.Assert(t, holders.WeightedForGroup(group, n, hosts, 1), qt.DeepEquals, sortedHolders(group, n, hosts), qt.Commentf("seed %d: %d of %d hosts", seed, n, len(hosts)))
	}
}

// A choice that was made while the list of hosts changed must not be kept for the new list.
func TestWeightedForGroupDuringChangeOfHosts(t *testing.T) {
	var h Holders
	var callers sync.WaitGroup
	for version, count := range []int{40, 60} {
		hosts := newHosts(count)
		callers.Go(func() {
			for i := range 2000 {
				group := topology.GroupID(fmt.Sprint(i % 7))
				got := h.WeightedForGroup(group, 6, hosts, uint64(version))
				if want := sortedHolders(group, 6, hosts); !slices.Equal(got, want) {
					t.Errorf("version %d, group %s: got %v, want %v", version, group, got, want)
					return
				}
			}
		})
	}
	callers.Wait()
}

// The choice for all groups after a change of the list of hosts, per group.
func BenchmarkWeightedForGroup(b *testing.B) {
	const groups = 100
	for _, count := range []int{139, 4500} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			hosts := newHosts(count)
			for i := range hosts {
				hosts[i].Domain = topology.Domain(fmt.Sprint(i % 3))
				hosts[i].Weight = []float64{0.192, 0.8}[i%2]
			}
			var h Holders
			for version := uint64(1); b.Loop(); version++ {
				for g := range groups {
					h.WeightedForGroup(topology.GroupID(fmt.Sprint("group-", g)), 12, hosts, version)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/groups, "µs/group")
		})
	}
}
