package quota

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// history is a generated sequence of faults, demands and limits.
type history struct {
	seed           uint64
	hosts, domains int
	limit          Limit
	phases         []phase
	faults         []fault
	lowered        Limit
	lowerAt        time.Duration // 0: never
}

// phase is the demand from a time on.
type phase struct {
	at     time.Duration
	factor float64 // of the rate, over all callers
	where  int     // 0: at all hosts, 1: at one host, 2: at one domain
	host   int
}

// fault is a fault of a host or a domain, or of several.
type fault struct {
	kind       string
	at, length time.Duration
	index      int
}

const historyLength = 24 * time.Second

func drawHistory(t *rapid.T) history {
	h := history{
		seed: rapid.Uint64Range(1, 1<<32).Draw(t, "seed"), domains: rapid.IntRange(2, 4).Draw(t, "domains"),
		limit: Limit{Rate: rapid.SampledFrom([]float64{0.5, 3.2, 16, 64, 200}).Draw(t, "rate")},
	}
	h.limit.Burst = h.limit.Rate * rapid.SampledFrom([]float64{0, 0.2, 1, 3}).Draw(t, "burst")
	h.hosts = h.domains * rapid.IntRange(1, 5).Draw(t, "hosts by domain")
	ms := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	h.phases = []phase{{factor: rapid.SampledFrom([]float64{0, 0.6, 3}).Draw(t, "first demand")}}
	for range rapid.IntRange(0, 4).Draw(t, "phases") {
		h.phases = append(h.phases, phase{at: ms(1000, 20_000, "at"), factor: rapid.SampledFrom([]float64{0, 0.6, 1, 4.7, 8}).Draw(t, "demand"),
			where: rapid.IntRange(0, 2).Draw(t, "where"), host: rapid.IntRange(0, h.hosts-1).Draw(t, "host")})
	}
	slices.SortStableFunc(h.phases, func(a, b phase) int { return int(a.at - b.at) })
	kinds := []string{"freeze", "kill", "power loss", "kill most", "cut", "cut out", "cut in", "cut pair", "isolate"}
	for range rapid.IntRange(0, 4).Draw(t, "faults") {
		h.faults = append(h.faults, fault{kind: rapid.SampledFrom(kinds).Draw(t, "kind"), at: ms(500, 18_000, "begin"), length: ms(200, 9000, "length"),
			index: rapid.IntRange(0, h.hosts-1).Draw(t, "index")})
	}
	if rapid.IntRange(0, 3).Draw(t, "lowered") == 0 {
		h.lowerAt = ms(1000, 6000, "lowered at")
		h.lowered = Limit{Rate: h.limit.Rate * rapid.SampledFrom([]float64{0.1, 0.5, 0.9}).Draw(t, "lowered to"), Burst: h.limit.Burst / 2}
	}
	return h
}

// demandAt returns the demand at a host.
func (h *history) demandAt(host int, at time.Duration) float64 {
	current := h.phases[0]
	for _, p := range h.phases {
		if p.at <= at {
			current = p
		}
	}
	total := current.factor * h.limit.Rate
	switch {
	case current.where == 0:
		return total / float64(h.hosts)
	case current.where == 1 && host == current.host:
		return total
	case current.where == 2 && host%h.domains == current.host%h.domains:
		return total / float64(h.hosts/h.domains)
	}
	return 0
}

// start begins or ends a fault. The caller holds s.mu.
func (f fault) start(s *sim, begins bool) {
	h := s.hosts[f.index]
	kill := func(h *simHost, silent bool) {
		switch {
		case begins:
			h.dead, h.silent = true, silent
		case h.dead:
			h.boot()
		}
	}
	switch f.kind {
	case "freeze":
		if begins {
			h.thawAt = time.Now().Add(f.length)
		}
	case "kill", "power loss":
		kill(h, f.kind == "power loss")
	case "kill most":
		for i := range len(s.hosts) * 55 / 100 {
			kill(s.hosts[(f.index+i)%len(s.hosts)], false)
		}
	case "cut":
		s.cutDomain(h.domain, true, begins)
	case "cut out":
		s.cutDomain(h.domain, false, begins)
	case "cut in":
		for d := range s.domains {
			if d != h.domain {
				s.cut[[2]int{d, h.domain}] = begins
			}
		}
	case "cut pair":
		other := (h.domain + 1) % s.domains
		s.cut[[2]int{h.domain, other}], s.cut[[2]int{other, h.domain}] = begins, begins
	case "isolate":
		s.isolated[f.index] = begins
	}
}

// violation runs the history and describes a window with too many operations, or
// returns "".
func (h *history) violation() string {
	s := newSim(h.seed, h.hosts, h.domains, 1, h.limit)
	s.demand = h.demandAt
	events := map[time.Duration]func(){}
	add := func(at time.Duration, event func()) {
		for events[at] != nil {
			at++
		}
		events[at] = event
	}
	lastFault := time.Duration(0)
	for _, f := range h.faults {
		add(f.at, func() { f.start(s, true) })
		add(f.at+f.length, func() { f.start(s, false) })
		lastFault = max(lastFault, f.at+f.length)
	}
	const configApply = 5 * time.Second
	binding := endOfTime // when the lowered limit is binding
	if h.lowerAt > 0 {
		add(h.lowerAt, func() { s.config = s.configuration(2, []Limit{h.lowered}) })
		binding = max(h.lowerAt, lastFault) + configApply + simBounds.Window
	}
	s.run(h.seed, historyLength, events)
	if most, allowed := s.maxWindow(0, endOfTime), simBounds.Allowance(h.limit); float64(most) > allowed {
		return fmt.Sprintf("%d operations in a window, %.1f are allowed", most, allowed)
	}
	if most, allowed := s.maxWindow(binding, endOfTime), simBounds.Allowance(h.lowered); float64(most) > allowed {
		return fmt.Sprintf("%d operations in a window after the limit was lowered, %.1f are allowed", most, allowed)
	}
	return ""
}

// Whatever happens to hosts and links, no window has more operations than are allowed.
func TestNoWindowExceedsTheAllowance(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := drawHistory(rt)
		var violation string
		synctest.Test(t, func(*testing.T) { violation = h.violation() })
		if violation != "" {
			rt.Fatalf("%s: %+v", violation, h)
		}
	})
}
