package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// homeHeadroom is how many times the connections that a customer's usual load takes
// are kept for it at its homes. Load rises by half in a wave of a domain, and a home
// serves several customers.
const homeHeadroom = 2

// Homes is the order in which a customer's holders of a group are asked. The first
// Count are its home hosts.
type Homes struct {
	Order []topology.HostID
	Count int
}

// Contains reports whether the host is a home host.
func (h *Homes) Contains(host topology.HostID) bool {
	return slices.Contains(h.Order[:h.Count], host)
}

// HomesOf returns the order of a group's holders for a customer with the given share
// of the configured rates of all customers. It is the same on all hosts that know the
// same holders, and the loss of a holder moves only the customers at home there.
func HomesOf(group topology.GroupID, customer topology.CustomerID, holders []topology.HostID, share float64) Homes {
	key := xxhash.Sum64String(string(group) + "\x00" + string(customer))
	type ranked struct {
		host  topology.HostID
		score uint64
	}
	list := make([]ranked, len(holders))
	for i, host := range holders {
		list[i] = ranked{host, mix(key ^ xxhash.Sum64String(string(host)))}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.host, b.host)
	})
	h := Homes{Order: make([]topology.HostID, len(list)), Count: homeCount(share, len(list))}
	for i, r := range list {
		h.Order[i] = r.host
	}
	return h
}

// homeCount returns how many of the holders are home hosts of a customer with a share
// of the load.
func homeCount(share float64, holders int) int {
	return min(max(int(math.Ceil(share*homeHeadroom*float64(holders))), 1), holders)
}

// unknownHostWeight is the weight of a host that announces none: that of a small host,
// in processor cores.
const unknownHostWeight = 0.2

// WeightedHolders returns n hosts that hold a group's connections on behalf of all. A
// host's chance is in proportion to its weight. The failure domains have equally many
// holders, as far as they have hosts, so that the loss of one leaves most of them. The
// loss of a host moves only the groups that it held.
func WeightedHolders(group topology.GroupID, n int, hosts []topology.Host) []topology.Host {
	return newWeightedIndex(hosts).holders(group, n)
}

// weightedIndex is what WeightedHolders needs of a list of hosts for any group. It isn't
// modified once it is built.
type weightedIndex struct {
	hosts   []topology.Host
	domains [][]weightedHost
}

type weightedHost struct {
	position int // in hosts
	hash     uint64
	weight   float64
}

func newWeightedIndex(hosts []topology.Host) *weightedIndex {
	x := &weightedIndex{hosts: hosts}
	domains := map[topology.Domain]int{} // indexes into x.domains
	for i, host := range hosts {
		d, ok := domains[host.Domain]
		if !ok {
			d = len(x.domains)
			domains[host.Domain] = d
			x.domains = append(x.domains, nil)
		}
		x.domains[d] = append(x.domains[d], weightedHost{i, xxhash.Sum64String(string(host.ID)), hostWeight(&host)})
	}
	return x
}

func hostWeight(host *topology.Host) float64 {
	if host.Weight <= 0 {
		return unknownHostWeight
	}
	return host.Weight
}

// holderScore returns the score for a group of the host with that hash of its address. The
// hosts with the highest scores hold its connections.
func holderScore(group, host uint64, weight float64) float64 {
	uniform := (float64(mix(group^host)>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// scoredHost is a host with its score for one group.
type scoredHost struct {
	position int
	score    float64
}

// compare orders the best host first.
func (x *weightedIndex) compare(a, b scoredHost) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(x.hosts[a.position].ID, x.hosts[b.position].ID)
}

// holders returns the n holders of a group, see WeightedHolders: the best host of each
// domain, then the second best of each, and so on.
func (x *weightedIndex) holders(group topology.GroupID, n int) []topology.Host {
	key := xxhash.Sum64String(string(group))
	rounds := x.rounds(n)
	if rounds == 0 {
		return nil
	}
	byRound := make([][]scoredHost, rounds)
	best := make([]scoredHost, 0, rounds+1)
	for _, domain := range x.domains {
		best = x.best(key, domain, rounds, best[:0])
		for round, host := range best {
			byRound[round] = append(byRound[round], host)
		}
	}
	var holders []topology.Host
	for _, list := range byRound {
		slices.SortFunc(list, x.compare)
		for _, host := range list[:min(len(list), n-len(holders))] {
			holders = append(holders, x.hosts[host.position])
		}
	}
	return holders
}

// rounds returns how many hosts of each domain are needed for n holders.
func (x *weightedIndex) rounds(n int) int {
	n = min(n, len(x.hosts))
	for rounds := 0; ; rounds++ {
		available := 0
		for _, domain := range x.domains {
			available += min(len(domain), rounds)
		}
		if available >= n {
			return rounds
		}
	}
}

// best appends the at most n best of the hosts to list, which must be empty.
func (x *weightedIndex) best(key uint64, hosts []weightedHost, n int, list []scoredHost) []scoredHost {
	for _, host := range hosts {
		scored := scoredHost{host.position, holderScore(key, host.hash, host.weight)}
		if len(list) == n && x.compare(list[n-1], scored) < 0 {
			continue
		}
		i := len(list)
		for i > 0 && x.compare(scored, list[i-1]) < 0 {
			i--
		}
		list = slices.Insert(list, i, scored)
		list = list[:min(len(list), n)]
	}
	return list
}

// CustomerShares returns each customer's share of the sum of the configured rates. A
// customer without a rate counts as an average one.
func CustomerShares(rates map[topology.CustomerID]float64) map[topology.CustomerID]float64 {
	sum, rated := 0.0, 0
	for _, rate := range rates {
		if rate > 0 {
			sum += rate
			rated++
		}
	}
	average := 1.0
	if rated > 0 {
		average = sum / float64(rated)
	}
	sum += average * float64(len(rates)-rated)
	shares := make(map[topology.CustomerID]float64, len(rates))
	for id, rate := range rates {
		if rate <= 0 {
			rate = average
		}
		shares[id] = rate / sum
	}
	return shares
}

// mix makes each bit of the result depend on every bit of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
