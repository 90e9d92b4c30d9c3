package promotion

import (
	"fmt"
	"slices"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// NextStep decides the next step from the latest probe results.
func NextStep(v View) Step {
	if demote := v.lingeringPrimaries(); len(demote.Targets) > 0 {
		return demote
	}
	if !v.Replace {
		return endPauses(v)
	}
	if id, ok := v.otherLeader(); ok {
		return Wait{Reason: string(id) + " reports that it leads a newer term"}
	}
	if step, decided := v.overrideOrdered(); decided {
		return step
	}
	candidate, ok := chooseCandidate(v)
	if !ok {
		return Wait{Reason: "no replica that could be promoted responds"}
	}
	if v.Ordered != "" && candidate.ID != v.Ordered {
		return Wait{Reason: "an earlier request may still promote another target"}
	}
	if step, decided := v.nextConfirmed(candidate); decided {
		return step
	}
	return v.nextByLogs(candidate)
}

// overrideOrdered decides what becomes of a request that may still be carried out, if its target lacks
// commits. A request for the leader, if it serves, changes nothing, and makes the platform refuse the
// earlier one. Otherwise another target is to be chosen.
func (v *View) overrideOrdered() (step Step, decided bool) {
	switch {
	case v.Ordered == "" || !v.MayOverride:
		return nil, false
	case v.Confirmed && v.MaySeal && !v.Sealing.Closed:
		return Seal{Term: v.logTerm()}, true // the voters tell what it may lack
	case !v.orderedLacksCommits():
		return nil, false
	case v.LeaderServes:
		return Promote{Target: v.Leader}, true
	}
	v.Ordered = ""
	return nil, false
}

// orderedLacksCommits reports whether the target whose promotion was requested lacks commits that
// callers may have heard of. It had them when it was requested, so it has started again without its
// log since, or had one that doesn't count.
func (v *View) orderedLacksCommits() bool {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == v.Ordered && m.Reach == Answered })
	if i < 0 {
		return false
	}
	received := v.Members[i].Status.Received
	if v.Sealing.Known || !v.Covering.IsZero() {
		return !received.AtLeast(v.Sealing.Floor) || !received.AtLeast(v.Covering)
	}
	return !received.AtLeast(v.Sealing.Floor) || slices.ContainsFunc(v.Members, func(m Member) bool {
		return m.ID != v.Leader && m.Reach == Answered && !received.AtLeast(m.Status.Received)
	})
}

// nextByLogs decides the next step from what the targets' logs tell. The candidate has every
// acknowledged commit if it has what all targets have that may hold one.
func (v *View) nextByLogs(candidate Member) Step {
	others := v.otherReplicas(candidate.ID)
	if uncertain := v.uncertain(candidate); len(uncertain) >= max(v.AckReplicas, 1) {
		return Wait{Reason: fmt.Sprintf("%d replicas can't be paused and may have received more commits", len(uncertain)), For: uncertain}
	}
	if pause := replicasToPause(*v, others); len(pause.Targets) > 0 {
		return pause
	}
	if v.Confirmed && !v.RegisterRead {
		return Wait{Reason: "the store does not tell which targets are registered"}
	}
	if unproved := v.unproved(candidate); len(unproved) >= max(v.AckReplicas, 1) {
		return Wait{Reason: fmt.Sprintf("%d targets may have started again without the logs that they had", len(unproved)), For: unproved}
	}
	for _, m := range append(others, candidate) {
		if m.Reach == Answered && !(candidate.Status.Received.AtLeast(m.Status.Received) && candidate.Status.Received.AtLeast(m.LogTold)) {
			return v.catchUp(candidate, "the candidate lacks commits that "+string(m.ID)+" has received")
		}
	}
	if v.LeaderServes && !candidate.Status.Received.AtLeast(v.LeaderPosition) {
		return v.catchUp(candidate, "the candidate lacks commits that the leader has")
	}
	return Promote{Target: candidate.ID}
}

