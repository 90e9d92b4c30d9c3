package confirm

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const simGroup topology.GroupID = "g"

// fleet is a simulated fleet that shares a store and a log. Its log has every commit; which
// of them a promotion keeps is decided by the floor of the seal alone, as if the replica
// that acknowledged them were known to nobody.
type fleet struct {
	hosts []*simHost
	trace []string

	mu  sync.Mutex      // protects what goroutines of hosts read: cut, lateCalls, and of hosts down, voters, boot and electorate
	cut map[[2]int]bool // pairs of hosts that don't reach each other

	lateCalls              bool // instructions arrive after their callers have given up
	storeDown, loseAnswers bool
	claim                  simClaim
	platformToken          uint64 // highest that the platform has seen

	term    uint64 // of the leader
	primary int    // target that leads
	newest  uint64 // number of the newest commit
	passed  map[topology.Position]bool
	lost    string
	effects []*order
}

type simClaim struct {
	token      uint64
	holder     int // index of a host
	boot       uint64
	electorate Electorate
}

const (
	// effectWindow is how long after a request is carried out the promotion may take effect,
	// and lateWindow how late one without an answer may be carried out.
	effectWindow = 600 * time.Millisecond
	lateWindow   = 8 * time.Second
	// cooldown is the time from the effect of a promotion to the next request.
	cooldown = 1 * time.Second
	// voidWindow is how long after a request that voids others is answered a host takes those
	// carried out before for possible.
	voidWindow = 2 * time.Second
	// settleTime is how long a host takes such requests for possible.
	settleTime = 15 * time.Second
	// lateCallDelay is the delay of calls that arrive late.
	lateCallDelay = 400 * time.Millisecond
)

type simHost struct {
	fleet      *fleet
	index      int
	boot       uint64
	down       bool
	voters     *Voters
	confirmer  *Confirmer
	holder     *Holder
	electorate Electorate // as this host knows it
	token      uint64     // under which it believes to hold the duty
	leadsTerm  uint64     // of the leader that this host uses
	ordered    *order     // its latest order, nil once settled
	orderedAt  time.Time
	inDoubt    *order   // latest order without an answer under the present token
	voids      []*order // without an answer, in order of their tokens
	heldSince  time.Time
	effectAt   time.Time // when it saw the effect of its latest order
	voidedAt   time.Time // when the platform accepted this host's token, zero if it hasn't
}

func hostID(i int) topology.HostID { return topology.HostID(fmt.Sprintf("h%d", i)) }

func (f *fleet) tracef(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf(format, args...))
}

func newFleet(hosts int) *fleet {
	f := &fleet{cut: map[[2]int]bool{}, term: 1, passed: map[topology.Position]bool{}}
	for i := range hosts {
		h := &simHost{fleet: f, index: i}
		f.hosts = append(f.hosts, h)
		h.start()
	}
	f.claim = simClaim{token: 1, holder: 0, boot: f.hosts[0].boot}
	f.hosts[0].token, f.hosts[0].heldSince = 1, time.Now()
	return f
}

var lastBoot uint64

// start starts a process on the host, which has forgotten everything.
func (h *simHost) start() {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	lastBoot++
	h.boot, h.down, h.token, h.ordered, h.inDoubt, h.voids, h.voidedAt, h.effectAt = lastBoot, false, 0, nil, nil, nil, time.Time{}, time.Time{}
	h.electorate = Electorate{}
	h.voters = NewVoters(h.boot, nil)
	h.confirmer = New(Options{
		Self: hostID(h.index), Local: h.voters, Peers: h, Log: logr.Discard(),
		Electorate: h.Electorate,
		Needed:     func(topology.GroupID) bool { return true },
	})
	h.holder = NewHolder(HolderOptions{Self: hostID(h.index), Local: h.voters, Peers: h, Duty: h, Processes: h.processes, Log: logr.Discard()})
	h.leadsTerm = h.fleet.term
}

func (f *fleet) reaches(a, b int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return a == b || !f.hosts[b].down && !f.cut[[2]int{min(a, b), max(a, b)}]
}

