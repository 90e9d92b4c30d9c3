package promotion

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// promote gives the order and waits until it has taken effect.
func (w *Watcher) promote(ctx context.Context, target topology.TargetID) {
	if w.orders.needsToken(target) {
		if err := w.opts.Duty.Renew(ctx, w.opts.Group); err != nil {
			w.opts.Log.Info("promotion held", "group", w.opts.Group, "reason", "an earlier order may still be carried out, and no new token can be had", "error", err.Error())
			return
		}
		w.orders.renewed()
	}
	token, mine := w.opts.Duty.Token(w.opts.Group)
	if !mine || steady.Now().Sub(w.ticked) > frozenAfter {
		return
	}
	w.orders.give(target)
	w.opts.Duty.Ordered(w.opts.Group)
	reply := w.opts.Promoter.Promote(ctx, Order{Group: w.opts.Group, Target: target, Holder: w.opts.Name, Token: token})
	values := []any{"group", w.opts.Group, "target", target, "token", token, "since_ms", steady.Now().Sub(w.started).Milliseconds()}
	if reply.Err != nil {
		values = append(values, "error", reply.Err.Error())
	}
	w.opts.Log.Info("promotion ordered", append(values, "outcome", outcomeNames[reply.Outcome])...)
	metrics.GetOrCreateCounter(`nettlewalk_promotions_total{outcome="` + outcomeNames[reply.Outcome] + `"}`).Inc()
	w.orders.answered(reply.Outcome, steady.Now())
	switch reply.Outcome {
	case Accepted:
		w.awaitEffect(ctx, target)
	case Refused:
		// Either another host used a higher token or the target isn't running.
		if err := w.opts.Duty.Renew(ctx, w.opts.Group); err != nil {
			w.opts.Log.Info("duty not renewed", "group", w.opts.Group, "error", err.Error())
		}
	}
}

var outcomeNames = [...]string{Accepted: "accepted", Refused: "refused", NotDone: "not_done", Unanswered: "unanswered"}

// awaitEffect waits until the promoted target leads.
func (w *Watcher) awaitEffect(ctx context.Context, target topology.TargetID) {
	began := steady.Now()
	e := w.probers[target]
	for ctx.Err() == nil && steady.Now().Sub(began) < effectTimeout {
		if w.prove(ctx, target, e).leads {
			w.settled = steady.Now()
			w.opts.Log.Info("promotion took effect", "group", w.opts.Group, "target", target, "took_ms", w.settled.Sub(began).Milliseconds())
			metrics.GetOrCreateHistogram("nettlewalk_promotion_seconds").Update(w.settled.Sub(w.started).Seconds())
			return
		}
		time.Sleep(busyInterval)
	}
	w.opts.Log.Info("promotion had no effect yet", "group", w.opts.Group, "target", target)
}
