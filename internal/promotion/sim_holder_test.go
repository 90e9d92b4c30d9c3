package promotion

import (
	"slices"
	"time"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// simHost is a simulated host that may hold the duty.
type simHost struct {
	id             int
	requests       requestState
	token          uint64 // token of the newest claim that the host knows
	holder         int    // holder of that claim
	state          duty.Leadership
	update         int
	pendingUntil   time.Time
	suspendedUntil time.Time
	partitioned    bool           // no contact with any other host
	peerHeardAt    time.Time      // when this host last heard from the other one, directly or by gossip
	contact        gossip.Contact // with the hosts outside the simulation
	acquiredAt     time.Time
	nextStep       Step // decided in one tick and performed in a later one
	viewedAt       time.Time
	awaitingUntil  time.Time // waits until then for its promotion to take effect
	gossipedAt     time.Time // when the hosts outside the simulation last heard from this host, as known to all of them
	leases         holderLeases
}

// claimState is the claim on the duty.
type claimState struct {
	token  uint64
	holder int
	state  duty.Leadership // as recorded by the holders
	update int             // increases with each record
}

// exchangeGossip lets a host hear from the other one, directly or through the hosts
// outside the simulation, learn the claim and acquire the duty if its holder is
// silent for too long.
func (w *simulation) exchangeGossip(h, other *simHost) {
	if w.gossipedClaim != w.storedClaim && w.now.Sub(w.claimedAt) >= gossipDelay {
		w.gossipedClaim = w.storedClaim
	}
	if !h.partitioned {
		h.contact.Record(w.now, w.now)
		if w.chance(30, "a round of gossip") {
			h.gossipedAt = w.now
		}
		w.learn(h, w.gossipedClaim)
		h.peerHeardAt = laterTime(h.peerHeardAt, other.gossipedAt)
	}
	if !h.partitioned && !other.partitioned && !w.now.Before(other.suspendedUntil) {
		h.peerHeardAt = w.now
		w.learn(h, claimState{other.token, other.holder, other.state, other.update})
	}
	silentFor := w.now.Sub(h.peerHeardAt)
	if h.holder == h.id || h.partitioned || silentFor < duty.TakeoverAfter {
		return
	}
	if h.token != w.storedClaim.token { // the compare-and-swap fails, and the host learns the newer claim
		w.learn(h, w.storedClaim)
		return
	}
	h.pendingUntil = w.now.Add(max(0, duty.RequestEffectWindow-silentFor))
	w.acquireDuty(h)
	w.tracef("host %d acquires the duty, token %d", h.id, h.token)
}

func (w *simulation) learn(h *simHost, c claimState) {
	if c.token > h.token || c.token == h.token && c.update > h.update {
		h.token, h.holder, h.state, h.update = c.token, c.holder, c.state, c.update
	}
}

// acquireDuty writes the host's claim to the store.
func (w *simulation) acquireDuty(h *simHost) {
	w.storedClaim = claimState{token: w.storedClaim.token + 1, holder: h.id, state: w.storedClaim.state}
	w.claimedAt, h.acquiredAt = w.now, w.now
	w.learn(h, w.storedClaim)
}

func (w *simulation) view(h *simHost) View {
	v := View{AckReplicas: 1, Leader: w.leader.id, Replace: w.leader.down}
	for _, r := range w.targets {
		m := Member{ID: r.id, Reach: Answered, Status: statement.TargetStatus{Term: w.term, Received: r.position(), PausedTerm: r.paused}}
		if r.down {
			m = Member{ID: r.id, Reach: Dead}
		}
		v.Members = append(v.Members, m)
	}
	v.Members = slices.DeleteFunc(v.Members, func(m Member) bool { return m.ID == v.Leader })
	return v
}

// act lets a holder probe the targets in one tick and perform the step in the next
// one, so that the host may be suspended in between. The holder's authority is
// checked right before the step.
func (w *simulation) act(h *simHost) {
	if h.holder != h.id {
		h.requests.clearToken()
		h.nextStep, h.leases.term = nil, 0
		return
	}
	h.requests.noteToken(h.token, h.state.Ordered, w.now)
	if w.unfenced() && !w.awaitEffect(h) {
		w.followLeader(h)
	}
	if w.now.Before(h.awaitingUntil) {
		return
	}
	if w.disabled.resume {
		h.requests.resumeAfter = time.Time{}
	}
	if h.nextStep == nil {
		h.viewedAt = w.now
		h.nextStep = w.decide(h)
		return
	}
	auth := authority{settled: h.contact.Settled(h.acquiredAt, w.now) || w.disabled.authority, pendingUntil: h.pendingUntil}
	if w.unfenced() {
		w.addLeaseAuthority(h, &auth)
	}
	if w.disabled.pending {
		auth.pendingUntil = time.Time{}
	}
	w.perform(h, authorize(h.nextStep, auth, w.now))
	h.nextStep = nil
}

// decide returns the holder's next step.
func (w *simulation) decide(h *simHost) Step {
	if w.unfenced() {
		return w.decideWithLeases(h)
	}
	return NextStep(w.view(h))
}

func (w *simulation) perform(h *simHost, step Step) {
	switch s := step.(type) {
	case Pause:
		w.tracef("host %d pauses %v", h.id, s.Targets)
		for _, id := range s.Targets {
			if r := w.find(id); !r.down && w.chance(80, "pause arrives") {
				r.paused = s.Term
			}
		}
	case Resume:
		if h.requests.mayResume(w.now) {
			w.tracef("host %d resumes %v", h.id, s.Targets)
			for _, id := range s.Targets {
				w.find(id).paused = 0
			}
		}
	case Demote:
		for _, id := range s.Targets {
			if t := w.find(id); t.lingers && !t.down && w.chance(80, "demotion arrives") {
				t.lingersUntil = w.now
			}
		}
	case Promote:
		if w.now.Sub(h.viewedAt) <= suspendedAfter {
			w.requestPromotion(h, s.Target)
		}
	}
}

// requestPromotion sends a promotion request. Its answer may be lost, and then the
// request may arrive late.
func (w *simulation) requestPromotion(h *simHost, target topology.TargetID) {
	if h.requests.needsToken(target) && !w.disabled.unresolved {
		if h.token != w.storedClaim.token || h.partitioned {
			return
		}
		w.acquireDuty(h)
		h.requests.noteRenewal(h.token)
	}
	if w.unfenced() && !w.recordOrder(h, target) {
		return
	}
	h.requests.noteRequest(target)
	w.tracef("host %d requests the promotion of %s, token %d", h.id, target, h.token)
	c := pendingCall{target: target, token: h.token, dueAt: w.now}
	if w.chance(30, "no answer") {
		c.dueAt = w.now.Add(time.Duration(rapid.Int64Range(0, int64(w.maxRequestDelay())).Draw(w.t, "late")))
		w.calls = append(w.calls, c)
		h.requests.noteOutcome(Unanswered, w.now)
		return
	}
	outcome := w.acceptRequest(c)
	h.requests.noteOutcome(outcome, w.now)
	switch {
	case outcome == Accepted && w.unfenced():
		h.awaitingUntil, h.leases.ordered = w.now.Add(effectTimeout), target
	case outcome == Accepted:
		h.awaitingUntil = w.now.Add(promotionDelay)
	}
}
