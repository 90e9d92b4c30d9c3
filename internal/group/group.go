package group

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	failingPeriod      = 500 * time.Millisecond // how long other targets are tried first after a connection broke
	initialLatency     = 10 * time.Millisecond  // assumed response time before the first measurement
	latencyEWMADivisor = 8                      // each response changes the moving average by 1/latencyEWMADivisor of the difference
	probeInterval      = 40 * time.Millisecond  // between rounds of probes while no leader is known
)

// Options configures a Group.
type Options struct {
	ID     topology.GroupID
	Domain topology.Domain // of this host
	Dialer statement.Dialer
	// Leases tells which target this host may use as the leader; nil if a target
	// stops leading when it is replaced, so that a proof of leadership suffices.
	Leases Leases
	Log    logr.Logger
	// OnSuspect is called on signs that a target is dead.
	OnSuspect func(topology.GroupID, topology.TargetID, statement.DialOutcome)
	// Recovery tells whether slow start and outlier ejection are in force; nil: never.
	Recovery func() bool
	// LeaveNotice is how long a target serves after the store has accepted that it leaves;
	// 0: without limit.
	LeaveNotice time.Duration
}

// Leases tells which target this host may use as a group's leader. See lease.Table.
type Leases interface {
	// Target returns the target on whose leadership this host has a valid lease.
	Target(topology.GroupID) (topology.TargetID, bool)
	// Holds reports whether this host has a valid lease on the target's leadership.
	Holds(topology.GroupID, topology.TargetID) bool
	// Covers reports whether an answer of the target that has just arrived may be
	// passed on as that of the leader.
	Covers(topology.GroupID, topology.TargetID) bool
}

// member is one target of the group and this host's connections to it.
type member struct {
	info             catalog.Member
	pool             *share.Pool
	sharing          sharing // of pool
	lagBackoff       lagBackoff
	applied          topology.Position          // last reported position; only a hint, as a target may be rebuilt and then be behind it
	failingUntil     time.Time                  // other targets are tried first until then
	unansweredProbes int                        // consecutive probes without an answer
	unreachable      bool                       // the last dial failed
	handshakes       statement.HandshakeMonitor // dials that were accepted without a protocol response
	latency          time.Duration              // moving average of the response times
	answeredAt       time.Time                  // when it last answered a statement
	departure        departure
}

// Group is this host's view of a group of targets, with its connections to
// them. It is safe for concurrent use.
type Group struct {
	opts Options

	mu          sync.Mutex
	view        leaderView
	members     map[topology.TargetID]*member
	customers   *share.Customers // nil if connections don't belong to customers
	leaderFound chan struct{}    // closed and replaced when a new leader is proved
	probing     bool
	recovery    recovery
	draw        func() float64 // from 0 to 1
}

// New returns a group without members.
func New(opts Options) *Group {
	g := &Group{opts: opts, members: map[topology.TargetID]*member{}, leaderFound: make(chan struct{}), draw: rand.Float64}
	g.view.lostAt, g.view.demoted = steady.Now(), true // most likely a target leads and only has to be found
	return g
}

// SetCustomers makes the connections to the targets belong to customers, or to nobody
// if c is nil. An unchanged configuration must be the same pointer. It is passed on also
// if unchanged, see share.Pool.SetCustomers.
func (g *Group) SetCustomers(c *share.Customers) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.customers = c
	for _, m := range g.members {
		m.pool.SetCustomers(c)
	}
}

// SetMembers sets the group's registered targets. sizeOf returns how many
// connections to keep open to a target, 0 for none.
func (g *Group) SetMembers(members []catalog.Member, sizeOf func(topology.Target) int) {
	recoveryOn := g.recoveryOn()
	g.mu.Lock()
	defer g.mu.Unlock()
	kept := map[topology.TargetID]bool{}
	for _, info := range members {
		kept[info.Target.ID] = true
		m := g.members[info.Target.ID]
		if m != nil && m.info.Target.Addr == info.Target.Addr {
			restarted := m.info.Incarnation != 0 && info.Incarnation != 0 && m.info.Incarnation != info.Incarnation
			m.info = info
			if restarted {
				g.noteRestarted(m, recoveryOn)
			}
			m.pool.SetSize(sizeOf(info.Target))
			continue
		}
		if m != nil {
			m.pool.Close()
			g.forgetAnswers(info.Target.ID)
		}
		pool := share.NewPool(share.Options{Target: info.Target, Dialer: g.opts.Dialer, Size: sizeOf(info.Target), OnDial: g.recordDial, Customers: g.customers})
		g.members[info.Target.ID] = &member{info: info, pool: pool, latency: initialLatency}
		g.noteRegistered(info.Target.ID, recoveryOn)
	}
	for id, m := range g.members {
		if !kept[id] {
			m.pool.Close()
			delete(g.members, id)
			g.forgetAnswers(id)
			g.view.recordNotLeading(id, steady.Now(), steady.Now(), false)
		}
	}
	g.endList()
	g.startProbing()
}

