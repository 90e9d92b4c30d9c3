package promotion

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	minVoidDelay = 500 * time.Millisecond // after the first failure of a request that voids others
	maxVoidDelay = 4 * time.Second        // after many
)

// voidDelay returns the time until the next request after so many failures in a row: it doubles
// with each, less a random part of half of it. The load that it answers is a restart of most
// hosts: holders of all groups then call a platform that takes a few dozen calls a second, and
// promotions of leaders that have failed need some of them.
func voidDelay(failures int, random float64) time.Duration {
	delay := minVoidDelay
	for range failures - 1 {
		if delay = 2 * delay; delay >= maxVoidDelay {
			delay = maxVoidDelay
			break
		}
	}
	return delay - time.Duration(random*float64(delay)/2)
}

// voiding is the state of the requests by which this host voids those of earlier holders. Such
// a request names the target that leads, so it changes nothing, but the platform has then seen
// this host's token and refuses lower ones.
type voiding struct {
	unanswered []voidRequest
	failures   int       // since the last request that was accepted
	retryAt    time.Time // no request is sent before this time
}

// voidRequest is a request without an answer. It may be carried out until the given time, and
// promotes its target if another one leads by then.
type voidRequest struct {
	target topology.TargetID
	token  uint64
	until  time.Time
}

// mayPromoteOther reports whether an unanswered request may replace the leader, which was
// proved to lead at the given time.
func (v *voiding) mayPromoteOther(leader topology.TargetID, provedAt time.Time) bool {
	return slices.ContainsFunc(v.unanswered, func(r voidRequest) bool { return r.target != leader && provedAt.Before(r.until) })
}

// noteUnanswered records that a request got no answer.
func (v *voiding) noteUnanswered(target topology.TargetID, token uint64, now time.Time) {
	v.unanswered = slices.DeleteFunc(v.unanswered, func(r voidRequest) bool { return !now.Before(r.until) })
	v.unanswered = append(v.unanswered, voidRequest{target, token, now.Add(unresolvedWindow)})
}

// noteAccepted records that the platform has accepted a request with the token.
func (v *voiding) noteAccepted(token uint64) {
	v.unanswered = slices.DeleteFunc(v.unanswered, func(r voidRequest) bool { return r.token < token })
}

// voidEarlierRequests makes the platform refuse the requests of earlier holders of the duty
// that it hasn't carried out yet. Nobody may remember them. The ones carried out before it
// answers have their effect within maxEffectDelay. While it doesn't answer, the requests can be
// ruled out after unresolvedWindow only.
func (w *Watcher) voidEarlierRequests(ctx context.Context) {
	now := steady.Now()
	if w.opts.Leases != nil || w.commits.ordered && !w.ownRequestNamesLeader() || now.Before(w.voiding.retryAt) {
		return
	}
	w.voiding.retryAt = now.Add(minVoidDelay)
	if w.requests.needsToken(w.leader) && !w.renewToken(ctx) {
		return
	}
	if !w.announceVoiding(ctx) {
		return
	}
	token, held := w.opts.Duty.Token(w.opts.Group)
	if !held || steady.Now().Sub(w.lastTickAt) > suspendedAfter {
		return
	}
	target := w.leader
	reply := w.request(ctx, target, token)
	w.opts.Log.Info("earlier promotion requests voided", append([]any{"group", w.opts.Group, "target", target, "token", token}, reply.logValues()...)...)
	metrics.GetOrCreateCounter(`nettlewalk_voided_promotions_total{outcome="` + outcomeNames[reply.Outcome] + `"}`).Inc()
	w.commits.forgetLeader() // it leads a later term if it had just been replaced
	now = steady.Now()
	w.requests.noteVoiding(target, reply.Outcome, now)
	w.voiding.failures++
	w.voiding.retryAt = now.Add(voidDelay(w.voiding.failures, rand.Float64()))
	switch reply.Outcome {
	case Accepted:
		w.voiding.noteAccepted(token)
		if w.requests.inDoubt { // under this token, and for this target
			w.voiding.noteUnanswered(target, token, now)
		}
		w.voiding.failures, w.voiding.retryAt = 0, now.Add(maxEffectDelay+minVoidDelay)
	case Unanswered:
		w.voiding.noteUnanswered(target, token, now)
	case Refused:
		w.renewToken(ctx) // another host used a higher token, or the target has just ended
	}
}

// ownRequestNamesLeader reports whether a promotion that this host requested, without an answer,
// is that of the target that leads. It led already, or the request is carried out; in either
// case a request of this kind changes as little.
func (w *Watcher) ownRequestNamesLeader() bool {
	return w.commits.ordered && w.requests.inDoubt && w.requests.lastTarget == w.leader
}

// announceVoiding tells the voters that a request for the leader is about to be sent: it
// promotes it again if an earlier request has replaced it by then, and a later holder has to
// know. It reports whether enough of them accept.
func (w *Watcher) announceVoiding(ctx context.Context) bool {
	sealing := w.opts.Commits.Seal(ctx, w.opts.Group, max(w.commits.leaderTerm, w.leaderPosition.Term))
	return sealing.Closed && w.opts.Commits.Order(ctx, w.opts.Group, w.leader)
}
