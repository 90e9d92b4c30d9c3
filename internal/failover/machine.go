package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// TickInterval is how often a driver sends Tick.
const TickInterval = 25 * time.Millisecond

// Phase is the state of a machine.
type Phase string

// The phases.
const (
	PhaseSteady    Phase = "steady"
	PhaseSuspect   Phase = "suspect"
	PhaseAsking    Phase = "asking"
	PhaseWaiting   Phase = "waiting"
	PhaseHandover  Phase = "handover"
	PhaseFencing   Phase = "fencing"
	PhasePromoting Phase = "promoting"
	PhaseBackoff   Phase = "backing off"
)

// changing tells whether targets may be fenced by this host.
func (p Phase) changing() bool {
	return p == PhaseHandover || p == PhaseFencing || p == PhasePromoting
}

// Machine decides about the primary of one group on one host. It is a plain
// value of state: it does no I/O and reads no clock. Not safe for concurrent use.
type Machine struct {
	self   topology.HostID
	group  topology.Group
	times  Times
	policy customer.Acknowledge

	phase  Phase
	since  time.Time // of the phase
	reason Reason    // of what is under way

	lead          lead
	highest       uint64 // highest term seen anywhere
	outvotedSince time.Time
	facts         map[topology.TargetID]*fact
	progress      progress

	attempt       attempt
	attempts      uint64 // numbers attempts
	failures      int    // attempts since a primary was last healthy
	resumeAt      time.Time
	handoverAfter time.Time
	publishedAt   time.Time // of the latest Publish
	alertUntil    time.Time // polls are fast until then

	steppedAt  time.Time
	awakeSince time.Time // start of this process or of its latest run without a pause

	out []Action
}

// NewMachine returns the machine of host self for a group, which it learns of at now.
func NewMachine(self topology.HostID, group topology.Group, times Times, policy customer.Acknowledge, now time.Time) *Machine {
	m := &Machine{
		self:       self,
		times:      times,
		policy:     policy,
		phase:      PhaseSteady,
		since:      now,
		facts:      map[topology.TargetID]*fact{},
		steppedAt:  now,
		awakeSince: now,
	}
	m.SetGroup(group, now)
	return m
}

// SetGroup takes the group as it is published now. Its term and primary count
// only above what is known.
func (m *Machine) SetGroup(group topology.Group, now time.Time) {
	m.group = group
	for _, t := range group.Targets {
		if m.facts[t.ID] == nil {
			m.facts[t.ID] = &fact{id: t.ID}
		}
	}
	for id := range m.facts {
		if _, ok := group.Target(id); !ok {
			delete(m.facts, id)
		}
	}
	if group.Primary != "" {
		m.learn(group.Term, group.Primary, false, now)
	}
}

// Configure changes the periods and the group's policy.
func (m *Machine) Configure(times Times, policy customer.Acknowledge) {
	m.times, m.policy = times, policy
}

// anyTerm tells whether commits are confirmed without replication.
func (m *Machine) anyTerm() bool { return m.policy == customer.AckTerm }

// Step takes an event and returns what to do.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.out = nil
	m.wake(now)
	m.take(now, ev)
	m.advance(now)
	m.poll(now)
	return m.out
}

// wake notices that this process was paused: what it knew may be outdated, and
// the silence of others was its own.
func (m *Machine) wake(now time.Time) {
	paused := now.Sub(m.steppedAt) > m.times.Asleep
	m.steppedAt = now
	if !paused {
		return
	}
	m.awakeSince = now
	m.progress.markedAt = time.Time{}
	m.outvotedSince = time.Time{}
	if m.phase != PhaseSteady {
		m.enter(now, PhaseSteady, ReasonNone, "this process was paused")
	}
}

// enter changes the phase.
func (m *Machine) enter(now time.Time, to Phase, reason Reason, detail string) {
	if m.phase != to {
		m.out = append(m.out, Note{From: m.phase, To: to, Reason: reason, Term: m.attempt.term, Detail: detail})
	}
	m.phase, m.since, m.reason = to, now, reason
}

// advance moves on as far as what is known allows.
func (m *Machine) advance(now time.Time) {
	for {
		before := m.phase
		m.advanceOnce(now)
		if m.phase == before {
			return
		}
	}
}

func (m *Machine) advanceOnce(now time.Time) {
	switch m.phase {
	case PhaseSteady:
		m.advanceSteady(now)
	case PhaseSuspect:
		m.advanceSuspect(now)
	case PhaseAsking:
		m.advanceAsking(now)
	case PhaseWaiting:
		m.advanceWaiting(now)
	case PhaseHandover:
		m.advanceHandover(now)
	case PhaseFencing:
		m.advanceFencing(now)
	case PhasePromoting:
		m.advancePromoting(now)
	case PhaseBackoff:
		if !now.Before(m.resumeAt) {
			m.enter(now, PhaseSteady, ReasonNone, "")
		}
	}
}

func (m *Machine) advanceSteady(now time.Time) {
	reason := m.assess(now)
	switch {
	case reason == ReasonNone:
		m.failures = 0
		m.repair(now)
	case reason.doubtful():
		m.enter(now, PhaseSuspect, reason, "")
	default:
		m.startAsking(now, reason)
	}
}

// advanceSuspect waits for the new connection's result.
func (m *Machine) advanceSuspect(now time.Time) {
	reason := m.assess(now)
	switch {
	case reason == ReasonNone:
		m.enter(now, PhaseSteady, ReasonNone, "the primary answers")
	case reason.doubtful():
		m.probe(now, m.facts[m.lead.primary])
	default:
		m.startAsking(now, reason)
	}
}
