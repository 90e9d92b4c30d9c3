package locality

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Kind is the kind of work that may cross domains.
type Kind uint8

// The kinds.
const (
	Reads    Kind = iota // reads that replicas may serve, at a target that this host is connected to
	Forwards             // such reads that another host runs
	// LeaderForwards are statements for the leader that another host runs. They leave
	// the domain if the leader is elsewhere, and may also leave it for a holder with a
	// free connection to a leader in the domain.
	LeaderForwards
	kinds
	// AtLeader is work that only the leader may run. It has no share, because there is
	// one leader; its bytes are counted.
	AtLeader = kinds
)

// String returns the name used in logs and metrics.
func (k Kind) String() string { return [...]string{"read", "forward", "leader_forward", "leader"}[k] }

const (
	// assumedService is the expected service time in other domains before the first
	// measurement, unless the domain's own targets are faster.
	assumedService = 10 * time.Millisecond
	// assumedDistance is the additional round trip to another domain before the first
	// measurement. The value is that of the users' deployments.
	assumedDistance = 2500 * time.Microsecond
	// baseWeight is the weight of one statement in the mean service time in the domain,
	// and baseCount how many are measured before the mean is used.
	baseWeight = 1.0 / 32
	baseCount  = 16
	// baseRise is how fast a smallest mean is forgotten, as a factor for each update: it
	// doubles in about 70 s, so that a shortage isn't taken for the normal state.
	baseRise = 1.002
	// slowFactor is how far the mean response time of a target must exceed the service
	// time to count as slower: the means of 8 statements vary by a quarter.
	slowFactor = 1.5
	// slowHomeFraction is the fraction of the goal that the expected time in the domain
	// must reach for other domains to be tried on the assumption that they are faster.
	slowHomeFraction = 0.5
	// logStep is the smallest change of a share that is logged while its reason stays.
	logStep = 0.1
	// logLinesPerSecond and logLinesBurst limit the lines about changes of shares.
	logLinesPerSecond = 2
	logLinesBurst     = 20
	// unusedRetention is how long a group that nothing uses is kept, such as one that was
	// removed from the configuration. Its measured times are without weight long before.
	unusedRetention = 1 * time.Hour
	// cleanupInterval is the time between removals of unused groups, and maxRemovals how many
	// each removes: statements wait meanwhile, and each metric is searched for in a list of
	// all of them.
	cleanupInterval = 1 * time.Minute
	maxRemovals     = 2
)

// Router keeps the share and the intake of each group, and measures what they need.
// All methods of a nil Router do nothing: everything stays as without routing by
// cost. It is safe for concurrent use.
type Router struct {
	prices    Prices
	domain    topology.Domain
	log       logr.Logger
	startedAt time.Time
	limiter   *rate.Limiter

	mu         sync.Mutex
	groups     map[topology.GroupID]*groupFlows
	cleanedAt  time.Time
	suppressed int // log lines since the last one
}

// groupFlows is the work of one group.
type groupFlows struct {
	flows  [kinds]flow
	intake *Intake
	usedAt time.Time
}

// flow is one kind of work of a group.
type flow struct {
	share                 Share
	home, away            Observed
	mean                  time.Duration // of the time in the domain, over the last 32 statements or so
	count                 int
	base                  time.Duration // smallest mean lately; 0: unknown
	meter                 Meter
	served, refused, lost int
	updatedAt             time.Time
	logged                float64
	loggedReason          Reason
}

// NewRouter returns a router for a host of the domain, or nil if no price is set.
func NewRouter(prices Prices, domain topology.Domain, log logr.Logger) *Router {
	if !prices.Enabled() {
		return nil
	}
	return &Router{
		prices: prices, domain: domain, log: log, startedAt: steady.Now(),
		limiter: rate.NewLimiter(logLinesPerSecond, logLinesBurst), groups: map[topology.GroupID]*groupFlows{},
	}
}

// Domain returns the failure domain of the host, "" without a router.
func (r *Router) Domain() topology.Domain {
	if r == nil {
		return ""
	}
	return r.domain
}

// Places describes where a statement may run, as far as this host knows.
type Places struct {
	Home, Away bool // in this domain, and in others
	AwayShort  bool // callers wait at all places in other domains
	// Waiting is how many statements wait for each connection of the best place in the
	// domain.
	Waiting float64
	// Latency is the mean response time of that place; 0: unknown.
	Latency time.Duration
	// Crossings is how often the statement crosses domains if it leaves; 0 counts as 1.
	Crossings int
}

// Leaves decides whether a statement of the group is sent to another domain.
// required is set if the domain has no place for it.
func (r *Router) Leaves(id topology.GroupID, kind Kind, p Places, w Work) (leaves, required bool) {
	if r == nil {
		return false, false
	}
	now := steady.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(id, now)
	f := &g.flows[kind]
	// The places of single statements differ, for example if a target was already tried.
	// What they say about the domain is used only at updates.
	if now.Sub(f.updatedAt) >= UpdateInterval {
		r.update(id, kind, g, &p, w.Goal, now)
	}
	switch {
	case !p.Home:
		return p.Away, true
	case !p.Away:
		return false, false
	}
	f.estimate(&p, &w)
	return f.share.Leaves(w), false
}

