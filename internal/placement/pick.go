package placement

import "slices"

// MaxHostsAsked is the maximum number of hosts that are asked to run one statement.
// All but the last are asked to run it at once or not at all: the known loads
// are older than most statements last, and asking takes only a millisecond. In
// the load of TestLoadBelowCapacityRarelyWaits, 2,913 of 26,000 statements wait
// longer than 20 ms with one host asked, 513 with two, 180 with three and 173
// with four.
const MaxHostsAsked = 3

// Pick returns the host to ask: a host in this failure domain with a free
// connection, else a host elsewhere with one, else, unless need.FreeOnly is set, a
// host without one. Within each class it draws two hosts at random and takes
// the less loaded one. If it always took the least loaded host, all hosts that
// know the same loads would send their statements to that host until it is the
// most loaded. ok is false if no host can help. intn returns a random number
// in [0, n), as rand.IntN does.
func Pick(offers []Offer, need Requirements, intn func(int) int) (best Offer, ok bool) {
	var near, far, busy []Offer
	for _, o := range offers {
		switch {
		case need.NeedsLeader && !o.Leads, slices.Contains(need.Exclude, o.Host):
		case o.freeConnections(&need) <= 0:
			busy = append(busy, o)
		case o.SameDomain:
			near = append(near, o)
		default:
			far = append(far, o)
		}
	}
	switch {
	case len(near) > 0:
		return betterOfTwo(near, &need, intn), true
	case len(far) > 0:
		return betterOfTwo(far, &need, intn), true
	case len(busy) > 0 && !need.FreeOnly:
		return betterOfTwo(busy, &need, intn), true
	}
	return Offer{}, false
}

// betterOfTwo returns the less loaded of two offers drawn at random. offers
// must not be empty.
func betterOfTwo(offers []Offer, need *Requirements, intn func(int) int) Offer {
	i := intn(len(offers))
	if len(offers) == 1 {
		return offers[i]
	}
	j := intn(len(offers) - 1)
	if j >= i {
		j++
	}
	if offers[j].freeConnections(need) > offers[i].freeConnections(need) {
		return offers[j]
	}
	return offers[i]
}