// Leader returns the leader and its connection pool, or false if no leader is
// known, it takes no new statements since it leaves, or this host has no lease on it.
func (g *Group) Leader() (topology.TargetID, *share.Pool, bool) {
	id, pool, ok := g.provedLeader()
	if !ok || pool.Ended() {
		return "", nil, false
	}
	return id, pool, true
}

// MayLead reports whether this host may start something at the target that needs the
// leader: it has a lease, or needs none.
func (g *Group) MayLead(id topology.TargetID) bool {
	return g.opts.Leases == nil || g.opts.Leases.Holds(g.opts.ID, id)
}

// CoversAnswer reports whether an answer of the target that has just arrived may be
// passed on as that of the leader.
func (g *Group) CoversAnswer(id topology.TargetID) bool {
	return g.opts.Leases == nil || g.opts.Leases.Covers(g.opts.ID, id)
}

// LeaseBegun searches for the leader, on which a lease has begun.
func (g *Group) LeaseBegun() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.startProbing()
}

// LeaseEnded records that this host has no lease on the leader.
func (g *Group) LeaseEnded() {
	g.mu.Lock()
	id := g.view.leader
	g.mu.Unlock()
	if id != "" {
		g.refuteLeader(id, steady.Now(), false)
	}
}

// LastLeader returns the target that was most recently proved to lead, by this
// host or by another host that reported it, and how long ago.
func (g *Group) LastLeader() (id topology.TargetID, ago time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.lastLeader, steady.Now().Sub(g.view.lastLeaderAt)
}

// NoteReportedLeader records the report of another host that it proved the target to
// lead at the time proved or later. The report doesn't make the target this
// host's leader.
func (g *Group) NoteReportedLeader(id topology.TargetID, proved time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.recordLastLeader(id, proved)
}

// WaitLeader waits for a leader until the deadline. It returns false if none is
// found by then or ctx is done first.
func (g *Group) WaitLeader(ctx context.Context, deadline time.Time) (topology.TargetID, *share.Pool, bool) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		g.mu.Lock()
		leaderFound := g.leaderFound
		g.startProbing()
		g.mu.Unlock()
		if id, pool, ok := g.Leader(); ok {
			return id, pool, true
		}
		select {
		case <-leaderFound:
		case <-timer.C:
			return "", nil, false
		case <-ctx.Done():
			return "", nil, false
		}
	}
}

// LeaderLoss returns how long the group has been without a leader that takes statements.
func (g *Group) LeaderLoss() LeaderLoss {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[g.view.leader]; m != nil && m.pool.Ended() {
		return LeaderLoss{Duration: now.Sub(m.departure.since), Leaving: true}
	}
	return g.view.loss(now)
}

// NoteLeading records that the target led at the time sent, because a write or commit
// sent then succeeded with the given answer. Without a lease, where one is needed, it
// isn't a proof. A target that isn't a member doesn't become this host's leader, see
// noteUnregisteredLeading.
func (g *Group) NoteLeading(id topology.TargetID, sent time.Time, answer *statement.Answer) {
	g.notePosition(id, sent, answer, true)
}

// notePosition records a proof of leadership; written is set if it is a successful write.
func (g *Group) notePosition(id topology.TargetID, sent time.Time, answer *statement.Answer, written bool) {
	if !g.MayLead(id) {
		return
	}
	recoveryOn := g.recoveryOn()
	now := steady.Now()
	g.mu.Lock()
	served := g.view.served
	if written && answer.HasPosition {
		g.view.recordServedWrite(id, answer.Position, now)
	}
	if g.members[id] == nil {
		refuted := g.noteUnregisteredLeading(id, sent)
		g.mu.Unlock()
		if refuted != "" {
			g.opts.Log.Info("an unregistered target leads", "group", g.opts.ID, "target", id, "replaced", refuted)
		}
		return
	}
	changed := g.view.recordLeading(id, sent, answer.Position, answer.HasPosition, now)
	if changed {
		g.notePromoted(id, recoveryOn)
		close(g.leaderFound)
		g.leaderFound = make(chan struct{})
	}
	g.mu.Unlock()
	if changed {
		g.opts.Log.Info("leader found", append([]any{"group", g.opts.ID, "target", id, "position", answer.Position.String()}, served.logFields(now)...)...)
	}
}

// noteUnregisteredLeading records a proof that a target leads which isn't a member, so
// that this host has no connections to it. The known leader is replaced, and the members
// are probed until one of them leads. It returns the replaced leader, "" if none was known.
// The caller must hold g.mu.
func (g *Group) noteUnregisteredLeading(id topology.TargetID, sent time.Time) (refuted topology.TargetID) {
	g.view.recordLastLeader(id, sent)
	if known := g.view.leader; known != "" && g.view.recordNotLeading(known, sent, steady.Now(), true) {
		refuted = known
	}
	g.startProbing()
	return refuted
}

