package promotion

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/lease"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// maxUnfencedRequestDelay is the longest delay of an unanswered request.
	maxUnfencedRequestDelay = 4 * time.Second
	// maxLinger is the longest time for which a replaced leader goes on to lead.
	maxLinger   = 8 * time.Second
	readerCount = 3
)

// holderLeases is what a holder knows of the leader and granted on it.
type holderLeases struct {
	grants  lease.Grants
	leader  topology.TargetID // that the holder believes in
	term    uint64            // lower bound of its term
	replace bool              // the holder wants to replace a leader that serves
	since   time.Time         // when that began
	ordered topology.TargetID // whose promotion was accepted and has not been seen to take effect
}

func (w *simulation) unfenced() bool { return len(w.readers) > 0 }

// linger makes a replaced leader go on to lead for a while.
func (w *simulation) linger(t *simTarget) {
	t.lingers = true
	t.lingersUntil = w.now.Add(time.Duration(rapid.Int64Range(0, int64(maxLinger)).Draw(w.t, "lingers")))
}

// endLingering makes replaced leaders replicas.
func (w *simulation) endLingering() {
	for _, t := range w.targets {
		if t.lingers && !t.down && t != w.leader && w.now.After(t.lingersUntil) {
			t.lingers, t.term, t.paused = false, w.term, 0
			t.truncateToCommonPrefix(w.leader)
		}
	}
}

// leads reports whether the target believes that it leads.
func (w *simulation) leads(t *simTarget) bool { return !t.down && (t == w.leader || t.lingers) }

// awaitEffect waits for the effect of an accepted request, as Watcher.awaitEffect does.
// It returns false if the holder waits for none.
func (w *simulation) awaitEffect(h *simHost) bool {
	l := &h.leases
	if l.ordered == "" {
		return false
	}
	if t := w.find(l.ordered); w.leads(t) {
		l.leader, l.replace, h.awaitingUntil = t.id, false, w.now
		l.term++
		h.requests.verified = t.id
		ordered := l.ordered
		if h.requests.noteSettled() {
			ordered = ""
		}
		l.ordered = ""
		w.record(h, ordered)
		return false
	}
	if w.now.Before(h.awaitingUntil) {
		return true
	}
	h.requests.unanswered = true
	l.ordered = ""
	return false
}

// recordOrder records an order for the holders that follow.
func (w *simulation) recordOrder(h *simHost, target topology.TargetID) bool {
	h.requests.noteSent(target, w.now)
	return w.record(h, target)
}

// record writes the holder's claim. It returns false if another host holds the duty. A
// host that is cut off reaches the store as well.
func (w *simulation) record(h *simHost, ordered topology.TargetID) bool {
	state := duty.Leadership{Leader: h.leases.leader, Term: h.leases.term, Ordered: ordered}
	if w.storedClaim.token != h.token {
		return false
	}
	h.state, h.update = state, h.update+1
	w.storedClaim.state, w.storedClaim.update = h.state, h.update
	w.claimedAt = w.now
	return true
}

// followLeader lets a holder prove the leader and grant leases, as Watcher.tick does.
func (w *simulation) followLeader(h *simHost) {
	l := &h.leases
	if l.replace && w.now.Sub(l.since) > 3*time.Second {
		l.replace = false
	}
	if !l.replace && w.chance(3, "planned change") {
		l.replace, l.since = true, w.now
	}
	if l.term == 0 && h.state.Leader != "" && !w.off("record") {
		l.leader, l.term = h.state.Leader, h.state.Term
	}
	if !w.leads(w.find(l.leader)) {
		w.findLeader(h)
		return
	}
	if h.requests.verified != l.leader {
		w.verifyLeader(h)
	}
	pending := h.requests.pendingTarget(w.now)
	if h.state.Ordered != "" && h.requests.verified == l.leader && pending == "" {
		h.requests.unanswered = false
		w.record(h, "")
	}
	otherPending := pending != "" && pending != l.leader
	granting := h.requests.verified == l.leader && !(otherPending && !w.off("settle"))
	_, promoting := h.nextStep.(Promote)
	switch {
	case !granting:
		l.grants.Stop()
	case !promoting || w.off("stop"):
		l.grants.Allow(l.leader, h.requests.token, w.now)
	}
}

