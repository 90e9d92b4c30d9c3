package quota

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// votes are the parts of all limits that this host may sell. A part that grows counts
// only after reachRaiseDelay. The zero value has none.
type votes struct {
	domains   map[topology.Domain]*vote // in contact
	own       topology.Domain
	self      float64
	updatedAt time.Time
}

// vote is one domain's part.
type vote struct {
	part     float64
	raisedAt time.Time // since when the part in contact has been larger; zero: it isn't
}

// update counts the votes in contact again if those known are too old.
func (v *votes) update(reach func() gossip.Reach, now time.Time) {
	first := v.updatedAt.IsZero()
	if !first && now.Sub(v.updatedAt) < reachMaxAge {
		return
	}
	v.updatedAt = now
	r := reach()
	v.own, v.self = r.Own, r.Self
	if first {
		v.domains = map[topology.Domain]*vote{}
	}
	for d, part := range r.Domains {
		known := v.domains[d]
		if known == nil {
			known = &vote{}
			v.domains[d] = known
		}
		switch {
		case first || part <= known.part:
			known.part, known.raisedAt = part, time.Time{}
		case known.raisedAt.IsZero():
			known.raisedAt = now
		case now.Sub(known.raisedAt) >= reachRaiseDelay:
			known.part, known.raisedAt = part, time.Time{}
		}
	}
	for d := range v.domains {
		if _, ok := r.Domains[d]; !ok {
			delete(v.domains, d)
		}
	}
}

// of returns the part of a customer's limit that this host may sell in a role, without
// the votes with which others stand in for it.
func (v *votes) of(r role, ceded map[topology.HostID]cession, now time.Time) float64 {
	switch r {
	case alone:
		return v.self
	case deputy:
		if own := v.domains[v.own]; own != nil {
			return own.part
		}
		return 0
	}
	sold := map[topology.Domain]float64{}
	for id, c := range ceded {
		if !now.Before(c.until) {
			delete(ceded, id)
			continue
		}
		sold[c.domain] += c.votes
	}
	total := 0.0
	for d, known := range v.domains {
		total += max(0, known.part-sold[d])
	}
	return total
}
