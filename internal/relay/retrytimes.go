package relay

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/feature"
	"nettlewalk.example/nettlewalk/internal/retryafter"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// RetryTimes configures the times that refused callers are told. The zero value tells none.
type RetryTimes struct {
	Mode  feature.Mode
	Hosts func() int // live hosts, which share the capacity of groups; nil: only this one
}

const (
	// noRetryTime in an answer tells another host that no time is free.
	noRetryTime time.Duration = -1
	// decidedByPeer stands for the reason in metrics if another host gave the time.
	decidedByPeer = "peer"
	// unconfirmedRate is how many callers a second return to this host while the
	// configuration can't be confirmed. They only need a check of their key.
	unconfirmedRate = 1000
	// unknownRouteTimeout is how long a caller is taken to wait if its route isn't known: the
	// shortest statement timeout of the deployments.
	unknownRouteTimeout = time.Second
	// idleScheduleAge is how long a schedule without promises is kept after the last
	// refusal.
	idleScheduleAge = 30 * time.Second
)

// retrySchedules has the schedule of each group with recent refusals. The group "" stands
// for refusals for want of a confirmed configuration.
type retrySchedules struct {
	used atomic.Bool // there is a schedule

	mu     sync.Mutex
	groups map[topology.GroupID]*groupSchedule
	swept  time.Time
}

type groupSchedule struct {
	*retryafter.Schedule
	refusedAt time.Time
}

func (t *retrySchedules) next(id topology.GroupID, refusal *retryafter.Refusal, now time.Time) (after time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropIdle(now)
	g := t.groups[id]
	if g == nil {
		// Schedules of hosts begin at different times, so that their slots differ.
		epoch := now.Add(-rand.N(time.Second))
		g = &groupSchedule{Schedule: retryafter.NewSchedule(epoch)}
		if t.groups == nil {
			t.groups = map[topology.GroupID]*groupSchedule{}
		}
		t.groups[id] = g
		t.used.Store(true)
	}
	g.refusedAt = now
	return g.Next(now, refusal)
}

// dropIdle removes schedules without recent refusals. The caller holds t.mu.
func (t *retrySchedules) dropIdle(now time.Time) {
	if now.Sub(t.swept) < idleScheduleAge {
		return
	}
	t.swept = now
	for id, g := range t.groups {
		if now.Sub(g.refusedAt) > idleScheduleAge {
			delete(t.groups, id)
		}
	}
	t.used.Store(len(t.groups) > 0)
}

// noteServed records that a statement of the group was served.
func (t *retrySchedules) noteServed(id topology.GroupID, atLeader bool) {
	if !t.used.Load() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropIdle(time.Now())
	if g := t.groups[id]; g != nil {
		g.NoteServed(atLeader)
	}
}

// RetryTimesDump is the state of the times that refused callers were told.
type RetryTimesDump struct {
	Enabled bool                `json:"enabled"`
	Groups  []RetryScheduleDump `json:"groups"` // those with recent refusals, most promises first
}

// RetryScheduleDump describes the promised slots of one group.
type RetryScheduleDump struct {
	Group    topology.GroupID `json:"group"` // "": refusals without a confirmed configuration
	Promised int              `json:"promised"`
	LastMS   int64            `json:"last_ms"` // until the last promised slot
	StepMS   int64            `json:"step_ms"` // doubled time in force; 0: the estimates hold
}

// maxRetrySchedulesDumped bounds the groups in a state dump.
const maxRetrySchedulesDumped = 50

// DumpRetryTimes returns the state of retry times, or nil if they are off.
func (s *Server) DumpRetryTimes() *RetryTimesDump {
	if !s.tellsRetryTimes() {
		return nil
	}
	now := time.Now()
	t := &s.retrySchedules
	t.mu.Lock()
	defer t.mu.Unlock()
	d := &RetryTimesDump{Enabled: true, Groups: []RetryScheduleDump{}}
	for id, g := range t.groups {
		n, last := g.Promised(now)
		d.Groups = append(d.Groups, RetryScheduleDump{id, n, last.Milliseconds(), g.Step(now).Milliseconds()})
	}
	slices.SortFunc(d.Groups, func(a, b RetryScheduleDump) int {
		return cmp.Or(cmp.Compare(b.Promised, a.Promised), cmp.Compare(a.Group, b.Group))
	})
	d.Groups = d.Groups[:min(len(d.Groups), maxRetrySchedulesDumped)]
	return d
}

// tellsRetryTimes reports whether refusals state when to return.
func (s *Server) tellsRetryTimes() bool {
	mode := s.opts.RetryTimes.Mode
	if mode == "" || mode == feature.Off {
		return false
	}
	c := s.opts.Catalog.Configuration()
	return mode.Enabled(c != nil && len(c.Customers) > 0)
}

// retryHint returns the words that tell a caller when to return.
func retryHint(after time.Duration) string {
	return fmt.Sprintf("retry after %d ms", (after+time.Millisecond-1)/time.Millisecond)
}

