package share

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// hostChange is a host that joined the list of hosts or left it. One that changed otherwise
// has left and joined.
type hostChange struct {
	host   topology.Host
	joined bool
	hash   uint64 // of the address
}

// affects reports whether the holders of a group may be others after the change, see
// WeightedHolders. holders are those before it.
//
// A host that leaves and isn't one of them took part in the last round at most and lost
// there, so that the others are the same without it. A host that joins becomes one of them
// only if its score exceeds one of theirs, or if its domain had too few hosts for a round
// before the last, in which each domain's host is taken.
func (c *hostChange) affects(group topology.GroupID, holders []topology.Host) bool {
	if !c.joined {
		return slices.ContainsFunc(holders, func(h topology.Host) bool { return h.ID == c.host.ID })
	}
	key := xxhash.Sum64String(string(group))
	score := holderScore(key, c.hash, hostWeight(&c.host))
	ofDomain, rounds := 0, 0
	for i := range holders {
		h := &holders[i]
		if score >= holderScore(key, xxhash.Sum64String(string(h.ID)), hostWeight(h)) {
			return true
		}
		count := 0
		for j := range holders {
			if holders[j].Domain == h.Domain {
				count++
			}
		}
		rounds = max(rounds, count)
		if h.Domain == c.host.Domain {
			ofDomain = count
		}
	}
	return ofDomain < rounds-1
}

// changesBetween returns the changes from one list of hosts to the next, those that left
// first. ok is false if there are too many or a list isn't sorted by address.
func changesBetween(before, after []topology.Host) (changes []hostChange, ok bool) {
	compare := func(a, b topology.Host) int { return cmp.Compare(a.ID, b.ID) }
	if !slices.IsSortedFunc(before, compare) || !slices.IsSortedFunc(after, compare) {
		return nil, false
	}
	var joined []hostChange
	for i, j := 0, 0; i < len(before) || j < len(after); {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			i, j = i+1, j+1
			continue
		case j == len(after) || i < len(before) && before[i].ID <= after[j].ID:
			changes = append(changes, hostChange{host: before[i]})
			i++
		default:
			joined = append(joined, hostChange{host: after[j], joined: true, hash: xxhash.Sum64String(string(after[j].ID))})
			j++
		}
		if len(changes)+len(joined) > maxHostChanges {
			return nil, false
		}
	}
	return append(changes, joined...), true
}
