package promotion

import (
	"context"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// clusterVoters stands for the voters of a group, which answer until they end. It is guarded by
// cluster.mu.
type clusterVoters struct {
	ended      time.Time         // zero until they have
	newest     topology.Position // recorded
	term       uint64            // lowest whose commits are recorded
	sealed     bool
	sealedTerm uint64
	orderedBy  *clusterHost // first holder that may have sent a request since the seal, nil if none
	ordered    topology.TargetID
	several    bool // another target may have been requested after that
	// dropped stands in the claim, and outlasts the voters. While there are any, commits are recorded
	// once another replica that the claim lists has received them.
	dropped [confirm.MaxDropped]topology.TargetID
}

func (v *clusterVoters) droppedTargets() []topology.TargetID {
	e := confirm.Electorate{Dropped: v.dropped}
	return e.DroppedTargets()
}

// record records the position of a commit in a leader's term, unless that may be over.
func (v *clusterVoters) record(term uint64, position topology.Position) bool {
	if v.sealed || !v.ended.IsZero() || term < v.term {
		return false
	}
	v.newest = topology.Later(v.newest, position)
	return true
}

// end ends all voters, and with them what they have recorded and heard of requests.
func (v *clusterVoters) end() {
	*v = clusterVoters{ended: time.Now(), sealed: true, term: v.term, dropped: v.dropped}
}

// received returns the newest position that a replica is proved to have received which the claim
// lists, which the holder reaches and which isn't dropped.
func (c *cluster) received(dropped []topology.TargetID) (newest topology.Position) {
	for _, m := range countingReplicas(c.claim.members, dropped) {
		if t := c.find(m.ID); t != c.leader && t.running && !t.cutFromHolder && c.host != nil {
			newest = topology.Later(newest, t.position())
		}
	}
	return newest
}

// hostCommits implements Commits for a holder of the duty.
type hostCommits struct {
	host   *clusterHost
	voters *clusterVoters
}

// held locks cluster.mu and reports whether the host still holds the duty.
func (h *hostCommits) held() (held bool, unlock func()) {
	c := h.host.cluster
	c.mu.Lock()
	return c.claim.holder == h.host, c.mu.Unlock
}

func (h *hostCommits) Seal(_ context.Context, _ topology.GroupID, term uint64) confirm.Sealing {
	held, unlock := h.held()
	defer unlock()
	if !held {
		return confirm.Sealing{}
	}
	v := h.voters
	dropped := v.droppedTargets()
	v.sealed, v.sealedTerm = true, max(v.sealedTerm, term)
	if !v.ended.IsZero() {
		return confirm.Sealing{Closed: true, ClosedAt: v.ended, Dropped: dropped}
	}
	return confirm.Sealing{Closed: true, Known: true, Floor: v.newest, Dropped: dropped}
}

func (h *hostCommits) Dropped(topology.GroupID) []topology.TargetID {
	_, unlock := h.held()
	defer unlock()
	return h.voters.droppedTargets()
}

// drop writes the targets to be dropped, if others have received what was passed on. Targets
// that count again need no proof.
func (h *hostCommits) drop(leader confirm.Proof) {
	v, c := h.voters, h.host.cluster
	if v.dropped == leader.Dropped {
		return
	}
	next := confirm.Electorate{Dropped: leader.Dropped}
	adds := slices.ContainsFunc(next.DroppedTargets(), func(id topology.TargetID) bool { return !slices.Contains(v.droppedTargets(), id) })
	if adds && !c.received(next.DroppedTargets()).AtLeast(topology.Later(v.newest, leader.Position)) {
		return
	}
	v.dropped = leader.Dropped
	c.tracef("dropped targets: %v", v.droppedTargets())
}

func (h *hostCommits) Order(_ context.Context, _ topology.GroupID, target topology.TargetID) bool {
	held, unlock := h.held()
	defer unlock()
	if !held || !h.voters.sealed {
		return false
	}
	v := h.voters
	if v.orderedBy == nil {
		v.orderedBy, v.ordered = h.host, target
	}
	v.several = v.several || v.ordered != target
	return true
}

func (h *hostCommits) Maintain(_ context.Context, _ topology.GroupID, leader confirm.Proof) (needsSettled bool) {
	held, unlock := h.held()
	defer unlock()
	v := h.voters
	inherited := v.orderedBy != nil && v.orderedBy != h.host
	hadEffect := !v.several && leader.Target == v.ordered && leader.Term > v.sealedTerm
	mayOpen := leader.Settled || leader.NotOrdered && (!inherited || hadEffect)
	if !v.ended.IsZero() { // new ones begin with a position that the leader had since
		mayOpen = leader.Settled && leader.SentAt.After(v.ended)
	}
	if held && leader.Term > 0 && (mayOpen || !v.sealed) {
		h.drop(leader)
	}
	if !held || leader.Term == 0 || !v.sealed || !mayOpen {
		return held && leader.Term > 0 && v.sealed && (inherited || !v.ended.IsZero())
	}
	if !v.ended.IsZero() {
		v.ended, v.newest = time.Time{}, leader.Position
	}
	v.sealed, v.term, v.orderedBy, v.several = false, leader.Term, nil, false
	h.host.cluster.tracef("voters are opened for term %d", leader.Term)
	return false
}
