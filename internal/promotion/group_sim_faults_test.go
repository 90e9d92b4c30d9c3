package promotion

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// faultKind is a kind of fault. It is drawn with others into a plan before a history
// begins, because what happens in a bubble has no fixed order at one moment.
type faultKind uint8

const (
	primaryCrash faultKind = iota // the primary stops and returns with its log
	starvation                    // a replica receives nothing for a while
	targetCrash                   // any target stops and returns with its log, without its pause
	// emptyRestart stops a replica, which returns with an empty log after minDowntime at
	// least: if the target of an accepted request loses its log before the effect, no
	// holder can do anything about it.
	emptyRestart
	cutFromStore  // a target reaches the leader and the holder, but not the store
	cutFromHolder // a target reaches the leader and the store, but not the holder
	cutFromBoth   // a target reaches the leader and the hosts that don't hold the duty
	cutFromAll    // a target reaches only the leader
	plannedLeave  // a new target joins, then an old one leaves and ends
	holderChange  // the duty's holder stops, and another host takes the duty
	lateRequest   // requests get no answer and arrive late
	unseenJoin    // a new target joins, which neither the store nor the holder hears of until the end
	votersEnd     // all voters end, and what they recorded is lost
	// handOver ends a target. A new one takes its address and its log, and reaches only the leader.
	handOver
	announceLeave // a target tells that it leaves, and goes on until another fault ends it
	faultKinds
)

var faultNames = [faultKinds]string{"primary crash", "starvation", "target crash", "empty restart", "cut from store", "cut from holder", "cut from both", "cut from all", "planned leave", "holder change", "late request", "unseen join", "voters end", "handover", "announced leave"}

// fault is one fault of a plan.
type fault struct {
	kind   faultKind
	at     time.Duration // since the start of the history
	lasts  time.Duration
	target int // index among the targets that haven't ended
	silent bool
	delay  time.Duration // of late requests
}

const (
	firstFault = 5 * time.Second // by then, the holder has seen the group
	lastFault  = 20 * time.Second
	faultsEnd  = 40 * time.Second
	// recoveryLimit is how long after the last fault the group must have a leader again.
	recoveryLimit = 60 * time.Second
)

// drawPlan draws the faults of one history: crashes of the primary and starved replicas,
// without which no promotion could lose anything, and those of the given kinds.
func drawPlan(t *rapid.T, kinds []faultKind) []fault {
	var plan []fault
	add := func(kind faultKind) {
		plan = append(plan, fault{
			kind:   kind,
			at:     drawTime(t, "at", firstFault, lastFault),
			lasts:  drawTime(t, "lasts", 200*time.Millisecond, 15*time.Second),
			target: rapid.IntRange(0, clusterReplicas).Draw(t, "target"),
			silent: rapid.Bool().Draw(t, "silent"),
			delay:  drawTime(t, "delay", 100*time.Millisecond, 8*time.Second),
		})
	}
	add(primaryCrash)
	for range rapid.IntRange(0, 2).Draw(t, "starved") {
		add(starvation)
	}
	if len(kinds) > 0 {
		for range rapid.IntRange(1, 2+len(kinds)).Draw(t, "faults") {
			add(rapid.SampledFrom(kinds).Draw(t, "kind"))
		}
	}
	for i := range plan {
		if plan[i].kind == emptyRestart {
			plan[i].lasts = max(plan[i].lasts, minDowntime)
		}
	}
	sortPlan(plan)
	return plan
}

func sortPlan(plan []fault) {
	slices.SortStableFunc(plan, func(a, b fault) int { return int(a.at - b.at) })
}

func drawTime(t *rapid.T, label string, from, to time.Duration) time.Duration {
	const step = 100 * time.Millisecond
	return time.Duration(rapid.IntRange(int(from/step), int(to/step)).Draw(t, label)) * step
}

// begin starts a fault and returns what ends it.
func (c *cluster) begin(f fault) (end func()) {
	if f.kind == holderChange {
		return c.changeHolder(f)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.affected(f)
	c.tracef("%s of %s for %s", faultNames[f.kind], t.id, f.lasts)
	switch f.kind {
	case primaryCrash, targetCrash:
		c.stop(t, f.silent)
		return func() { c.start(t, false) }
	case emptyRestart:
		c.stop(t, f.silent)
		return func() { c.start(t, true) }
	case starvation:
		return set(&t.starved)
	case handOver:
		c.stop(t, false)
		t.ended = true
		joined := c.join(fmt.Sprint("t", len(c.targets)))
		joined.addr, joined.log, joined.cutRefuses = t.addr, slices.Clone(t.log), true
		c.tracef("%s takes over the address and the log of %s", joined.id, t.id)
		reachStore, reachHolder, reachHosts := set(&joined.cutFromStore), set(&joined.cutFromHolder), set(&joined.cutFromHosts)
		return func() { reachStore(); reachHolder(); reachHosts() }
	case announceLeave:
		t.leaving = true
		return func() {}
	case cutFromStore:
		return set(&t.cutFromStore)
	case cutFromHolder:
		t.cutRefuses = !f.silent
		return set(&t.cutFromHolder)
	case cutFromBoth:
		t.cutRefuses = !f.silent
		reachStore, reachHolder := set(&t.cutFromStore), set(&t.cutFromHolder)
		return func() { reachStore(); reachHolder() }
	case cutFromAll:
		t.cutRefuses = !f.silent
		reachStore, reachHolder, reachHosts := set(&t.cutFromStore), set(&t.cutFromHolder), set(&t.cutFromHosts)
		return func() { reachStore(); reachHolder(); reachHosts() }
	case votersEnd:
		c.voters.end()
		return func() {}
	case plannedLeave:
		return c.leave(t)
	case unseenJoin:
		joined := c.join(fmt.Sprint("t", len(c.targets)))
		c.tracef("%s joins unseen", joined.id)
		reachStore, reachHolder := set(&joined.cutFromStore), set(&joined.cutFromHolder)
		return func() { reachStore(); reachHolder() }
	case lateRequest:
		c.platform.lateness = f.delay
		return set(&c.platform.answersLost)
	}
	panic(fmt.Sprintf("no such fault: %d", f.kind))
}

// set sets a flag and returns what clears it.
func set(flag *bool) (clear func()) {
	*flag = true
	return func() { *flag = false }
}

// affected returns the target of a fault.
func (c *cluster) affected(f fault) *clusterTarget {
	if f.kind == primaryCrash {
		return c.leader
	}
	var present []*clusterTarget
	for _, t := range c.targets {
		if !t.ended && (t != c.leader || f.kind != emptyRestart && f.kind != starvation) {
			present = append(present, t)
		}
	}
	return present[f.target%len(present)]
}

// leave lets a new target join and an old one leave. At the end, it is gone, and its log
// with it.
func (c *cluster) leave(t *clusterTarget) (end func()) {
	if t.leaving || !t.running {
		return func() {}
	}
	c.join(fmt.Sprint("t", len(c.targets)))
	t.leaving = true
	return func() {
		if t == c.leader {
			return // it stays: nobody could lead after it
		}
		t.running, t.ended = false, true
		c.tracef("%s has left", t.id)
	}
}

// changeHolder stops the duty's holder. At the end another host takes the duty.
func (c *cluster) changeHolder(f fault) (end func()) {
	if c.host == nil {
		return func() {}
	}
	c.stopHost()
	return func() {
		c.mu.Unlock()
		defer c.mu.Lock()
		c.startHost(f.lasts)
	}
}
