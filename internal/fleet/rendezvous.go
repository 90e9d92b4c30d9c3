package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Index assigns the slots of targets to the hosts of one host list by rendezvous
// hashing. It is immutable.
type Index struct {
	byDomain map[topology.Domain][]candidate // live hosts, or the gone ones of a domain without live hosts
	allLive  []candidate                     // live hosts of all domains
}

// candidate is a host that may hold slots, with the hash of its id.
type candidate struct {
	id   topology.HostID
	hash uint64
}

// NewIndex returns the index of the hosts. Leaving hosts hold no slots.
//
// A gone host is one to which calls fail. The other hosts of its domain take over
// its slots. If all hosts of a domain seem gone, the likely cause is a network
// partition between this host and that domain, on the other side of which its
// hosts still hold the slots. They keep them until they leave the list.
func NewIndex(hosts []topology.Host) *Index {
	x := &Index{byDomain: make(map[topology.Domain][]candidate)}
	x.allLive = x.addHosts(hosts, topology.HostLive)
	suspected := &Index{byDomain: make(map[topology.Domain][]candidate)}
	suspected.addHosts(hosts, topology.HostGone)
	for domain, hosts := range suspected.byDomain {
		if len(x.byDomain[domain]) == 0 {
			x.byDomain[domain] = hosts
		}
	}
	return x
}

// addHosts adds the hosts of the given state to byDomain and returns them.
func (x *Index) addHosts(hosts []topology.Host, state topology.HostState) []candidate {
	var added []candidate
	for _, h := range hosts {
		if h.State != state {
			continue
		}
		c := candidate{id: h.ID, hash: xxhash.Sum64String(string(h.ID))}
		x.byDomain[h.Domain] = append(x.byDomain[h.Domain], c)
		added = append(added, c)
	}
	return added
}

// Holders returns the host of each slot of the target, by slot number. See
// Index.Holders.
func Holders(t topology.Target, hosts []topology.Host) []topology.HostID {
	return NewIndex(hosts).Holders(t)
}

// Holders returns the host of each slot of the target, by slot number. It chooses
// among the live hosts of the target's domain, or those of all domains if its own
// has none (see NewIndex for a partitioned domain). It returns nil if there are
// none at all.
//
// Two slots form a pair, for which the hosts are ordered by weight. The even slot
// goes to the host of the highest weight, the odd slot to that of the lowest.
// Hence the two hosts differ whenever there are at least two, and the loss of a
// host moves only its own slots. For a target of more than two slots the hosts of
// earlier pairs are excluded, so a lost host may also move slots of later pairs.
func (x *Index) Holders(t topology.Target) []topology.HostID {
	hosts := x.candidates(t.Domain)
	if len(hosts) == 0 || t.Slots <= 0 {
		return nil
	}
	holders := make([]topology.HostID, 0, t.Slots)
	hash := xxhash.Sum64String(string(t.ID))
	for pair := 0; len(holders) < t.Slots; pair++ {
		highest, lowest := highestAndLowest(hash, uint64(pair), hosts, holders)
		holders = append(holders, highest)
		if len(holders) < t.Slots {
			holders = append(holders, lowest)
		}
	}
	return holders
}

// candidates returns the hosts that may hold slots of targets in the domain.
func (x *Index) candidates(d topology.Domain) []candidate {
	if hosts := x.byDomain[d]; len(hosts) > 0 {
		return hosts
	}
	return x.allLive
}

// highestAndLowest returns the hosts of the highest and the lowest weight. It
// excludes the hosts in taken unless no others are left.
func highestAndLowest(target, pair uint64, hosts []candidate, taken []topology.HostID) (highest, lowest topology.HostID) {
	excludeTaken := len(taken) > 0 && len(hosts) > len(taken)
	var maxWeight, minWeight uint64
	for _, h := range hosts {
		if excludeTaken && slices.Contains(taken, h.id) {
			continue
		}
		w := weight(target, pair, h.hash)
		if highest == "" || w > maxWeight || (w == maxWeight && h.id < highest) {
			highest, maxWeight = h.id, w
		}
		if lowest == "" || w < minWeight || (w == minWeight && h.id > lowest) {
			lowest, minWeight = h.id, w
		}
	}
	return highest, lowest
}

// weight mixes the hashes of a target and a host and the number of a slot pair, so
// that each bit of the result depends on every bit of the arguments.
func weight(target, pair, host uint64) uint64 {
	x := target + (pair+1)*0x9e3779b97f4a7c15
	x ^= host
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// HeldSlot is a slot of a target that a host holds.
type HeldSlot struct {
	Target topology.Target
	Slot   int
}

// HeldBy returns the slots that the host holds, in the order of the targets.
func (x *Index) HeldBy(host topology.Host, targets []topology.Target) []HeldSlot {
	return x.heldBy(host, targets, x.Holders)
}

// heldBy is HeldBy with the given function in place of Index.Holders.
func (x *Index) heldBy(host topology.Host, targets []topology.Target, holders func(topology.Target) []topology.HostID) []HeldSlot {
	var held []HeldSlot
	for _, t := range targets {
		if t.Domain != host.Domain && len(x.byDomain[t.Domain]) > 0 {
			continue
		}
		for slot, id := range holders(t) {
			if id == host.ID {
				held = append(held, HeldSlot{Target: t, Slot: slot})
			}
		}
	}
	return held
}