// SendsRefused decides whether a statement that was refused in the domain is sent to another
// one, beyond the share.
func (r *Router) SendsRefused(id topology.GroupID, kind Kind, w Work) bool {
	if r == nil {
		return false
	}
	now := steady.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.group(id, now).flows[kind].share.SendsRefused(w, now)
}

// estimate sets the expected time in the domain from what is known at this moment.
func (f *flow) estimate(p *Places, w *Work) {
	if w.Home > 0 || p.Waiting <= 0 && p.Latency == 0 {
		return // the measured figure applies
	}
	service := max(f.base, time.Duration(float64(p.Latency)/slowFactor))
	if service == 0 {
		service = assumedService
	}
	w.Queue = time.Duration(p.Waiting * float64(service))
	w.Home = service + w.Queue
}

// recordBase records the time of a statement that was served in the domain.
func (f *flow) recordBase(took time.Duration) {
	f.count++
	f.mean += time.Duration(max(baseWeight, 1/float64(f.count)) * float64(took-f.mean))
	if f.count >= baseCount && (f.base == 0 || f.mean < f.base) {
		f.base = f.mean
	}
}

// unmeasured returns the expected time in other domains if none was measured there: as
// in this domain without a shortage, unless its targets are too slow for the goal.
func (f *flow) unmeasured(goal time.Duration) time.Duration {
	home := f.home.Figure().Expected
	switch {
	case goal > 0 && home > time.Duration(slowHomeFraction*float64(goal)):
		return assumedService + assumedDistance
	case f.base > 0:
		return f.base + assumedDistance
	}
	return max(home, assumedService) + assumedDistance
}

// group returns the flows of a group. The caller holds r.mu.
func (r *Router) group(id topology.GroupID, now time.Time) *groupFlows {
	g := r.groups[id]
	if g == nil {
		g = &groupFlows{intake: NewIntake(r.startedAt)}
		g.intake.countedAt = now
		r.groups[id] = g
		for kind := range kinds {
			metrics.GetOrCreateGauge(shareMetric(id, kind), func() float64 { return r.Share(id, kind) })
		}
	}
	g.usedAt = now
	r.removeUnused(now)
	return g
}

func shareMetric(id topology.GroupID, kind Kind) string {
	return fmt.Sprintf(`nettlewalk_cross_domain_share{group=%q,kind=%q}`, id, kind)
}

// removeUnused removes groups that haven't been used for unusedRetention, with their
// metrics. The caller holds r.mu.
func (r *Router) removeUnused(now time.Time) {
	if now.Sub(r.cleanedAt) < cleanupInterval {
		return
	}
	r.cleanedAt = now
	removed := 0
	for id, g := range r.groups {
		if now.Sub(g.usedAt) < unusedRetention {
			continue
		}
		delete(r.groups, id)
		for kind := range kinds {
			metrics.UnregisterMetric(shareMetric(id, kind))
		}
		if removed++; removed == maxRemovals {
			return
		}
	}
}

// Share returns the share of a group's work of a kind.
func (r *Router) Share(id topology.GroupID, kind Kind) float64 {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.groups[id]; g != nil {
		return g.flows[kind].share.Value()
	}
	return 0
}

// update computes a share anew and logs its change. The caller holds r.mu.
func (r *Router) update(id topology.GroupID, kind Kind, g *groupFlows, p *Places, goal time.Duration, now time.Time) {
	f := &g.flows[kind]
	f.base = time.Duration(baseRise * float64(f.base))
	home, away := f.home.Figure(), f.away.Figure()
	home.Available, away.Available, away.Short = p.Home, p.Away, p.AwayShort
	wasRequired := f.share.Required()
	f.share.Update(Input{
		Home: home, Away: away, Unmeasured: f.unmeasured(goal), Bytes: f.meter.Mean() * float64(max(1, p.Crossings)),
		Served: f.served, Refused: f.refused, Lost: f.lost, Prices: r.prices,
	}, now)
	if kind == Reads && wasRequired && f.share.Returning() {
		g.intake = NewIntake(now) // the domain's targets are cold
	}
	f.served, f.refused, f.lost, f.updatedAt = 0, 0, 0, now
	r.logChange(id, kind, f, now)
}

// logChange logs a change of a share. The caller holds r.mu.
func (r *Router) logChange(id topology.GroupID, kind Kind, f *flow, now time.Time) {
	value, reason := f.share.Value(), f.share.Reason()
	changed := math.Abs(value-f.logged) >= logStep || (value == 0) != (f.logged == 0)
	if !changed && (value == f.logged || reason == f.loggedReason) {
		return
	}
	before := f.logged
	f.logged, f.loggedReason = value, reason
	if !r.limiter.AllowN(time.Now(), 1) {
		r.suppressed++
		return
	}
	in := &f.share.in
	r.log.Info("cross-domain share changed", "group", id, "kind", kind.String(), "share", round(value), "before", round(before), "reason", string(reason),
		"home_ms", in.Home.Expected.Milliseconds(), "home_ms_ago", age(&in.Home, now), "away_ms", f.share.away.Milliseconds(), "away_ms_ago", age(&in.Away, now),
		"bytes", int(in.Bytes), "served", in.Served, "refused", in.Refused, "lost", in.Lost, "lines_suppressed", r.suppressed)
	r.suppressed = 0
}

