package confirm

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ErrWriteInDoubt is returned if a changed electorate may or may not reach the store.
var ErrWriteInDoubt = errors.New("the write of the electorate may still be carried out")

// Duty is this host's state as the holder of the groups' duties. See duty.Keeper.
type Duty interface {
	// Token returns the group's fencing token and whether this host holds the duty.
	Token(topology.GroupID) (token uint64, held bool)
	// Electorate returns the group's electorate in the newest known claim.
	Electorate(topology.GroupID) Electorate
	// RecordElectorate reads the claim, calls prepare and writes the electorate that it
	// returns, unless the claim has changed. It returns when the store has it. An error other
	// than ErrWriteInDoubt means that the store doesn't get it.
	RecordElectorate(ctx context.Context, id topology.GroupID, prepare func(context.Context) (Electorate, error)) error
}

const (
	// chooseInterval is the time between looks at the fleet for voters to replace. A look
	// costs time in proportion to the number of hosts.
	chooseInterval = 500 * time.Millisecond
	// changeInterval is the time between changes of a group's electorate.
	changeInterval = 1 * time.Second
	// ChangeTimeout bounds one change. Commits wait meanwhile.
	ChangeTimeout = 1 * time.Second
	// unknownGoneAfter is how long after its start a holder takes a voter for ended of
	// whose host it has heard nothing.
	unknownGoneAfter = 30 * time.Second
)

// HolderOptions configures a Holder.
type HolderOptions struct {
	Self  topology.HostID
	Local *Voters
	Peers peer.Caller
	Duty  Duty
	// Processes returns what this host knows of the fleet's processes.
	Processes func() []Process
	// NotOrdered reports whether the claim on a group's duty shows that no earlier holder sent
	// a request for a promotion that may still be carried out. nil: claims don't show it.
	NotOrdered func(topology.GroupID) bool
	// Restored reports whether the store came back from an older copy, whose electorate may drop
	// targets that count again. nil: it never does.
	Restored func() bool
	// Receipts proves that other replicas have what a target to be dropped may have received.
	Receipts Receipts
	Log      logr.Logger
}

// Holder seals and opens the voters of the groups whose duty this host holds, and replaces
// voters that have ended. Calls for one group must not overlap.
type Holder struct {
	opts      HolderOptions
	link      link
	startedAt time.Time

	mu     sync.Mutex
	groups map[topology.GroupID]*tenure
}

// NewHolder returns a Holder that has given no instruction yet.
func NewHolder(opts HolderOptions) *Holder {
	return &Holder{opts: opts, startedAt: steady.Now(), link: link{self: opts.Self, local: opts.Local, peers: opts.Peers}, groups: map[topology.GroupID]*tenure{}}
}

// tenure is this host's work on one epoch of a group under one token.
type tenure struct {
	token, epoch uint64
	since        uint64 // first token of this host without another holder since
	number       uint64 // of the latest ballot
	adopted      bool   // earlier holders can't seal the voters any more
	sealed       bool   // voters may be sealed
	inherited    inherited
	sealing      *poll     // the present seal of this host
	closedAt     time.Time // when it was closed, zero if it isn't
	opening      *poll     // voters that have been opened since
	openTerm     uint64
	chosenAt     time.Time // when voters were last chosen
	changedAt    time.Time // latest attempt to change the electorate
	inDoubt      *change   // a change that the store may or may not get
}

// Sealing is the outcome of a seal.
type Sealing struct {
	// Closed is set if no host passes on a commit until the voters are opened.
	Closed bool
	// ClosedAt is when Closed was found, on the clock of package steady. It is zero if the
	// group has no voters: then no host passes on a commit of it.
	ClosedAt time.Time
	// Known is set if Floor is at or after every position that was passed on.
	Known bool
	Floor topology.Position
	// Ended is the number of voters that are known to have ended.
	Ended int
	// Dropped are the targets that no promotion waits for.
	Dropped []topology.TargetID
	// Unanswered are voters that neither answer nor are known to have ended.
	Unanswered []topology.HostID
}

// tenure returns the state for the group's present token and epoch.
func (h *Holder) tenure(id topology.GroupID, token, epoch uint64) *tenure {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.groups[id]
	if t == nil || t.token != token || t.epoch != epoch {
		t = t.next(token, epoch)
		h.groups[id] = t
	}
	return t
}

// next returns the state under another token or for another epoch.
func (t *tenure) next(token, epoch uint64) *tenure {
	renewed := t != nil && (token == t.token || token == t.token+1) // no other host has held the duty since
	switch {
	case !renewed:
		return &tenure{token: token, since: token, epoch: epoch}
	case epoch != t.epoch: // of this host
		return &tenure{token: token, since: t.since, epoch: epoch, number: t.number, adopted: true, changedAt: t.changedAt}
	}
	renewal := *t
	renewal.token = token
	return &renewal
}