// NoteNotLeading records that the target refused to begin a transaction that
// was requested at sent.
func (g *Group) NoteNotLeading(id topology.TargetID, sent time.Time) { g.refuteLeader(id, sent, true) }

// refuteLeader records that the target doesn't lead, as shown by a request that
// was sent at the time sent. It starts probing if no leader is known.
func (g *Group) refuteLeader(id topology.TargetID, sent time.Time, demoted bool) {
	g.mu.Lock()
	refuted := g.view.recordNotLeading(id, sent, steady.Now(), demoted)
	g.startProbing()
	g.mu.Unlock()
	if refuted {
		g.opts.Log.Info("target is no longer the leader", "group", g.opts.ID, "target", id, "by_its_word", demoted)
	}
}

// NoteLagging records that the target refused a read because it lacked the
// required position.
func (g *Group) NoteLagging(id topology.TargetID, answer *statement.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.lagBackoff.increase(steady.Now())
		if answer.HasPosition {
			m.applied = answer.Position
		}
	}
}

// NoteServed records a statement that the target answered, and its response
// time.
func (g *Group) NoteServed(id topology.TargetID, took time.Duration, answer *statement.Answer) {
	recoveryOn := g.recoveryOn()
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		m.latency += (took - m.latency) / latencyEWMADivisor
		m.lagBackoff.reset()
		if recoveryOn {
			m.answeredAt = steady.Now()
			g.noteAnswer(id, took)
		}
		if answer.HasPosition {
			m.applied = topology.Later(m.applied, answer.Position)
		}
	}
}

// Latency returns the average response time of the target, 0 if the target isn't
// known.
func (g *Group) Latency(id topology.TargetID) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m := g.members[id]; m != nil {
		return m.latency
	}
	return 0
}

const (
	// assumedWorkSlots is for targets that don't register how many statements they run at
	// once.
	assumedWorkSlots = 4
	// minStatementTime bounds the rate that is assumed for targets that were hardly used.
	minStatementTime = time.Millisecond
)

// StatementRate returns how many statements per second the group's targets can run for all
// hosts together, or only its fastest one, which stands for the leader.
func (g *Group) StatementRate(oneTarget bool) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	sum, fastest := 0.0, 0.0
	for _, m := range g.members {
		rate := float64(cmp.Or(m.info.WorkSlots, assumedWorkSlots)) / max(m.latency, minStatementTime).Seconds()
		sum, fastest = sum+rate, max(fastest, rate)
	}
	if oneTarget {
		return fastest
	}
	return sum
}

// CoveringPosition returns a position that includes every commit acknowledged more than
// age ago. It returns false if no such position is known.
func (g *Group) CoveringPosition(age time.Duration) (p topology.Position, ok bool) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.anchors.CoveringPosition(now.Add(-age))
}

// AnchorAge returns the age of the newest anchor, or false if there is none.
func (g *Group) AnchorAge() (time.Duration, bool) {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	latest, ok := g.view.anchors.Latest()
	return now.Sub(latest), ok
}

// Choice is a candidate target with this host's connection pool for it.
type Choice struct {
	Candidate
	Pool *share.Pool
}

// Readers is ReadersFor without a customer.
func (g *Group) Readers(after topology.Position) []Choice { return g.ReadersFor(after, "") }

// ReadersFor returns the targets that may serve a customer's read which requires the
// position after, best first. A target that recently refused a read counts as lagging
// unless it is known to have reached this position.
func (g *Group) ReadersFor(after topology.Position, customer topology.CustomerID) []Choice {
	now, recoveryOn := steady.Now(), g.recoveryOn()
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := make([]Candidate, 0, len(g.members))
	for id, m := range g.members {
		if m.pool.Ended() {
			continue
		}
		load := m.pool.LoadFor(customer)
		candidates = append(candidates, Candidate{
			ID:         id,
			IsLeader:   id == g.view.leader,
			SameDomain: m.info.Target.Domain == g.opts.Domain,
			Leaving:    m.info.Target.Leaving,
			Failing:    now.Before(m.failingUntil),
			Lagging:    now.Before(m.lagBackoff.retryAt) && !m.applied.AtLeast(after),
			Open:       load.Open,
			Idle:       load.Idle,
			Waiting:    load.Waiting,
			Latency:    m.latency,
			Delay:      load.Delay,
		})
	}
	if recoveryOn {
		g.holdOff(candidates, now)
	}
	ordered := Order(candidates)
	choices := make([]Choice, 0, len(ordered))
	for _, c := range ordered {
		choices = append(choices, Choice{Candidate: c, Pool: g.members[c.ID].pool})
	}
	return choices
}

// Close removes all members and closes their pools.
func (g *Group) Close() { g.SetMembers(nil, nil) }
