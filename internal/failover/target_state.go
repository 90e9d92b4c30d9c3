package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// targetState is what a machine knows of one target.
type targetState struct {
	id           topology.TargetID
	status       target.Status
	hasStatus    bool      // status holds an answer
	answeredAt   time.Time // send time of the latest request that was answered
	failedAt     time.Time // send time of the latest request that failed
	polledAt     time.Time // send time of the latest status request of this machine
	pollInFlight bool

	probeInFlight    bool
	probedAt         time.Time // send time of the latest finished probe
	probeResult      ProbeResult
	followSentAt     time.Time // send time of the latest Follow
	needsFollowSince time.Time // when the target was first seen to need a Follow
}

// failing reports whether the latest request failed.
func (s *targetState) failing() bool { return s.failedAt.After(s.answeredAt) }

// answeredSince reports whether a request that was sent at or after t was answered.
func (s *targetState) answeredSince(t time.Time) bool { return s.hasStatus && !s.answeredAt.Before(t) }

// targetStates returns the states of the targets in the order of the group.
func (m *Machine) targetStates() []*targetState {
	states := make([]*targetState, len(m.group.Targets))
	for i, t := range m.group.Targets {
		states[i] = m.targets[t.ID]
	}
	return states
}

// knownPrimary is the primary of the highest term that is known to have had one.
type knownPrimary struct {
	term       uint64
	primary    topology.TargetID
	learnedAt  time.Time // when this host learned of it
	fromTarget bool      // reported by a target or promoted by this host, not taken from the published configuration or another host
}

// replicationProgress tracks whether a majority of the group keeps up with the primary.
type replicationProgress struct {
	goal                     topology.Position // position that the majority has to reach
	goalSetAt                time.Time         // zero while the majority is not behind
	majorityPosition         topology.Position // highest position that a majority has
	majorityMovedAt          time.Time         // when majorityPosition last changed
	longestCatchUp           time.Duration     // longest time that the majority took to reach a goal
	failoversWithoutProgress int               // changes of primary during a stall since the majority last reached a goal
}

// update records the position of the primary and that of the majority at now.
func (p *replicationProgress) update(primary, majority topology.Position, now time.Time) {
	if majority.Compare(p.majorityPosition) != 0 {
		p.majorityPosition = majority
		p.majorityMovedAt = now
	}
	if p.goalSetAt.IsZero() {
		p.setGoal(primary, majority, now)
		return
	}
	if !majority.AtLeast(p.goal) {
		return
	}
	p.longestCatchUp = max(p.longestCatchUp, now.Sub(p.goalSetAt))
	p.failoversWithoutProgress = 0
	p.setGoal(primary, majority, now)
}

func (p *replicationProgress) setGoal(primary, majority topology.Position, now time.Time) {
	p.goal, p.goalSetAt = topology.Position{}, time.Time{}
	if !majority.AtLeast(primary) {
		p.goal, p.goalSetAt = primary, now
	}
}

// stalledFor returns how long the majority has been behind without progress.
func (p *replicationProgress) stalledFor(now time.Time) time.Duration {
	if p.goalSetAt.IsZero() {
		return 0
	}
	since := p.goalSetAt
	if p.majorityMovedAt.After(since) {
		since = p.majorityMovedAt
	}
	return now.Sub(since)
}

// stallTimeout returns how long the majority may be behind without progress. It
// exceeds the delays seen before, and doubles with each change of primary that
// did not restore progress.
func (p *replicationProgress) stallTimeout(timings Timings) time.Duration {
	timeout := max(timings.StallTimeout, 3*p.longestCatchUp)
	for range p.failoversWithoutProgress {
		timeout *= 2
		if timeout > timings.MaxStallTimeout {
			return timings.MaxStallTimeout
		}
	}
	return min(timeout, timings.MaxStallTimeout)
}