// nextConfirmed decides the next step where callers hear of confirmed commits only. Once
// the voters are sealed, the candidate needs what they have recorded, whatever other
// replicas have. If too many voters have ended to tell what that is, a target that has been
// proved to lead since does. decided is false if there is none: then only the targets' logs can.
func (v *View) nextConfirmed(candidate Member) (step Step, decided bool) {
	switch {
	case !v.Confirmed:
		return nil, false
	case v.LeaderServes && !v.Sealing.Closed && !candidate.Status.Received.AtLeast(v.LeaderPosition):
		return v.catchUp(candidate, "the candidate lacks commits that the leader has"), true
	case !v.MaySeal:
		return Wait{Reason: "the candidate did not catch up with the leader in time"}, true
	case !v.Sealing.Closed:
		return Seal{Term: v.logTerm()}, true
	case !candidate.Status.Received.AtLeast(v.Sealing.Floor):
		return v.catchUp(candidate, "the candidate lacks commits that callers have heard of"), true
	case v.Sealing.Known || !v.Covering.IsZero() && candidate.Status.Received.AtLeast(v.Covering):
		return Promote{Target: candidate.ID}, true
	case v.LeaderServes && v.Covering.IsZero():
		return Wait{Reason: "the leader has not told its position since the voters were sealed"}, true
	}
	return nil, false
}

// catchUp returns the step for a candidate that lacks commits. It may be paused by an
// earlier attempt, which had another candidate.
func (v *View) catchUp(candidate Member, reason string) Step {
	if v.LeaderServes && v.MayEndPauses && candidate.Status.PausedTerm > 0 && !candidate.MayBeNeeded {
		return Resume{Targets: []topology.TargetID{candidate.ID}}
	}
	return Wait{Reason: reason}
}

// lingeringPrimaries returns a Demote step for the targets that report that they lead
// a term that has ended. Until then they don't follow the present leader.
func (v *View) lingeringPrimaries() Demote {
	demote := Demote{Term: v.LeaderTerm}
	for _, m := range v.Members {
		if m.Reach == Answered { // the term of a pause isn't one that a target leads
			demote.Term = max(demote.Term, m.Status.Term, m.Status.Received.Term)
		}
	}
	for _, m := range v.Members {
		if m.Reach == Answered && m.Status.Primary && m.ID != v.Leader && m.Status.Term < demote.Term {
			demote.Targets = append(demote.Targets, m.ID)
		}
	}
	return demote
}

// endPauses returns a Resume step for the pauses left by earlier attempts.
func endPauses(v View) Step {
	var paused []topology.TargetID
	for _, m := range v.Members {
		if m.Reach == Answered && m.Status.PausedTerm > 0 && !m.MayBeNeeded {
			paused = append(paused, m.ID)
		}
	}
	if len(paused) > 0 {
		return Resume{Targets: paused}
	}
	return NoAction{}
}

// chooseCandidate returns the replica to promote: the most up-to-date of those that
// answer and aren't leaving. Among equally up-to-date replicas, one whose pause may
// still end (MayResume) comes first, then the lowest ID.
func chooseCandidate(v View) (best Member, ok bool) {
	for _, m := range v.Members {
		if m.ID == v.Leader || m.Reach != Answered || m.Leaving && m.ID != v.Ordered {
			continue
		}
		if m.ID == v.Ordered {
			return m, true
		}
		if !ok || m.preferredOver(best) {
			best, ok = m, true
		}
	}
	return best, ok
}

// preferredOver reports whether m is a better candidate than other.
func (m Member) preferredOver(other Member) bool {
	if c := m.Status.Received.Compare(other.Status.Received); c != 0 {
		return c > 0
	}
	if m.MayResume != other.MayResume {
		return m.MayResume // its pause may end, so it can't be counted on as one of the paused replicas
	}
	return m.ID < other.ID
}

// otherLeader returns a target other than the known leader that reports itself
// primary in the highest term. Such a target was promoted by someone else, and the
// next probe of the leader proves it.
func (v *View) otherLeader() (topology.TargetID, bool) {
	term := v.highestTerm()
	for _, m := range v.Members {
		if m.ID != v.Leader && m.Reach == Answered && m.Status.Primary && m.Status.Term == term {
			return m.ID, true
		}
	}
	return "", false
}

