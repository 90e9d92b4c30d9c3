package routing

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// group holds what this process knows about one group. All connections to the
// group share it.
type group struct {
	id topology.GroupID

	mu           sync.Mutex // guards the fields below
	observations *Observations
	inFlight     map[slotKey]int    // requests in flight
	writeGates   map[int]*probeGate // for held writes, by the slot that they need
}

type slotKey struct {
	target topology.TargetID
	slot   int
}

func newGroup(id topology.GroupID) *group {
	return &group{id: id, observations: NewObservations(), inFlight: make(map[slotKey]int), writeGates: make(map[int]*probeGate)}
}

// writeGate returns the gate for the writes that need the slot.
func (g *group) writeGate(slot int) *probeGate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate, ok := g.writeGates[slot]
	if !ok {
		gate = &probeGate{}
		g.writeGates[slot] = gate
	}
	return gate
}

func (g *group) observePrimary(term uint64, primary topology.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observations.ObservePrimary(term, primary)
}

func (g *group) observeHint(hint pool.Hint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observations.ObserveHint(hint, time.Now())
}

func (g *group) observePosition(pos topology.Position) {
	if pos.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observations.ObservePosition(pos, time.Now())
}

func (g *group) floorAge(floor topology.Position) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if age, known := g.observations.FloorAge(floor, time.Now()); known {
		return age
	}
	return unknownAge
}

func (g *group) observeFailure(id topology.TargetID, code result.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.observations.ObserveFailure(id, code, time.Now())
}

// startRequest counts a request at dest as in flight until endRequest.
func (g *group) startRequest(dest Destination) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[slotKey{dest.Target, dest.Slot}]++
}

func (g *group) endRequest(dest Destination) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight[slotKey{dest.Target, dest.Slot}]--
}

func (g *group) view(configured *topology.Group, holders func(topology.Target) []Holder, localDomain topology.Domain, now time.Time) GroupView {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := GroupView{
		Term:       g.observations.Term,
		Primary:    g.observations.Primary,
		Candidates: make([]Candidate, 0, len(configured.Targets)),
	}
	for _, t := range configured.Targets {
		c := g.candidate(t, now)
		c.Near = t.Domain == localDomain
		c.Holders = holders(t)
		for slot := range c.Holders {
			c.Holders[slot].InFlight = g.inFlight[slotKey{t.ID, slot}]
		}
		v.Candidates = append(v.Candidates, c)
	}
	return v
}

func (g *group) candidate(t topology.Target, now time.Time) Candidate {
	observed := g.observations.Targets[t.ID]
	return Candidate{
		Target:         t,
		RecentlyFailed: observed.recentlyFailed(now),
		StatusKnown:    observed.StatusKnown,
		Applied:        observed.Applied,
		LagUpperBound:  observed.LagUpperBound,
		LagLowerBound:  observed.lagLowerBound(now),
		StatusAge:      now.Sub(observed.CheckedAt),
	}
}
