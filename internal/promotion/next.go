package promotion

import (
	"fmt"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Next decides the next step.
func Next(v View) Step {
	if !v.Replace {
		return afterwards(v)
	}
	if id, ok := v.otherLeader(); ok {
		return Hold{Reason: string(id) + " says that it leads a newer term"}
	}
	candidate, ok := choose(v)
	if !ok {
		return Hold{Reason: "no replica can be promoted"}
	}
	others := v.others(candidate.ID)
	if n := unsure(others, candidate); n >= max(v.AckReplicas, 1) {
		return Hold{Reason: fmt.Sprintf("%d replicas can't be paused and may have acknowledged commits", n)}
	}
	if pause := toPause(v, others); len(pause.Targets) > 0 {
		return pause
	}
	for _, m := range others {
		if m.Reach == Answered && !candidate.Status.Received.AtLeast(m.Status.Received) {
			return Hold{Reason: "the candidate lacks what " + string(m.ID) + " has received"}
		}
	}
	return Promote{Target: candidate.ID}
}

// afterwards ends the pauses that an attempt left behind.
func afterwards(v View) Step {
	var paused []topology.TargetID
	for _, m := range v.Members {
		if m.Reach == Answered && m.Status.PausedTerm > 0 {
			paused = append(paused, m.ID)
		}
	}
	if len(paused) > 0 {
		return Resume{Targets: paused}
	}
	return Rest{}
}

// choose returns the replica to promote: the furthest of those that answer and
// stay. Among equals a paused one comes first, since it was the candidate of
// the look before or needs no further order.
func choose(v View) (best Member, ok bool) {
	for _, m := range v.Members {
		if m.ID == v.Leader || m.Reach != Answered || m.Leaving {
			continue
		}
		if !ok || m.betterThan(best) {
			best, ok = m, true
		}
	}
	return best, ok
}

func (m Member) betterThan(other Member) bool {
	if c := m.Status.Received.Compare(other.Status.Received); c != 0 {
		return c > 0
	}
	if m.MayResume != other.MayResume {
		return m.MayResume // it can't be relied on to stay paused
	}
	return m.ID < other.ID
}

// otherLeader returns a target besides the known leader that says it leads the
// highest term: somebody else had it promoted, and the next look proves it.
func (v *View) otherLeader() (topology.TargetID, bool) {
	term := v.highestTerm()
	for _, m := range v.Members {
		if m.ID != v.Leader && m.Reach == Answered && m.Status.Primary && m.Status.Term == term {
			return m.ID, true
		}
	}
	return "", false
}

// others returns the replicas besides the candidate.
func (v *View) others(candidate topology.TargetID) []Member {
	var list []Member
	for _, m := range v.Members {
		if m.ID != candidate && m.ID != v.Leader && m.Reach != Gone {
			list = append(list, m)
		}
	}
	return list
}

// toPause lists the replicas that answer and still receive.
func toPause(v View, others []Member) Pause {
	pause := Pause{Term: v.highestTerm() + 1}
	for _, m := range others {
		if m.Reach == Answered && m.Status.PausedTerm == 0 {
			pause.Targets = append(pause.Targets, m.ID)
		}
	}
	return pause
}

func (v *View) highestTerm() uint64 {
	term := uint64(0)
	for _, m := range v.Members {
		if m.Reach == Answered {
			term = max(term, m.Status.Term, m.Status.PausedTerm, m.Status.Received.Term)
		}
	}
	return term
}

// unsure counts the replicas that may have received a commit which the
// candidate lacks. A dead one hasn't if the candidate has what the leader had
// after its death.
func unsure(others []Member, candidate Member) int {
	n := 0
	for _, m := range others {
		switch {
		case m.Reach == Answered && !m.MayResume:
		case m.Reach == Dead && !m.LogSince.IsZero() && candidate.Status.Received.AtLeast(m.LogSince):
		default:
			n++
		}
	}
	return n
}