// Call implements peer.Caller.
func (h *simHost) Call(ctx context.Context, host topology.HostID, method string, args, reply any) error {
	i := int(host[1] - '0')
	time.Sleep(time.Millisecond)
	if !h.fleet.reaches(h.index, i) {
		<-ctx.Done()
		return ctx.Err()
	}
	h.fleet.mu.Lock()
	other, late := h.fleet.hosts[i].voters, h.fleet.lateCalls
	h.fleet.mu.Unlock()
	if a, ok := args.(*InstructArgs); ok && late {
		instruction := *a
		time.AfterFunc(lateCallDelay, func() { _ = other.Instruct(&instruction, &InstructReply{}) })
		<-ctx.Done()
		return ctx.Err()
	}
	var err error
	switch method {
	case recordMethod:
		err = other.Record(args.(*RecordArgs), reply.(*RecordReply))
	case instructMethod:
		err = other.Instruct(args.(*InstructArgs), reply.(*InstructReply))
	}
	time.Sleep(time.Millisecond)
	if !h.fleet.reaches(i, h.index) || ctx.Err() != nil {
		return errors.New("the answer was lost")
	}
	return err
}

func (h *simHost) processes() []Process {
	var list []Process
	for i, other := range h.fleet.hosts {
		reached := h.fleet.reaches(h.index, i)
		boot := other.boot
		list = append(list, Process{Voter: Voter{Host: hostID(i), Boot: boot}, Domain: topology.Domain(rune('a' + i%3)), Live: reached})
	}
	return list
}

func (h *simHost) Token(topology.GroupID) (uint64, bool) { return h.token, h.token > 0 }

func (h *simHost) Electorate(topology.GroupID) Electorate {
	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	return h.electorate
}

func (h *simHost) learn() { // from the store

	h.fleet.mu.Lock()
	defer h.fleet.mu.Unlock()
	if e := h.fleet.claim.electorate; e.Epoch > h.electorate.Epoch {
		h.electorate = e
	}
}

func (h *simHost) RecordElectorate(ctx context.Context, _ topology.GroupID, prepare func(context.Context) (Electorate, error)) error {
	f := h.fleet
	time.Sleep(time.Millisecond)
	if f.storeDown {
		return errors.New("the store is down")
	}
	read := f.claim
	if read.token != h.token || read.boot != h.boot {
		h.token = 0
		return errors.New("another host holds the duty")
	}
	if read.electorate.Epoch != h.electorate.Epoch {
		h.learn()
		return errors.New("the electorate has changed")
	}
	next, err := prepare(ctx)
	if err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	if f.storeDown {
		return errors.New("the store is down")
	}
	if f.claim != read {
		return errors.New("the claim has changed")
	}
	f.claim.electorate = next
	f.tracef("electorate %+v", next)
	if f.loseAnswers {
		return ErrWriteInDoubt
	}
	h.learn()
	return nil
}

// commit has the leader of the term that the host uses acknowledge a commit, which the host
// passes on if it can.
func (h *simHost) commit() {
	f := h.fleet
	f.newest++
	p := topology.Position{Term: h.leadsTerm, Offset: f.newest}
	err := h.confirmer.Confirm(context.Background(), simGroup, p, time.Now().Add(300*time.Millisecond))
	f.tracef("h%d commit %v: %v", h.index, p, err)
	if err != nil {
		return
	}
	f.passed[p] = true
	if p.Term < f.term {
		f.lose(p)
	}
}

// maintain is what the watcher of the host does while it sees a leader serve. A request that
// voids earlier ones has the delay and the answer.
func (h *simHost) maintain(delay time.Duration, answered bool) {
	f := h.fleet
	if h.token == 0 || h.isNew() {
		return
	}
	h.leadsTerm = f.term
	h.settle()
	if h.ordered != nil && h.ordered.target == f.primary {
		h.ordered, h.effectAt = nil, time.Now()
	}
	voided := !h.voidedAt.IsZero() && time.Since(h.voidedAt) > voidWindow
	position := topology.Position{Term: f.term, Offset: f.newest}
	proof := Proof{Target: targetID(f.primary), Position: position, Term: f.term, SentAt: time.Now(), NotOrdered: h.ordered == nil, Settled: (time.Since(h.heldSince) > settleTime || voided) && h.ordered == nil}
	if h.voidMayPromoteOther() {
		proof.NotOrdered, proof.Settled = false, false
	}
	if h.holder.Maintain(context.Background(), simGroup, proof) {
		h.voidEarlier(position, delay, answered)
	}
}

// takeDuty makes the host the holder. The one before may not know.
func (h *simHost) takeDuty() {
	f := h.fleet
	if h.down || f.storeDown || f.claim.boot == h.boot {
		return
	}
	f.claim.token, f.claim.holder, f.claim.boot = f.claim.token+1, h.index, h.boot
	h.token, h.heldSince, h.inDoubt, h.voids, h.voidedAt = f.claim.token, time.Now(), nil, nil, time.Time{}
	h.learn()
	f.tracef("h%d holds the duty under %d", h.index, h.token)
}
