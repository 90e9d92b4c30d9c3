package relay

import (
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// note adds a step to the request's way. An empty id stands for no target.
func (r *request) note(id topology.TargetID, what string) {
	r.trail = append(r.trail, strings.TrimSpace(string(id)+" "+what))
}

// plainTrail is the longest way of a request about which nothing was decided:
// one target answered.
const plainTrail = 1

// logOutcome writes a line about a statement that wasn't served, or that was
// only after more than one step. Lines of the second kind are sampled.
func (r *request) logOutcome(what string, a *statement.Answer, ok bool) {
	s := r.session
	switch {
	case !ok:
		s.log.Info(what+" not served", r.inputs(a)...)
	case len(r.trail) > plainTrail && s.server.sampler.allows(r.trail):
		s.log.Info(what+" served after a detour", r.inputs(a)...)
	}
}

// inputs are what the decisions about a request rested on, with their ages.
func (r *request) inputs(a *statement.Answer) []any {
	s := r.session
	loss := r.group.Loss()
	leader, proved := r.group.LastLeader()
	values := []any{
		"request", r.st.ID, "session", s.state.id, "database", s.database, "group", r.route.Group, "writes", r.writes,
		"code", a.Code.String(), "result", int(a.Code.Result()), "promise", a.Code.NothingKept(), "detail", a.Detail, "tries", r.tries, "way", r.trail,
		"waited_ms", time.Since(r.arrived).Milliseconds(), "configuration", s.server.version(),
		"leader", leader, "proved_ms_ago", proved.Milliseconds(), "leaderless_ms", loss.For.Milliseconds(),
		"floor", s.floor.String(),
	}
	if r.begunBy != "" {
		values = append(values, "begun_by", r.begunBy, "first_statement", r.firstID)
	}
	if age, ok := r.group.AnchorAge(); ok {
		values = append(values, "anchor_ms_ago", age.Milliseconds())
	}
	return values
}

const (
	// sampledPerSecond is how many lines about detours are written a second for
	// each kind of detour, and sampledBurst how many at once. Failures are never
	// sampled.
	sampledPerSecond = 2
	sampledBurst     = 10
	// sampledKinds bounds the memory of the sampler.
	sampledKinds = 64
)

// sampler bounds the lines about detours by kind. The first of each kind is
// always written.
type sampler struct {
	mu     sync.Mutex
	limits map[string]*rate.Limiter
}

func newSampler() *sampler { return &sampler{limits: map[string]*rate.Limiter{}} }

func (p *sampler) allows(trail []string) bool {
	kind := kindOf(trail)
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.limits[kind]
	if l == nil && len(p.limits) < sampledKinds {
		l = rate.NewLimiter(sampledPerSecond, sampledBurst)
		p.limits[kind] = l
	}
	return l != nil && l.Allow()
}

// kindOf is the outcome of the first step, without the target's name.
func kindOf(trail []string) string {
	_, kind, _ := strings.Cut(trail[0], " ")
	kind, _, _ = strings.Cut(kind, ":")
	return kind
}
