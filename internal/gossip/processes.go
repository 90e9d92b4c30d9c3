package gossip

import (
	"cmp"
	"slices"

	"nettlewalk.example/nettlewalk/internal/confirm"
)

// Processes returns this host's process and those of all hosts that it has heard from and
// not forgotten, sorted by address. A host that has restarted is listed with its earlier
// process until a digest of the later one arrives.
func (g *Gossip) Processes() []confirm.Process {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]confirm.Process, 0, len(g.hosts)+1)
	list = append(list, processOf(g.self))
	list[0].Live = true
	for _, k := range g.hosts {
		if k.lastHeard.IsZero() {
			continue // its process isn't known
		}
		p := processOf(k.host)
		p.Live = k.isLive(now)
		p.Gone = now.Sub(k.lastSeen()) > voteTimeout
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b confirm.Process) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

func processOf(h Host) confirm.Process {
	return confirm.Process{Voter: confirm.Voter{Host: h.Addr, Boot: h.Boot}, Domain: h.Domain, Leaving: h.Leaving}
}