// Seal stops the confirmation of commits, before the leader is replaced. term is a lower
// bound of its term. Repeated calls ask the voters that haven't answered.
func (h *Holder) Seal(ctx context.Context, id topology.GroupID, term uint64) Sealing {
	token, held := h.opts.Duty.Token(id)
	e := h.opts.Duty.Electorate(id)
	if !held {
		return Sealing{}
	}
	t := h.tenure(id, token, e.Epoch)
	if t.inDoubt != nil {
		h.write(ctx, id, t, t.inDoubt)
		return Sealing{} // by then the electorate may be another one
	}
	if len(e.Members()) == 0 {
		return Sealing{Closed: true}
	}
	h.seal(ctx, id, t, e, term)
	s := t.outcome()
	if h.opts.Restored != nil && h.opts.Restored() {
		s.Dropped = nil
	}
	return s
}

func (h *Holder) seal(ctx context.Context, id topology.GroupID, t *tenure, e Electorate, term uint64) {
	if t.sealing == nil {
		t.number++
		t.sealing, t.opening, t.closedAt = newPoll(e), nil, time.Time{}
		t.sealed = true
	}
	p := t.sealing
	if p.closed() && p.meetsEveryQuorum() {
		return
	}
	h.noteEnded(p)
	args := InstructArgs{Address: Address{Group: id}, Instruction: Instruction{Ballot: Ballot{Token: t.token, Number: t.number}, Action: Seal, Term: term}}
	h.link.instructAll(ctx, p, args, func() bool { return p.closed() && p.meetsEveryQuorum() })
	t.noteInherited(p)
	if p.closed() && t.closedAt.IsZero() {
		t.closedAt = steady.Now()
		h.opts.Log.Info("voters are sealed", "group", id, "epoch", e.Epoch, "term", term, "newest", p.newest().String(), "known", p.meetsEveryQuorum(), "ended", len(p.ended))
	}
}

// Order tells the voters that this host is about to request a promotion, after it has sealed
// them. It returns false if the request must not be sent: another holder may have opened
// the voters.
func (h *Holder) Order(ctx context.Context, id topology.GroupID, target topology.TargetID) bool {
	token, held := h.opts.Duty.Token(id)
	e := h.opts.Duty.Electorate(id)
	if !held {
		return false
	}
	t := h.tenure(id, token, e.Epoch)
	if len(e.Members()) == 0 {
		return t.inDoubt == nil
	}
	if t.sealing == nil || !t.sealing.closed() {
		return false
	}
	t.number++
	p := newPoll(e)
	h.noteEnded(p)
	args := InstructArgs{Address: Address{Group: id}, Instruction: Instruction{Ballot: Ballot{Token: t.token, Number: t.number}, Action: Order, Target: target}}
	h.link.instructAll(ctx, p, args, p.closed)
	return p.closed()
}

// noteEnded records the voters that are known to have ended.
func (h *Holder) noteEnded(p *poll) {
	processes := h.opts.Processes()
	knowsAll := steady.Now().Sub(h.startedAt) >= unknownGoneAfter
	for _, v := range p.electorate.Members() {
		if _, accepted := p.accepted[v]; !accepted && hasEnded(v, processes, knowsAll) {
			p.ended[v] = true
		}
	}
}

// hasEnded reports whether the voter's host has been silent for very long, or isn't known to
// a host that would know it. Another process on the host tells by itself that the voter has
// ended; news of it may be out of order.
func hasEnded(v Voter, processes []Process, knowsAll bool) bool {
	i := slices.IndexFunc(processes, func(p Process) bool { return p.Host == v.Host })
	if i < 0 {
		return knowsAll
	}
	return processes[i].Gone
}

func (t *tenure) outcome() Sealing {
	if t.sealing == nil {
		return Sealing{}
	}
	p := t.sealing
	s := Sealing{Closed: p.closed(), ClosedAt: t.closedAt, Known: p.closed() && p.meetsEveryQuorum(), Floor: p.newest(), Ended: len(p.ended), Dropped: p.electorate.DroppedTargets()}
	for _, v := range p.electorate.Members() {
		if _, accepted := p.accepted[v]; !accepted && !p.ended[v] {
			s.Unanswered = append(s.Unanswered, v.Host)
		}
	}
	return s
}

// Proof is a proof that a target leads its group.
type Proof struct {
	Target   topology.TargetID // the leader
	Position topology.Position // its position; the position's term may be an earlier one
	Term     uint64            // in which the target leads; 0: not known
	SentAt   time.Time         // when the request for it was sent
	// NotOrdered is set if no request of this host may still promote another target.
	NotOrdered bool
	// Settled is set if no request of any holder may.
	Settled bool
	// Dropped are the targets to be dropped, in the order of their IDs.
	Dropped [MaxDropped]topology.TargetID
}

