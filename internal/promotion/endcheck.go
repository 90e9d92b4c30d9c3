package promotion

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// endCheckInterval is the time between two questions about the same target.
const endCheckInterval = 2 * time.Second

// endCheck asks other hosts whether they reach a target that doesn't respond to this
// host and isn't registered. The answers tell operators what a promotion waits for; they
// prove nothing. The question runs in a goroutine; the watcher takes up
// its result in a later tick. Apart from that goroutine, one goroutine at a time uses
// an endCheck.
type endCheck struct {
	ask AskHosts // nil: no host can be asked
	// leaderDomain is the failure domain of the group's leader, "" if it is unknown or
	// the target itself is the leader.
	leaderDomain topology.Domain

	askedAt     time.Time
	askedDomain topology.Domain   // leaderDomain at that time
	result      chan *EndEvidence // nil: no question is pending
	lastReason  string            // reason of the last verdict, "" after the target was alive
}

// start asks unless a question is pending or the last one is too recent.
func (c *endCheck) start(ctx context.Context, target topology.Target, now time.Time) {
	if c.ask == nil || c.leaderDomain == "" || c.result != nil || !c.askedAt.IsZero() && now.Sub(c.askedAt) < endCheckInterval {
		return
	}
	c.askedAt, c.askedDomain = now, c.leaderDomain
	ask, result := c.ask, make(chan *EndEvidence, 1)
	c.result = result
	go func() { result <- ask(ctx, target) }()
}

// poll returns the answers to the pending question, or nil. It discards them if the
// leader is in another failure domain by now.
func (c *endCheck) poll() *EndEvidence {
	select {
	case e := <-c.result:
		c.result = nil
		if c.askedDomain == c.leaderDomain {
			return e
		}
	default: // no question is pending, or not all hosts have answered yet
	}
	return nil
}

// discard drops the pending question: the target has been alive since it was asked.
func (c *endCheck) discard() { c.result, c.lastReason = nil, "" }

// takeUpEvidence concludes from the other hosts' answers whether the target is presumed to
// have ended. A target that receives from the leader alone is presumed so, too: no position of
// the leader bounds its log.
func (p *prober) takeUpEvidence(now time.Time, group topology.GroupID, log logr.Logger) {
	e := p.endCheck.poll()
	if e == nil {
		return
	}
	verdict, reason := judgeEnd(e, p.target.Domain, p.endCheck.leaderDomain, p.unregisteredFor, now)
	metrics.GetOrCreateCounter(`nettlewalk_target_end_checks_total{outcome="` + verdict.String() + `"}`).Inc()
	if verdict == endPresumed {
		p.presumedSince = now
	}
	if reason == p.endCheck.lastReason {
		return
	}
	p.endCheck.lastReason = reason
	answers := make([]string, 0, len(e.Answers))
	for _, a := range e.Answers {
		answers = append(answers, a.String())
	}
	message, presumption := "a host may reach the target", "target is not taken for ended"
	if verdict == endPresumed {
		message, presumption = "no host reaches the target", "target has ended"
	}
	log.Info(message, "group", group, "target", p.target.ID, "presumption", presumption, "proved", false, "domain", p.target.Domain, "leader_domain", p.endCheck.leaderDomain, "reason", reason,
		"unregistered_ms", p.unregisteredFor.Milliseconds(), "asked_ms_ago", now.Sub(e.AskedAt).Milliseconds(), "answers", answers)
}

// takeUpEvidence lets each prober conclude from the other hosts' answers, and tells it
// where the leader is.
func (w *Watcher) takeUpEvidence() {
	leaderDomain := topology.Domain("")
	if leader := w.probers[w.leader]; leader != nil {
		leaderDomain = leader.target.Domain
	}
	for id, pr := range w.probers {
		pr.endCheck.leaderDomain = leaderDomain
		if id == w.leader {
			pr.endCheck.leaderDomain = ""
		}
		pr.takeUpEvidence(steady.Now(), w.opts.Group, w.opts.Log)
	}
}
