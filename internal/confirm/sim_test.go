package confirm

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/steady/steadytest"
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

// order is a request for a promotion. It is carried out, when the platform checks its token,
// and takes effect later.
type order struct {
	sentAt     time.Time
	at         time.Time // when it is carried out, then when it takes effect
	carriedOut bool
	delay      time.Duration // from then to its effect
	target     int
	token      uint64
	floor      topology.Position // of the target's log
	answered   bool
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

func (f *fleet) lose(p topology.Position) {
	if f.lost == "" {
		f.lost = fmt.Sprintf("commit %v was passed on and is lost in term %d", p, f.term)
	}
}

// promote has a host order a promotion once the voters are sealed. The host may not know yet
// that another one holds the duty by now. While an order may still be carried out, it orders no other target under the same token.
func (h *simHost) promote(target int, delay time.Duration, answered bool) {
	f := h.fleet
	if h.token == 0 {
		return
	}
	if h.isNew() || time.Since(h.effectAt) < cooldown {
		return // a request that was carried out may have its effect yet
	}
	h.settle()
	if h.ordered != nil && (h.ordered.answered && time.Now().Before(h.ordered.at) || h.ordered.target == f.primary) {
		return // it waits for the effect, or sees it first
	}
	if h.ordered != nil {
		target = h.ordered.target
	} else if target == f.primary {
		return
	}
	if h.inDoubt != nil && h.inDoubt.target != target && !h.renew() {
		return
	}
	s := h.holder.Seal(context.Background(), simGroup, h.leadsTerm)
	f.tracef("h%d seal under %d: %+v", h.index, h.token, s)
	if !s.Closed || !s.Known || !h.holder.Order(context.Background(), simGroup, targetID(target)) {
		return
	}
	o := &order{delay: min(delay, effectWindow), target: target, token: h.token, floor: s.Floor, answered: answered}
	if !f.request(o, delay) {
		return
	}
	f.tracef("h%d orders t%d, answered %v, %v", h.index, target, answered, delay)
	h.ordered, h.orderedAt = o, time.Now()
	if !answered {
		h.inDoubt = o
	}
}

func targetID(i int) topology.TargetID { return topology.TargetID(rune('a' + i)) }

// request sends a request, which is carried out late if it gets no answer. It returns false if
// the platform refuses it.
func (f *fleet) request(o *order, lateBy time.Duration) bool {
	o.sentAt, o.at = time.Now(), time.Now()
	if !o.answered {
		o.at = o.at.Add(lateBy)
		f.effects = append(f.effects, o)
		return true
	}
	return f.carryOut(o)
}

// carryOut checks the token of a request. It returns false if the platform refuses it.
func (f *fleet) carryOut(o *order) bool {
	if o.token < f.platformToken {
		return false
	}
	f.platformToken = o.token
	if o.target != f.primary {
		o.carriedOut, o.at = true, o.at.Add(o.delay)
		f.effects = append(f.effects, o)
	}
	return true
}

// voidEarlier requests the promotion of the primary, so that the platform refuses requests of
// earlier holders.
func (h *simHost) voidEarlier(position topology.Position, delay time.Duration, answered bool) {
	f := h.fleet
	if h.ordered != nil || h.inDoubt != nil && h.inDoubt.target != f.primary && !h.renew() {
		return
	}
	if s := h.holder.Seal(context.Background(), simGroup, f.term); !s.Closed || !h.holder.Order(context.Background(), simGroup, targetID(f.primary)) {
		return
	}
	o := &order{delay: min(delay, effectWindow), target: f.primary, token: h.token, floor: position, answered: answered}
	accepted := f.request(o, delay)
	f.tracef("h%d voids requests before %d for t%d, answered %v, accepted %v, %v", h.index, h.token, f.primary, answered, accepted, delay)
	switch {
	case !answered:
		h.inDoubt, h.voids = o, append(h.voids, o)
	case accepted:
		h.voidedAt = time.Now()
		h.voids = slices.DeleteFunc(h.voids, func(v *order) bool { return v.token < h.token })
	}
}

// voidMayPromoteOther reports whether a request that was to void others may replace the
// primary, which has been replaced since.
func (h *simHost) voidMayPromoteOther() bool {
	return slices.ContainsFunc(h.voids, func(v *order) bool {
		return v.target != h.fleet.primary && time.Since(v.sentAt) < settleTime
	})
}

// renew gets a higher token, under which the platform refuses earlier orders.
func (h *simHost) renew() bool {
	f := h.fleet
	if f.storeDown || f.claim.boot != h.boot {
		return false
	}
	f.claim.token++
	h.token, h.inDoubt = f.claim.token, nil
	f.tracef("h%d renews its token to %d", h.index, h.token)
	return true
}

// settle forgets an order that can't be carried out any more.
func (h *simHost) settle() {
	if h.ordered != nil && time.Since(h.orderedAt) > settleTime {
		h.ordered = nil
	}
}

// takeEffect carries out the orders that are due.
func (f *fleet) takeEffect() {
	due := f.effects
	f.effects = nil
	for _, o := range due {
		switch {
		case time.Now().Before(o.at):
			f.effects = append(f.effects, o)
		case !o.carriedOut:
			f.tracef("late request for t%d under %d, accepted %v", o.target, o.token, f.carryOut(o))
		case o.target != f.primary:
			f.takeLead(o)
		}
	}
}

func (f *fleet) takeLead(o *order) {
	f.term, f.primary = f.term+1, o.target
	f.newest++
	f.tracef("term %d begins at t%d with a log up to %v", f.term, o.target, o.floor)
	for p := range f.passed {
		if p.Term < f.term && !o.floor.AtLeast(p) {
			f.lose(p)
		}
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

// isNew reports whether a request of the holder before, which it sent right before its end, may
// have its effect yet.
func (h *simHost) isNew() bool { return h.token > 1 && time.Since(h.heldSince) < 2*time.Second }

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

// action is one step of a history.
type action struct {
	kind     string
	host     int
	other    int           // host or target
	wait     time.Duration // until the next action, or the effect of an order
	answered bool
}

var actionKinds = []string{"commit", "commit", "commit", "learn", "learn", "maintain", "maintain", "maintain", "promote", "promote", "duty", "restart", "restart all", "down", "cut", "heal", "store", "answers", "late calls", "late calls", "follow", "wait"}

func drawAction(hosts int, kinds []string) *rapid.Generator[action] {
	return rapid.Custom(func(t *rapid.T) action {
		return action{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"), host: rapid.IntRange(0, hosts-1).Draw(t, "host"),
			other: rapid.IntRange(0, hosts-1).Draw(t, "other"), answered: rapid.Bool().Draw(t, "answered"),
			wait: time.Duration(rapid.IntRange(1, int(lateWindow.Milliseconds())).Draw(t, "wait ms")) * time.Millisecond,
		}
	})
}

func (f *fleet) perform(a action) {
	h := f.hosts[a.host]
	if a.kind == "maintain" || a.kind == "promote" {
		h = f.hosts[f.claim.holder]
	}
	switch a.kind {
	case "learn":
		h.learn()
	case "follow":
		h.leadsTerm = f.term
	case "duty":
		h.takeDuty()
	case "restart":
		h.start()
		f.tracef("h%d restarts", h.index)
	case "restart all":
		for _, other := range f.hosts {
			other.start()
		}
		f.tracef("all hosts restart")
	case "down":
		f.mu.Lock()
		h.down, h.token = true, 0
		f.mu.Unlock()
		f.tracef("h%d is down", h.index)
	case "cut":
		f.mu.Lock()
		f.cut[[2]int{min(a.host, a.other), max(a.host, a.other)}] = true
		f.mu.Unlock()
	case "heal":
		f.heal()
	case "late calls":
		f.mu.Lock()
		f.lateCalls = !f.lateCalls
		f.mu.Unlock()
	case "store":
		f.storeDown = !f.storeDown
	case "answers":
		f.loseAnswers = !f.loseAnswers
	case "wait":
		time.Sleep(a.wait)
	}
	if h.down {
		return
	}
	switch a.kind {
	case "commit":
		h.commit()
	case "maintain":
		h.maintain(a.wait, a.answered)
	case "promote":
		h.promote(a.other%3, a.wait, a.answered)
	}
}

func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cut)
}

// play performs the actions in a bubble.
func (f *fleet) play(plan []action) {
	f.hosts[0].maintain(0, true)
	for _, h := range f.hosts {
		h.learn()
	}
	for _, a := range plan {
		f.perform(a)
		f.takeEffect()
		if f.lost != "" {
			break
		}
	}
	f.heal()
	f.mu.Lock()
	f.lateCalls = false
	f.mu.Unlock()
	time.Sleep(lateWindow) // rounds end
}

// Whatever hosts, the store and the network do, a promotion keeps every commit that a host
// has passed on, also one that no known replica has.
func TestPromotionKeepsCommitsThatCallersHeardOf(t *testing.T) {
	checkHistories(t, func(t *rapid.T, hosts int) []action {
		return rapid.SliceOfN(drawAction(hosts, actionKinds), 10, 120).Draw(t, "plan")
	})
}

// Guards against commits that are lost to a request without an answer which is carried out
// after every host, or most voters, have restarted: no host remembers it.
func TestRequestThatNoHostRemembersLosesNoCommit(t *testing.T) {
	checkHistories(t, drawForgottenRequests)
}

// drawForgottenRequests draws histories in which hosts restart after requests that are carried
// out late.
func drawForgottenRequests(t *rapid.T, hosts int) []action {
	plan := rapid.SliceOfN(drawAction(hosts, actionKinds), 0, 20).Draw(t, "before")
	for range rapid.IntRange(1, 4).Draw(t, "rounds") {
		for range rapid.IntRange(1, 2).Draw(t, "requests") {
			request := drawAction(hosts, []string{"promote"}).Draw(t, "request")
			request.answered = rapid.IntRange(0, 3).Draw(t, "answered") == 0
			plan = append(plan, request)
			plan = append(plan, rapid.SliceOfN(drawAction(hosts, actionKinds), 0, 2).Draw(t, "between")...)
		}
		restarts := []string{"restart", "restart all"}
		plan = append(plan, rapid.SliceOfN(drawAction(hosts, restarts), 1, 4).Draw(t, "restarts")...)
		plan = append(plan, drawAction(hosts, []string{"duty"}).Draw(t, "duty"))
		after := []string{"maintain", "maintain", "maintain", "learn", "commit", "commit", "wait", "follow", "duty", "promote"}
		plan = append(plan, rapid.SliceOfN(drawAction(hosts, after), 10, 50).Draw(t, "after")...)
	}
	return plan
}

// checkHistories fails if a promotion loses a commit that a host has passed on.
func checkHistories(t *testing.T, draw func(t *rapid.T, hosts int) []action) {
	passed, terms := 0, uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(2, 7).Draw(rt, "hosts")
		plan := draw(rt, hosts)
		var f *fleet
		synctest.Test(t, func(t *testing.T) {
			steadytest.FollowBubble(t)
			f = newFleet(hosts)
			f.play(plan)
		})
		passed, terms = passed+len(f.passed), terms+f.term-1
		if f.lost != "" {
			rt.Fatalf("%s\n%s", f.lost, strings.Join(f.trace, "\n"))
		}
	})
	t.Logf("%d commits passed on, %d promotions", passed, terms)
}