// countRetryTime counts a refusal by whether its caller was told a time. reason is the
// name of a retryafter.Reason, or decidedByPeer.
func countRetryTime(reason string, after time.Duration, ok bool) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nettlewalk_retry_after_total{reason="%s",told="%t"}`, reason, ok)).Inc()
	if ok {
		metrics.GetOrCreateHistogram("nettlewalk_retry_after_seconds").Update(after.Seconds())
	}
}

// addRetryTime adds to a refusal when the caller should return, if it certainly didn't run.
// At a host that serves another one's caller, the answer only carries the time.
func (r *request) addRetryTime(a *statement.Answer) {
	s := r.session
	if a.Code != statement.Busy || r.mayHaveRun || !s.server.tellsRetryTimes() {
		return
	}
	now := time.Now()
	forwarded := r.fromPeer || s.forPeer
	switch {
	case forwarded && r.noWait: // its host asks others first
		return
	case a.RetryAfter != 0: // the host that runs its transaction gave it
		s.tellRetryTime(a, decidedByPeer, a.RetryAfter, a.RetryAfter > 0)
		a.RetryAfter = 0
		return
	case r.peerRetryAfter < 0:
		s.tellRetryTime(a, decidedByPeer, 0, false)
		return
	case r.peerRetryAfter > now.Sub(r.peerRetryAt): // otherwise it passed while this host waited for a leader
		s.tellRetryTime(a, decidedByPeer, r.peerRetryAfter-now.Sub(r.peerRetryAt), true)
		return
	}
	refusal := r.retryRefusal(now)
	after, ok := s.server.retrySchedules.next(r.route.Group, &refusal, now)
	s.server.logRetryTime(r.route.Group, &refusal, after, ok)
	if !forwarded {
		s.tellRetryTime(a, refusal.Reason.String(), after, ok)
		return
	}
	if a.RetryAfter = noRetryTime; ok {
		a.RetryAfter = max(after, 1)
	}
}

// tellRetryTime adds the time to the detail of a refusal.
func (s *session) tellRetryTime(a *statement.Answer, reason string, after time.Duration, ok bool) {
	after = max(after, 0)
	countRetryTime(reason, after, ok)
	if !ok {
		return
	}
	if a.Detail != "" {
		a.Detail += "; "
	}
	a.Detail += retryHint(after)
}

// logRetryTime writes a sampled line with the inputs of a decision.
func (s *Server) logRetryTime(id topology.GroupID, refusal *retryafter.Refusal, after time.Duration, ok bool) {
	if !s.retrySampler.allow([]string{"refused " + refusal.Reason.String()}) {
		return
	}
	s.opts.Log.Info("retry time decided", "group", id, "reason", refusal.Reason.String(), "customer", refusal.Customer,
		"priority", refusal.Priority, "told", ok, "retry_after_ms", after.Milliseconds(), "left_ms", refusal.Left.Milliseconds(),
		"expected_in_ms", refusal.In.Milliseconds(), "per_s", refusal.Rate)
}

// retryRefusal describes the refusal of the request.
func (r *request) retryRefusal(now time.Time) retryafter.Refusal {
	s := r.session
	refusal := retryafter.Refusal{Customer: s.customer, Priority: r.route.Priority, Left: r.deadline.Sub(now) - time.Millisecond}
	if s.server.drainReason() == ShuttingDown {
		refusal.Reason = retryafter.ShuttingDown
		return refusal
	}
	needsLeader := r.needsLeader()
	refusal.Rate = r.group.StatementRate(needsLeader) / float64(s.server.hostCount())
	id, pool, known := r.group.Leader()
	refusal.Left -= r.group.Latency(id)
	if !needsLeader {
		for _, c := range r.group.ReadersFor(topology.Position{}, s.customer) {
			if c.Open > 0 && !c.Failing && (!known || c.Delay < pool.LoadFor(s.customer).Delay) {
				pool, known = c.Pool, true
			}
		}
	}
	if !known || r.unconfirmable {
		loss := r.group.LeaderLoss()
		refusal.Reason, refusal.In = retryafter.NoLeader, max(0, expectedLeaderLoss(loss)-loss.Duration)
		if !needsLeader {
			refusal.Reason, refusal.In = retryafter.TargetEjected, 0
		}
		return refusal
	}
	load := pool.LoadFor(s.customer)
	if load.Open == 0 {
		refusal.Reason = retryafter.TargetEjected
		return refusal
	}
	refusal.Reason = retryafter.QueueTooLong
	perConn := load.Hold / time.Duration(max(1, load.Limit))
	refusal.In = max(perConn, time.Duration(load.Waiting+1)*perConn-maxQueueWait(&r.route, r.group.Latency(id)))
	refusal.Rate = 1 / max(perConn, time.Microsecond).Seconds()
	return refusal
}

// hostCount returns how many hosts share the capacity of groups.
func (s *Server) hostCount() int {
	if s.opts.RetryTimes.Hosts == nil {
		return 1
	}
	return max(1, s.opts.RetryTimes.Hosts())
}

// keyRefusalDetail returns what the caller is told about a refusal because of its key.
func (s *session) keyRefusalDetail(refusal *keyRefusal) string {
	if refusal.reason != unconfirmedReason {
		return refusal.detail
	}
	return s.withUnconfirmedTime(refusal.detail)
}

// withUnconfirmedTime adds to the detail of a refusal, for want of a confirmed
// configuration, when the caller should return.
func (s *session) withUnconfirmedTime(detail string) string {
	if !s.server.tellsRetryTimes() || s.isForwarded() {
		return detail
	}
	a := statement.Answer{Detail: detail}
	route, _ := s.route()
	refusal := retryafter.Refusal{
		Reason: retryafter.Unconfirmed, Customer: s.customer, Priority: route.Priority,
		Left: cmp.Or(route.StatementTimeout, unknownRouteTimeout), Rate: unconfirmedRate,
	}
	if s.server.drainReason() == ShuttingDown {
		refusal.Reason = retryafter.ShuttingDown
	}
	after, ok := s.server.retrySchedules.next("", &refusal, time.Now())
	s.server.logRetryTime("", &refusal, after, ok)
	s.tellRetryTime(&a, refusal.Reason.String(), after, ok)
	return a.Detail
}
