package routing

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// group is what this process knows of one group, shared by its connections.
type group struct {
	id topology.GroupID

	mu    sync.Mutex // guards the fields below
	known *Knowledge
	load  map[slotKey]int // requests under way
	gates map[int]*gate   // of held writes, by the slot that they need
}

type slotKey struct {
	target topology.TargetID
	slot   int
}

func newGroup(id topology.GroupID) *group {
	return &group{id: id, known: NewKnowledge(), load: make(map[slotKey]int), gates: make(map[int]*gate)}
}

// gate returns the gate of the writes that need the slot.
func (g *group) gate(slot int) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	held, ok := g.gates[slot]
	if !ok {
		held = &gate{}
		g.gates[slot] = held
	}
	return held
}

func (g *group) learnPrimary(term uint64, primary topology.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known.LearnPrimary(term, primary)
}

func (g *group) learn(hint pool.Hint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known.Learn(hint, time.Now())
}

func (g *group) hear(pos topology.Position) {
	if pos.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known.Hear(pos, time.Now())
}

func (g *group) floorAge(floor topology.Position) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if age, known := g.known.FloorAge(floor, time.Now()); known {
		return age
	}
	return unknownAge
}

func (g *group) learnFailure(id topology.TargetID, code result.Code) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.known.LearnFailure(id, code, time.Now())
}

// begin counts a request under way at the try's slot until end.
func (g *group) begin(try Try) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load[slotKey{try.Target, try.Slot}]++
}

func (g *group) end(try Try) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.load[slotKey{try.Target, try.Slot}]--
}

func (g *group) view(published *topology.Group, holders func(topology.Target) []Holder, own topology.Domain, now time.Time) GroupView {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := GroupView{
		Term:       g.known.Term,
		Primary:    g.known.Primary,
		Candidates: make([]Candidate, 0, len(published.Targets)),
	}
	for _, t := range published.Targets {
		c := g.candidate(t, now)
		c.Near = t.Domain == own
		c.Holders = holders(t)
		for slot := range c.Holders {
			c.Holders[slot].Load = g.load[slotKey{t.ID, slot}]
		}
		v.Candidates = append(v.Candidates, c)
	}
	return v
}

func (g *group) candidate(t topology.Target, now time.Time) Candidate {
	seen := g.known.Targets[t.ID]
	return Candidate{
		Target:  t,
		Down:    seen.down(now),
		Known:   seen.Known,
		Applied: seen.Applied,
		Lag:     seen.Lag,
		Behind:  seen.lag(now),
		SeenAgo: now.Sub(seen.At),
	}
}
