package failover

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// TickInterval is the interval at which a machine has to be sent Tick.
const TickInterval = 25 * time.Millisecond

// Phase is the phase of a machine; the package documentation describes each phase.
type Phase string

// The phases.
const (
	PhaseSteady    Phase = "steady"
	PhaseSuspect   Phase = "suspect"
	PhasePreVote   Phase = "asking"
	PhaseWaiting   Phase = "waiting"
	PhaseHandover  Phase = "handover"
	PhaseFencing   Phase = "fencing"
	PhasePromoting Phase = "promoting"
	PhaseBackoff   Phase = "backing off"
)

// changingPrimary reports whether this host may be fencing or promoting targets.
func (p Phase) changingPrimary() bool {
	return p == PhaseHandover || p == PhaseFencing || p == PhasePromoting
}

// Machine is the failover state machine of one group on one host. It does no I/O
// and reads no clock. It is not safe for concurrent use.
type Machine struct {
	self    topology.HostID
	group   topology.Group
	timings Timings
	policy  customer.AckMode

	phase      Phase
	phaseSince time.Time // start of the phase
	reason     Reason    // why the primary is suspected or being replaced

	current         knownPrimary
	highestTerm     uint64 // highest term that any target or host reported
	higherTermSince time.Time
	targets         map[topology.TargetID]*targetState
	progress        replicationProgress

	attempt          attempt
	attemptCount     uint64 // number of the latest attempt
	failedAttempts   int    // since the primary was last healthy
	backoffUntil     time.Time
	noHandoverBefore time.Time
	publishedAt      time.Time // time of the latest Publish
	fastPollUntil    time.Time // all targets are polled at FastPoll until then

	lastStepAt   time.Time
	runningSince time.Time // when this process started or last resumed after a pause

	actions []Action
}

// NewMachine returns the machine of host self for a group that it starts to watch
// at now.
func NewMachine(self topology.HostID, group topology.Group, timings Timings, policy customer.AckMode, now time.Time) *Machine {
	m := &Machine{
		self:         self,
		timings:      timings,
		policy:       policy,
		phase:        PhaseSteady,
		phaseSince:   now,
		targets:      map[topology.TargetID]*targetState{},
		lastStepAt:   now,
		runningSince: now,
	}
	m.SetGroup(group, now)
	return m
}

// SetGroup sets the published state of the group. The published primary is only
// used if its term is above the known one.
func (m *Machine) SetGroup(group topology.Group, now time.Time) {
	m.group = group
	for _, t := range group.Targets {
		if m.targets[t.ID] == nil {
			m.targets[t.ID] = &targetState{id: t.ID}
		}
	}
	for id := range m.targets {
		if _, ok := group.Target(id); !ok {
			delete(m.targets, id)
		}
	}
	if group.Primary != "" {
		m.learnPrimary(group.Term, group.Primary, false, now)
	}
}

// Configure sets the timings and the acknowledgement policy of the group.
func (m *Machine) Configure(timings Timings, policy customer.AckMode) {
	m.timings, m.policy = timings, policy
}

// confirmsByTerm reports whether commits are confirmed without replication.
func (m *Machine) confirmsByTerm() bool { return m.policy == customer.AckTerm }

// Step processes an event and returns the actions to carry out.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	m.actions = nil
	m.detectPause(now)
	m.handleEvent(now, ev)
	m.advance(now)
	m.pollDue(now)
	return m.actions
}

// detectPause resets the phase and the failure timers if this process was paused:
// its state may be outdated, and missing answers may be due to the pause.
func (m *Machine) detectPause(now time.Time) {
	paused := now.Sub(m.lastStepAt) > m.timings.PauseThreshold
	m.lastStepAt = now
	if !paused {
		return
	}
	m.runningSince = now
	m.progress.goalSetAt = time.Time{}
	m.higherTermSince = time.Time{}
	if m.phase != PhaseSteady {
		m.setPhase(now, PhaseSteady, ReasonNone, "this process was paused")
	}
}

// setPhase changes the phase and reports the change.
func (m *Machine) setPhase(now time.Time, to Phase, reason Reason, detail string) {
	if m.phase != to {
		m.actions = append(m.actions, PhaseChange{From: m.phase, To: to, Reason: reason, Term: m.attempt.term, Detail: detail})
	}
	m.phase, m.phaseSince, m.reason = to, now, reason
}

// advance changes the phase until no further change is possible.
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
	case PhasePreVote:
		m.advancePreVote(now)
	case PhaseWaiting:
		m.advanceWaiting(now)
	case PhaseHandover:
		m.advanceHandover(now)
	case PhaseFencing:
		m.advanceFencing(now)
	case PhasePromoting:
		m.advancePromoting(now)
	case PhaseBackoff:
		if !now.Before(m.backoffUntil) {
			m.setPhase(now, PhaseSteady, ReasonNone, "")
		}
	}
}

func (m *Machine) advanceSteady(now time.Time) {
	reason := m.assessPrimary(now)
	switch {
	case reason == ReasonNone:
		m.failedAttempts = 0
		m.repairFollowers(now)
	case reason.needsProbe():
		m.setPhase(now, PhaseSuspect, reason, "")
	default:
		m.startPreVote(now, reason)
	}
}

// advanceSuspect waits for the result of a new connection to the primary.
func (m *Machine) advanceSuspect(now time.Time) {
	reason := m.assessPrimary(now)
	switch {
	case reason == ReasonNone:
		m.setPhase(now, PhaseSteady, ReasonNone, "the primary answers")
	case reason.needsProbe():
		m.sendProbe(now, m.targets[m.current.primary])
	default:
		m.startPreVote(now, reason)
	}
}