// Maintain opens voters that are sealed, if no other target than the leader may be
// promoted, and replaces voters that have ended. It is called at intervals while a leader
// serves that isn't being replaced. It reports whether commits wait for a proof with Settled:
// a request of an earlier holder may still be carried out.
func (h *Holder) Maintain(ctx context.Context, id topology.GroupID, leader Proof) (needsSettled bool) {
	token, held := h.opts.Duty.Token(id)
	if !held || leader.Term == 0 {
		return false
	}
	e := h.opts.Duty.Electorate(id)
	if leader.Term < e.FromTerm {
		return false // it has been replaced
	}
	t := h.tenure(id, token, e.Epoch)
	if !t.adopted && !h.adopt(ctx, id, t, e) {
		return false
	}
	if (t.sealed || len(e.Members()) == 0) && !t.mayOpen(&leader) {
		return t.inherited.may
	}
	if t.inDoubt != nil {
		h.writeOrOpen(ctx, id, t, t.inDoubt)
		return false
	}
	if c := h.dueChange(t, e, leader); c != nil && h.mayChange(ctx, id, c) {
		h.writeOrOpen(ctx, id, t, c)
		return false
	}
	if len(e.Members()) > 0 {
		h.open(ctx, id, t, e, leader.Term)
	}
	return false
}

// Dropped returns the targets that the newest known electorate of a group dropped.
func (h *Holder) Dropped(id topology.GroupID) []topology.TargetID {
	e := h.opts.Duty.Electorate(id)
	return e.DroppedTargets()
}

// mayOpen reports whether commits of the leader's term may be passed on.
func (t *tenure) mayOpen(leader *Proof) bool {
	return leader.Settled || leader.NotOrdered && (!t.inherited.may || t.inherited.hadEffect(leader))
}

// adopt takes the voters over from earlier holders of the duty. A seal that it finds may
// be relied on by a request of one of them.
func (h *Holder) adopt(ctx context.Context, id topology.GroupID, t *tenure, e Electorate) bool {
	p := newPoll(e)
	h.noteEnded(p)
	t.number++
	args := InstructArgs{Address: Address{Group: id}, Instruction: Instruction{Ballot: Ballot{Token: t.token, Number: t.number}, Action: Adopt}}
	h.link.instructAll(ctx, p, args, func() bool { return p.hasQuorum() })
	if len(e.Members()) > 0 && len(p.accepted)+len(p.ended) < e.Quorum() {
		return false
	}
	t.noteInherited(p)
	if !p.hasQuorum() && h.mayBeOrdered(id, t) { // the voters that heard of the request have ended, or there were none
		t.inherited = t.inherited.merge(inherited{may: true, several: true})
	}
	t.adopted, t.sealed = true, len(e.Members()) > 0 // voters that haven't answered may be sealed, and are opened too
	h.opts.Log.Info("voters are taken over", "group", id, "epoch", e.Epoch, "ordered", t.inherited.may, "several", t.inherited.several, "term", t.inherited.term, "ended", len(p.ended))
	return true
}

// FirstToken is the token of a duty that was never held before.
const FirstToken = 1

// mayBeOrdered reports whether an earlier holder may have sent a request of which no voter
// that serves has heard.
func (h *Holder) mayBeOrdered(id topology.GroupID, t *tenure) bool {
	return t.since > FirstToken && (h.opts.NotOrdered == nil || !h.opts.NotOrdered(id))
}

// noteInherited records a request that an earlier holder may have sent. Once a quorum has
// accepted a ballot of this host, an earlier holder sends none any more.
func (t *tenure) noteInherited(p *poll) {
	t.inherited = t.inherited.merge(p.inherited(t.since))
	t.adopted = t.adopted || p.hasQuorum()
}

// open lets the voters record commits of the leader's term.
func (h *Holder) open(ctx context.Context, id topology.GroupID, t *tenure, e Electorate, term uint64) {
	if t.sealed {
		t.number++
		t.sealed, t.inherited, t.sealing, t.openTerm, t.opening = false, inherited{}, nil, term, newPoll(e)
		h.opts.Log.Info("voters are opened", "group", id, "epoch", e.Epoch, "term", term)
	}
	if t.opening == nil {
		return
	}
	args := InstructArgs{Address: Address{Group: id}, Instruction: Instruction{Ballot: Ballot{Token: t.token, Number: t.number}, Action: Open, Term: t.openTerm}}
	h.noteEnded(t.opening)
	h.link.instructAll(ctx, t.opening, args, t.opening.hasQuorum)
	if len(t.opening.accepted)+len(t.opening.ended) == len(e.Members()) {
		t.opening = nil
	}
}
