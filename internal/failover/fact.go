package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fact is what a machine knows of one target.
type fact struct {
	id       topology.TargetID
	status   target.Status
	known    bool      // status is an answer
	heardAt  time.Time // when the latest answered request was sent
	failedAt time.Time // when the latest failed request was sent
	polledAt time.Time // when the latest request of this machine was sent
	polling  bool

	probing     bool
	probedAt    time.Time // when the latest finished probe began
	probeResult ProbeResult
	orderedAt   time.Time // of the latest Follow
	behindSince time.Time // first seen at an old term or fenced without a change under way
}

// failing tells whether the latest outcome of a request is a failure.
func (f *fact) failing() bool { return f.failedAt.After(f.heardAt) }

// heardSince tells whether a request sent at or after t was answered.
func (f *fact) heardSince(t time.Time) bool { return f.known && !f.heardAt.Before(t) }

// all returns the facts in the group's order.
func (m *Machine) all() []*fact {
	facts := make([]*fact, len(m.group.Targets))
	for i, t := range m.group.Targets {
		facts[i] = m.facts[t.ID]
	}
	return facts
}

// lead is the primary of the highest term that is known to have had one.
type lead struct {
	term    uint64
	primary topology.TargetID
	since   time.Time // when this host learned of it
	certain bool      // from a target, not from the published hint
}

// progress follows how far a majority of the group is behind the primary.
type progress struct {
	mark      topology.Position // position that the majority has to reach
	markedAt  time.Time         // zero: the majority is not behind
	confirmed topology.Position // highest position that a majority has
	movedAt   time.Time         // when confirmed last changed
	longest   time.Duration     // longest time that the majority took to reach a mark
	tries     int               // changes of primary for want of progress, since the last progress
}

// update takes the primary's position and that of the majority, at now.
func (p *progress) update(primary, majority topology.Position, now time.Time) {
	if majority.Compare(p.confirmed) != 0 {
		p.confirmed = majority
		p.movedAt = now
	}
	if p.markedAt.IsZero() {
		p.begin(primary, majority, now)
		return
	}
	if !majority.AtLeast(p.mark) {
		return
	}
	p.longest = max(p.longest, now.Sub(p.markedAt))
	p.tries = 0
	p.begin(primary, majority, now)
}

func (p *progress) begin(primary, majority topology.Position, now time.Time) {
	p.mark, p.markedAt = topology.Position{}, time.Time{}
	if !majority.AtLeast(primary) {
		p.mark, p.markedAt = primary, now
	}
}

// idleFor returns how long the majority has been behind without moving.
func (p *progress) idleFor(now time.Time) time.Duration {
	if p.markedAt.IsZero() {
		return 0
	}
	since := p.markedAt
	if p.movedAt.After(since) {
		since = p.movedAt
	}
	return now.Sub(since)
}

// patience is how long the majority may be behind without moving: it outlasts
// the delays seen before, and grows while changes of primary don't help.
func (p *progress) patience(t Times) time.Duration {
	patience := max(t.StuckAfter, 3*p.longest)
	for range p.tries {
		patience *= 2
		if patience > t.LongestStuck {
			return t.LongestStuck
		}
	}
	return min(patience, t.LongestStuck)
}
