package promotion

import (
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// dropAfter is how long a target must have been silent before it is dropped: longer than most
	// restarts and network partitions, since each change holds commits up for some round trips.
	dropAfter = 15 * time.Second
	// caughtUpMaxAge is how old the finding may be that a replica keeps up with the leader: it
	// covers three looks at the replicas.
	caughtUpMaxAge = 3 * maintainInterval
)

// replicaState is what decides whether a target other than the leader is dropped.
type replicaState struct {
	id      topology.TargetID
	dropped bool
	counts  bool // it may hold commits and isn't proved to have ended
	stays   bool // registered, not leaving, with its log
	// silentFor is the time since its last response, caughtUpFor the time since it was found
	// to have received what the leader had.
	silentFor, caughtUpFor time.Duration
}

// nextDropped returns the targets to be dropped, sorted. A silent target is dropped once enough
// other replicas keep up with the leader, and counts again once it does, too. The load that it answers
// is a replica that is gone for good: promotions would wait for it.
func nextDropped(states []replicaState, ackReplicas int) (dropped [confirm.MaxDropped]topology.TargetID) {
	keepUp := 0
	for _, s := range states {
		if s.stays && s.silentFor < dropAfter && s.caughtUpFor < caughtUpMaxAge {
			keepUp++
		}
	}
	var list []topology.TargetID
	for _, s := range states {
		hasReturned := s.stays && s.silentFor < dropAfter && s.caughtUpFor < caughtUpMaxAge
		isLost := s.silentFor >= dropAfter && keepUp >= max(1, ackReplicas)
		if s.counts && (s.dropped && !hasReturned || isLost) {
			list = append(list, s.id)
		}
	}
	slices.Sort(list)
	copy(dropped[:], list[:min(len(list), len(dropped))])
	return dropped
}

// droppedTargets returns the targets that commits of the leader needn't be received by.
func (w *Watcher) droppedTargets() [confirm.MaxDropped]topology.TargetID {
	now, present := steady.Now(), w.opts.Commits.Dropped(w.opts.Group)
	var states []replicaState
	for id, pr := range w.probers {
		if id == w.leader {
			continue
		}
		states = append(states, replicaState{
			id: id, dropped: slices.Contains(present, id), counts: w.mayHoldCommits(id, pr),
			stays:     pr.unregisteredFor == 0 && !pr.target.Leaving && pr.lostLogSince.IsZero(),
			silentFor: now.Sub(pr.aliveAt), caughtUpFor: now.Sub(pr.caughtUpAt),
		})
	}
	return nextDropped(states, w.ackReplicas())
}