func round(share float64) float64 { return math.Round(share*1000) / 1000 }

// age returns the age of a figure in milliseconds, -1 if nothing was measured.
func age(f *Figure, now time.Time) int64 {
	if f.MeasuredAt.IsZero() {
		return -1
	}
	return now.Sub(f.MeasuredAt).Milliseconds()
}

// Outcome tells what became of a statement that was sent somewhere.
type Outcome uint8

// The outcomes.
const (
	Served   Outcome = iota // answered
	Refused                 // no place accepted it
	NoAnswer                // sent without an answer
)

// Record records a statement after its last attempt. crossed tells whether it left
// the domain, and took how long it took; for a statement without an answer, how long
// its caller would have waited.
func (r *Router) Record(id topology.GroupID, kind Kind, crossed bool, outcome Outcome, took time.Duration) {
	if r == nil || kind >= kinds {
		return
	}
	now := steady.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	f := &r.group(id, now).flows[kind]
	if !crossed {
		f.home.Add(took, now)
		if outcome == Served {
			f.recordBase(took)
		}
		return
	}
	switch outcome {
	case Served:
		f.served++
		f.away.Add(took, now)
	case Refused:
		f.refused++
	case NoAnswer:
		f.lost++
		f.away.Add(took, now)
	}
}

var (
	crossedBytes = [kinds + 1]*metrics.Counter{
		metrics.NewCounter(`nettlewalk_cross_domain_bytes_total{kind="read"}`),
		metrics.NewCounter(`nettlewalk_cross_domain_bytes_total{kind="forward"}`),
		metrics.NewCounter(`nettlewalk_cross_domain_bytes_total{kind="leader_forward"}`),
		metrics.NewCounter(`nettlewalk_cross_domain_bytes_total{kind="leader"}`),
	}
	crossedStatements = [kinds + 1]*metrics.Counter{
		metrics.NewCounter(`nettlewalk_cross_domain_statements_total{kind="read"}`),
		metrics.NewCounter(`nettlewalk_cross_domain_statements_total{kind="forward"}`),
		metrics.NewCounter(`nettlewalk_cross_domain_statements_total{kind="leader_forward"}`),
		metrics.NewCounter(`nettlewalk_cross_domain_statements_total{kind="leader"}`),
	}
	intakeRefused = map[bool]*metrics.Counter{
		false: metrics.NewCounter(`nettlewalk_cross_domain_intake_refused_total{required="false"}`),
		true:  metrics.NewCounter(`nettlewalk_cross_domain_intake_refused_total{required="true"}`),
	}
)

// RecordBytes records the bytes of one statement, request and answer together. Those
// of statements that stay in the domain tell what a crossing would cost.
func (r *Router) RecordBytes(id topology.GroupID, kind Kind, crossed bool, bytes int) {
	if r == nil {
		return
	}
	if crossed {
		crossedBytes[kind].Add(bytes)
		crossedStatements[kind].Inc()
	}
	if kind >= kinds {
		return
	}
	now := steady.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group(id, now).flows[kind].meter.Add(bytes)
}

// CountOwn counts a statement of the own domain that this host runs for a group.
func (r *Router) CountOwn(id topology.GroupID) {
	if r == nil {
		return
	}
	now := steady.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group(id, now).intake.CountOwn(now)
}

// Admit decides whether to accept a statement that a host of another domain sent.
// required tells whether that domain has no place for it.
func (r *Router) Admit(id topology.GroupID, from topology.Domain, required bool, c Capacity) bool {
	if r == nil || from == "" || from == r.domain {
		return true
	}
	now := steady.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.group(id, now).intake.Admit(required, c, now) {
		return true
	}
	intakeRefused[required].Inc()
	return false
}

// Dump is the state of one share for operators.
type Dump struct {
	Group  topology.GroupID `json:"group"`
	Kind   string           `json:"kind"`
	Share  float64          `json:"share"`
	Reason Reason           `json:"reason"`
	HomeMS float64          `json:"home_ms"`
	AwayMS float64          `json:"away_ms"`
	Bytes  float64          `json:"bytes"`
}

// Dump returns all shares.
func (r *Router) Dump() []Dump {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Dump
	for id, g := range r.groups {
		for kind := range kinds {
			f := &g.flows[kind]
			list = append(list, Dump{Group: id, Kind: kind.String(), Share: f.share.Value(), Reason: f.share.Reason(), Bytes: f.meter.Mean(),
				HomeMS: f.home.mean.Seconds() * 1000, AwayMS: f.share.away.Seconds() * 1000})
		}
	}
	return list
}
