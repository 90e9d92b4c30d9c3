package quota

import (
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// round exchanges what gossip does. The caller must not hold s.mu.
func (s *sim) round() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, a := range s.hosts {
		if !a.up(now) {
			continue
		}
		for _, b := range s.hosts {
			if !b.up(now) || a == b {
				continue
			}
			// a has heard b itself, or a host of a's domain that has.
			if s.link(b, a) {
				a.seen[b.index] = now
				if s.link(a, b) {
					a.contacts[b.domain], a.direct[b.index] = now, now
				}
			}
		}
	}
	for _, a := range s.hosts { // relayed by hosts in contact
		if !a.up(now) {
			continue
		}
		for _, via := range s.hosts {
			if via.up(now) && via.domain != a.domain && s.link(via, a) && s.link(a, via) {
				for k, at := range via.seen {
					if at.After(a.seen[k]) && k != a.index {
						a.seen[k] = at
					}
				}
				break
			}
		}
		if s.rng.IntN(3) > 0 || len(a.list) == 1 {
			a.updateList(now)
		}
	}
	for i, h := range s.hosts { // a configuration spreads with gossip
		if h.up(now) && !s.isolated[i] && s.rng.IntN(3) > 0 {
			s.configs[i] = s.config
		}
	}
}

func (h *simHost) updateList(now time.Time) {
	list := []topology.Host{{ID: h.id, Domain: domainName(h.domain), State: topology.HostLive}}
	for i, at := range h.seen {
		if now.Sub(at) < simLiveness {
			list = append(list, topology.Host{ID: h.sim.hosts[i].id, Domain: domainName(h.sim.hosts[i].domain), State: topology.HostLive})
		}
	}
	slices.SortFunc(list, func(a, b topology.Host) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	if !slices.Equal(list, h.list) {
		h.list = list
		h.version++
	}
}

// reach is gossip.Gossip.Reach over the model.
func (h *simHost) reach() gossip.Reach {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	if len(h.contacts) == 0 {
		return gossip.Reach{}
	}
	now := time.Now()
	alone, large := true, len(h.seen) > simLargeFleet
	for _, at := range h.contacts {
		alone = alone && now.Sub(at) >= simContactWindow
	}
	hosts, reachable := make([]int, h.sim.domains), make([]int, h.sim.domains)
	hosts[h.domain], reachable[h.domain] = 1, 1
	for i, at := range h.seen {
		silence, d := now.Sub(at), h.sim.hosts[i].domain
		hosts[d]++
		inContact := now.Sub(h.direct[i]) < simContactWindow
		if large {
			inContact = silence < simSeenWindow && (d == h.domain || now.Sub(h.contacts[d]) < simContactWindow)
		}
		if inContact && !alone {
			reachable[d]++
		}
	}
	r := gossip.Reach{Domains: map[topology.Domain]float64{}, Own: domainName(h.domain)}
	for d := range hosts {
		if hosts[d] == 0 {
			continue
		}
		r.Domains[domainName(d)] = float64(reachable[d]) / float64(hosts[d]) / float64(h.sim.domains)
		if d == h.domain {
			r.Self = 1 / float64(hosts[d]) / float64(h.sim.domains)
		}
	}
	return r
}