// findLeader makes the holder believe in another target that leads a later term, if
// there is one.
func (w *simulation) findLeader(h *simHost) {
	known := max(h.leases.term, h.state.Term)
	if w.off("record") {
		known = 0
	}
	first := rapid.IntRange(0, len(w.targets)-1).Draw(w.t, "first probed")
	for i := range w.targets {
		t := w.targets[(first+i)%len(w.targets)]
		if t.id != h.leases.leader && w.leads(t) && t.term > known {
			h.leases.leader = t.id
			return
		}
	}
}

// verifyLeader compares the leader that a new holder found with the other targets.
func (w *simulation) verifyLeader(h *simHost) {
	leader := w.find(h.leases.leader)
	view := w.leaseView(h)
	recorded := h.state.Term
	if w.off("record") {
		recorded = 0
	}
	current := isCurrentLeader(w.status(leader), &view, recorded) || w.off("verify")
	w.tracef("host %d compares %s (term %d) with term %d: %t", h.id, leader.id, leader.term, recorded, current)
	if !current {
		w.findLeader(h)
		return
	}
	h.requests.verified, h.leases.term = leader.id, leader.term
	w.record(h, h.requests.pendingTarget(w.now))
}

func (w *simulation) status(t *simTarget) statement.TargetStatus {
	return statement.TargetStatus{Primary: w.leads(t), Term: t.term, Received: t.position(), PausedTerm: t.paused}
}

// leaseView is what a holder sees that believes in its own leader.
func (w *simulation) leaseView(h *simHost) View {
	l := &h.leases
	pending := h.requests.pendingTarget(w.now)
	if w.off("pending request") {
		pending = ""
	}
	v := View{AckReplicas: 1, Leader: l.leader, LeaderTerm: l.term, Ordered: pending}
	v.Replace = w.find(l.leader).down || l.replace || pending != "" && pending != l.leader
	for _, t := range w.targets {
		m := Member{ID: t.id, Reach: Answered, Status: w.status(t)}
		if t.down {
			m = Member{ID: t.id, Reach: Dead}
		}
		if t.id != l.leader {
			v.Members = append(v.Members, m)
		}
	}
	return v
}

func (w *simulation) decideWithLeases(h *simHost) Step {
	step := NextStep(w.leaseView(h))
	if _, ok := step.(Promote); ok && !w.off("stop") {
		h.leases.grants.Stop()
		hosts, _ := h.leases.grants.Outstanding(w.now)
		for _, r := range w.readers {
			if slices.Contains(hosts, r.id) {
				w.revoke(h, r)
			}
		}
	}
	return step
}

// revoke asks a reader to end its lease. The confirmation may be lost.
func (w *simulation) revoke(h *simHost, r *simReader) {
	if h.partitioned || r.partitioned || w.now.Before(r.suspendedUntil) || !w.chance(70, "revocation arrives") {
		return
	}
	r.held.Revoke(h.token, r.clock(w.now))
	if w.chance(80, "confirmation arrives") {
		h.leases.grants.ConfirmEnd(r.id, h.leases.grants.Period())
	}
}

func (w *simulation) addLeaseAuthority(h *simHost, a *authority) {
	_, outstanding := h.leases.grants.Outstanding(w.now)
	if w.off("outstanding") {
		outstanding = time.Time{}
	}
	if !w.off("predecessor") {
		outstanding = laterTime(outstanding, h.requests.predecessorLeases)
	}
	a.leasesUntil = outstanding
}

// off reports whether a mechanism is turned off. It is set by hand to check that the
// property then fails.
func (w *simulation) off(mechanism string) bool { return mechanism == disabledMechanism }

var disabledMechanism = ""

// No read under a lease misses an acknowledged commit, and no promotion loses one,
// though replaced leaders go on to lead, the platform takes requests late and under
// lower tokens, hosts are frozen and cut off, and clocks drift.
func TestNoReadMissesAnAcknowledgedCommit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		for i := range readerCount {
			w.readers = append(w.readers, &simReader{id: topology.HostID(rune('a' + i)), drift: rapid.IntRange(-8, 8).Draw(t, "drift")})
		}
		for _, target := range w.targets {
			target.term = w.term
		}
		for _, h := range w.hosts {
			h.leases.leader, h.leases.term = w.leader.id, w.term
		}
		w.run()
	})
}
