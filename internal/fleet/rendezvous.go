package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Index finds the holders of targets among the live hosts of one host list.
// It is immutable.
type Index struct {
	byDomain   map[topology.Domain][]candidate // live hosts, or the suspected ones of a domain without
	everywhere []candidate                     // live hosts
}

type candidate struct {
	id   topology.HostID
	hash uint64
}

// NewIndex returns the index of the hosts. Leaving hosts hold nothing.
//
// A gone host is one to which calls fail. It loses its slots to the others of
// its domain. When a whole domain seems gone the cause is most likely a cut
// between this host and the domain, where the domain's hosts go on holding its
// targets: they keep their slots until they leave the list.
func NewIndex(hosts []topology.Host) *Index {
	x := &Index{byDomain: make(map[topology.Domain][]candidate)}
	x.everywhere = x.add(hosts, topology.HostLive)
	suspected := &Index{byDomain: make(map[topology.Domain][]candidate)}
	suspected.add(hosts, topology.HostGone)
	for domain, hosts := range suspected.byDomain {
		if len(x.byDomain[domain]) == 0 {
			x.byDomain[domain] = hosts
		}
	}
	return x
}

// add enters the hosts of that state and returns them.
func (x *Index) add(hosts []topology.Host, state topology.HostState) []candidate {
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

// Holders returns the host of each slot of the target, by slot number. It is
// nil when no host is live. See Index.Holders.
func Holders(t topology.Target, hosts []topology.Host) []topology.HostID {
	return NewIndex(hosts).Holders(t)
}

// Holders returns the host of each slot of the target, by slot number: live
// hosts of the target's domain, or of all domains when its own has none (see
// NewIndex for a domain that is cut off). It is nil when there is no such host.
//
// Each pair of slots shares one order of the hosts by weight. The even slot
// takes the first host and the odd slot the last one. Hence the two are
// distinct whenever there are two hosts, and the loss of a host moves no slot
// but its own. A target of more than two slots excludes the hosts chosen for
// the pairs before, so there a lost host may move slots of the pairs behind it.
func (x *Index) Holders(t topology.Target) []topology.HostID {
	hosts := x.candidates(t.Domain)
	if len(hosts) == 0 || t.Slots <= 0 {
		return nil
	}
	holders := make([]topology.HostID, 0, t.Slots)
	hash := xxhash.Sum64String(string(t.ID))
	for pair := 0; len(holders) < t.Slots; pair++ {
		first, last := extremes(hash, uint64(pair), hosts, holders)
		holders = append(holders, first)
		if len(holders) < t.Slots {
			holders = append(holders, last)
		}
	}
	return holders
}

func (x *Index) candidates(d topology.Domain) []candidate {
	if hosts := x.byDomain[d]; len(hosts) > 0 {
		return hosts
	}
	return x.everywhere
}

// extremes returns the hosts of the greatest and the least weight, without the
// hosts in taken unless no other is left.
func extremes(target, pair uint64, hosts []candidate, taken []topology.HostID) (first, last topology.HostID) {
	skip := len(taken) > 0 && len(hosts) > len(taken)
	var most, least uint64
	for _, h := range hosts {
		if skip && slices.Contains(taken, h.id) {
			continue
		}
		w := weight(target, pair, h.hash)
		if first == "" || w > most || (w == most && h.id < first) {
			first, most = h.id, w
		}
		if last == "" || w < least || (w == least && h.id > last) {
			last, least = h.id, w
		}
	}
	return first, last
}

// weight mixes the hashes of a target and a host, and the number of a pair of
// slots, so that each bit of the result depends on every bit of them.
func weight(target, pair, host uint64) uint64 {
	x := target + (pair+1)*0x9e3779b97f4a7c15
	x ^= host
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Held is one slot of one target.
type Held struct {
	Target topology.Target
	Slot   int
}

// HeldBy returns the slots that the host holds, in the order of targets.
func (x *Index) HeldBy(host topology.Host, targets []topology.Target) []Held {
	return x.heldBy(host, targets, x.Holders)
}

func (x *Index) heldBy(host topology.Host, targets []topology.Target, holders func(topology.Target) []topology.HostID) []Held {
	var held []Held
	for _, t := range targets {
		if t.Domain != host.Domain && len(x.byDomain[t.Domain]) > 0 {
			continue
		}
		for slot, id := range holders(t) {
			if id == host.ID {
				held = append(held, Held{Target: t, Slot: slot})
			}
		}
	}
	return held
}