// otherReplicas returns the replicas other than the candidate that may hold commits.
// A Reassigned target is left out, since another registered target has its address, and so is one
// that was dropped: others have received every commit that was passed on since.
func (v *View) otherReplicas(candidate topology.TargetID) []Member {
	var list []Member
	for _, m := range v.Members {
		if m.ID != candidate && m.ID != v.Leader && m.Reach != Reassigned && !slices.Contains(v.Sealing.Dropped, m.ID) {
			list = append(list, m)
		}
	}
	return list
}

// deciding returns the replicas whose logs decide whether the candidate has every commit that was
// passed on: the candidate's own, unless it was dropped, and those of the others.
func (v *View) deciding(candidate Member) []Member {
	list := v.otherReplicas(candidate.ID)
	if !slices.Contains(v.Sealing.Dropped, candidate.ID) {
		list = append(list, candidate)
	}
	return list
}

// replicasToPause returns a Pause step for the replicas that answer and still
// receive commits.
func replicasToPause(v View, others []Member) Pause {
	pause := Pause{Term: v.logTerm() + 1} // the promotion ends the pauses of its own term, and no later ones
	for _, m := range others {
		if m.Reach == Answered && m.Status.PausedTerm == 0 {
			pause.Targets = append(pause.Targets, m.ID)
		}
	}
	return pause
}

// mayComplete reports whether a promotion that was requested may still be completed: the
// target answered the latest probe and has its log.
func (v *View) mayComplete(id topology.TargetID) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.ID == id && m.Reach == Answered && !m.LostLog })
}

// logTerm returns the highest term in which a target that answers has led or received.
func (v *View) logTerm() uint64 {
	term := uint64(0)
	for _, m := range v.Members {
		if m.Reach == Answered {
			term = max(term, m.Status.Term, m.Status.Received.Term)
		}
	}
	return term
}

// highestTerm is logTerm including the terms of pauses.
func (v *View) highestTerm() uint64 {
	term := v.logTerm()
	for _, m := range v.Members {
		if m.Reach == Answered {
			term = max(term, m.Status.PausedTerm)
		}
	}
	return term
}

// uncertain returns the replicas that may have received, or lost, a commit that the candidate
// lacks. A replica that was proved to have ended doesn't count if the candidate has reached a
// position that the leader had after that. Silence proves nothing, whoever hears it: a replica
// that no host reaches may receive from the leader.
func (v *View) uncertain(candidate Member) (list []topology.TargetID) {
	for _, m := range v.deciding(candidate) {
		if m.mayHoldMore(candidate) {
			list = append(list, m.ID)
		}
	}
	for _, m := range v.Members {
		if m.LostLog && !slices.Contains(v.Sealing.Dropped, m.ID) && (m.LostLogEnd.IsZero() || !candidate.Status.Received.AtLeast(m.LostLogEnd)) {
			list = append(list, m.ID)
		}
	}
	return list
}

// unproved returns the targets that may have lost, or received, a commit that the candidate lacks:
// those of uncertain, and those that answer with a log of which nothing proves that it is the one that
// they had when the voters were closed.
func (v *View) unproved(candidate Member) []topology.TargetID {
	list := v.uncertain(candidate)
	if !v.Confirmed {
		return list
	}
	for _, m := range v.deciding(candidate) {
		if m.Reach == Answered && !m.LogProved && !m.LostLog && !slices.Contains(list, m.ID) { // uncertain bounds a lost log
			list = append(list, m.ID)
		}
	}
	return list
}

// mayHoldMore reports whether a target's log, or the one that it had before it started again,
// may have a commit that the candidate lacks.
func (m *Member) mayHoldMore(candidate Member) bool {
	switch {
	case m.Reach == Answered:
		return m.Unregistered || m.MayResume && m.ID != candidate.ID
	case m.Covered && (m.Reach == Dead || m.Reach == Unresponsive):
		return false
	}
	return m.Reach != Dead || m.LogSince.IsZero() || !candidate.Status.Received.AtLeast(m.LogSince)
}
