package relay

import (
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// addStep appends a step to the request's log. An empty id means that the step
// involves no target.
func (r *request) addStep(id topology.TargetID, outcome string) {
	r.steps = append(r.steps, strings.TrimSpace(string(id)+" "+outcome))
}

// maxDirectSteps is the number of steps of a request that its first target answered.
const maxDirectSteps = 1

// logOutcome logs a statement that failed, or that succeeded after more than one
// step. Lines of the second kind are sampled.
func (r *request) logOutcome(subject string, a *statement.Answer, ok bool) {
	s := r.session
	switch {
	case !ok:
		s.log.Info(subject+" not served", r.logFields(a)...)
	case len(r.steps) > maxDirectSteps && s.server.sampler.allow(r.steps):
		s.log.Info(subject+" served after several steps", r.logFields(a)...)
	}
}

// logFields returns the inputs of the decisions about a request, with their ages.
func (r *request) logFields(a *statement.Answer) []any {
	s := r.session
	loss := r.group.LeaderLoss()
	leader, sinceProof := r.group.LastLeader()
	fields := []any{
		"request", r.st.ID, "session", s.state.id, "database", s.database, "group", r.route.Group, "writes", r.writes,
		"code", a.Code.String(), "result", int(a.Code.Result()), "promise", a.Code.HadNoEffect(), "detail", a.Detail, "tries", r.tries, "way", r.steps,
		"waited_ms", time.Since(r.arrivedAt).Milliseconds(), "configuration", s.server.configurationVersion(),
		"leader", leader, "proved_ms_ago", sinceProof.Milliseconds(), "leaderless_ms", loss.Duration.Milliseconds(),
		"floor", s.floor.String(),
	}
	if r.beginID != "" {
		fields = append(fields, "begun_by", r.beginID, "first_statement", r.firstStatementID)
	}
	if age, ok := r.group.AnchorAge(); ok {
		fields = append(fields, "anchor_ms_ago", age.Milliseconds())
	}
	return fields
}

const (
	// sampledLinesPerSecond and sampledLinesBurst limit the lines about requests
	// that were served after several steps, for each kind of first step. Failures
	// are never sampled.
	sampledLinesPerSecond = 2
	sampledLinesBurst     = 10
	// maxSampledKinds bounds the memory of the sampler.
	maxSampledKinds = 64
)

// lineSampler limits log lines by the kind of the first step. It always allows the
// first line of each kind, for up to maxSampledKinds kinds.
type lineSampler struct {
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

func newLineSampler() *lineSampler { return &lineSampler{limiters: map[string]*rate.Limiter{}} }

func (s *lineSampler) allow(steps []string) bool {
	kind := stepKind(steps)
	s.mu.Lock()
	defer s.mu.Unlock()
	limiter := s.limiters[kind]
	if limiter == nil && len(s.limiters) < maxSampledKinds {
		limiter = rate.NewLimiter(sampledLinesPerSecond, sampledLinesBurst)
		s.limiters[kind] = limiter
	}
	return limiter != nil && limiter.Allow()
}

// stepKind returns the outcome of the first step without the target and the details.
func stepKind(steps []string) string {
	_, kind, _ := strings.Cut(steps[0], " ")
	kind, _, _ = strings.Cut(kind, ":")
	return kind
}
