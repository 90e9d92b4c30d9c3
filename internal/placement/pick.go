package placement

import "slices"

// MostAsked is how many hosts are asked to run one statement. All but the last
// are asked to run it at once or not at all: what was told of loads is older
// than most statements last, and asking takes a millisecond. In the load that
// TestALoadBelowCapacityHardlyWaits plays, 2,913 of 26,000 statements wait for
// longer than 20 ms with one host asked, 513 with two, 180 with three, 173 with four.
const MostAsked = 3

// Pick returns the host to ask: one in this failure domain with a free
// connection, else one elsewhere, else the one with the shortest queue. Of two
// drawn at random it takes the less loaded: the least loaded of all would get
// the statements of every host that knows so, until it is the most loaded. ok
// is false if none can help. intn returns a number below its argument.
func Pick(offers []Offer, need Need, intn func(int) int) (best Offer, ok bool) {
	var near, far, full []Offer
	for _, o := range offers {
		switch {
		case need.Leader && !o.Leads, slices.Contains(need.Not, o.Host):
		case o.free(&need) <= 0:
			full = append(full, o)
		case o.Near:
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
	case len(full) > 0 && !need.Free:
		return betterOfTwo(full, &need, intn), true
	}
	return Offer{}, false
}

// betterOfTwo needs at least one offer.
func betterOfTwo(offers []Offer, need *Need, intn func(int) int) Offer {
	i := intn(len(offers))
	if len(offers) == 1 {
		return offers[i]
	}
	j := intn(len(offers) - 1)
	if j >= i {
		j++
	}
	if offers[j].free(need) > offers[i].free(need) {
		return offers[j]
	}
	return offers[i]
}
