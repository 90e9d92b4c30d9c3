package routing

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	downFor   = 250 * time.Millisecond // a target that failed gets no reads for this long
	behindFor = 500 * time.Millisecond // a replica's lag is measured anew after this
)

// Knowledge is what this host learned of one group from answers. It never goes
// back to a lower term. Not safe for concurrent use.
type Knowledge struct {
	Term    uint64
	Primary topology.TargetID
	Targets map[topology.TargetID]Seen
	heard   timeline
}

// Seen is the latest that is known of one target.
type Seen struct {
	Known   bool // an answer of the target is known
	Applied topology.Position
	Lag     time.Duration // upper bound on the data's age in the latest answer
	At      time.Time     // when Applied was first heard of, or last found too low or too old
	Behind  time.Duration // lower bound on its lag at Refused
	Refused time.Time     // when it was last found behind a floor
	Failed  time.Time     // when a request last failed for the target's health, zero if an answer came since
}

// NewKnowledge returns the knowledge of a group of which nothing was heard.
func NewKnowledge() *Knowledge {
	return &Knowledge{Targets: make(map[topology.TargetID]Seen)}
}

// LearnPrimary takes who is primary at a term.
func (k *Knowledge) LearnPrimary(term uint64, primary topology.TargetID) {
	if term > k.Term || (term == k.Term && k.Primary == "") {
		k.Term = term
		k.Primary = primary
	}
}

// Learn takes what came with an answer.
func (k *Knowledge) Learn(hint pool.Hint, now time.Time) {
	if hint.Primary != "" {
		k.LearnPrimary(hint.Term, hint.Primary)
	}
	s := hint.Status
	if s.Target == "" {
		return
	}
	if s.Role == target.Primary {
		k.LearnPrimary(s.Term, s.Target)
	}
	seen := k.Targets[s.Target]
	if !seen.Known || seen.Applied != s.Applied { // holders repeat a status for some time
		seen.At = now
	}
	seen.Known = true
	seen.Applied = s.Applied
	seen.Lag = hint.Age
	seen.Failed = time.Time{}
	k.Targets[s.Target] = seen
}

// Hear takes a position that exists by now.
func (k *Knowledge) Hear(pos topology.Position, now time.Time) { k.heard.hear(pos, now) }

// FloorAge returns how long the position has existed at least, false if it
// isn't known.
func (k *Knowledge) FloorAge(floor topology.Position, now time.Time) (time.Duration, bool) {
	at, ok := k.heard.existedBy(floor)
	return now.Sub(at), ok
}

// LearnFailure takes a refusal of the target's holder.
func (k *Knowledge) LearnFailure(id topology.TargetID, code result.Code, now time.Time) {
	seen := k.Targets[id]
	switch code {
	case result.TargetDown, result.UnknownOutcome:
		seen.Failed = now
	case result.BehindFloor: // the holder has just asked the target
		seen.At = now
		seen.Refused = now
		seen.Behind = k.heard.behind(seen.Applied, now)
	case result.TooStale:
		seen.At = now
	}
	k.Targets[id] = seen
}

// lag returns a lower bound on the target's lag as long as it may be trusted.
func (s Seen) lag(now time.Time) time.Duration {
	if now.Sub(s.Refused) > behindFor {
		return 0
	}
	return s.Behind
}

// down tells whether the target failed lately.
func (s Seen) down(now time.Time) bool {
	return !s.Failed.IsZero() && now.Sub(s.Failed) < downFor
}
