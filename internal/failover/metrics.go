package failover

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	commitsConfirmed   = metrics.NewCounter(`nettlewalk_commits_confirmed_total`)
	commitsUnconfirmed = metrics.NewCounter(`nettlewalk_commits_unconfirmed_total`)
	confirmDuration    = metrics.NewHistogram(`nettlewalk_commit_confirm_seconds`)
	rounds             = metrics.NewCounter(`nettlewalk_majority_rounds_total`)
	roundsFailed       = metrics.NewCounter(`nettlewalk_majority_rounds_failed_total`)
	failoverDuration   = metrics.NewHistogram(`nettlewalk_failover_seconds`)
	published          = metrics.NewCounter(`nettlewalk_failover_published_total`)
	publishErrors      = metrics.NewCounter(`nettlewalk_failover_publish_errors_total`)
)

func countConfirm(err error, took time.Duration) {
	if err != nil {
		commitsUnconfirmed.Inc()
		return
	}
	commitsConfirmed.Inc()
	confirmDuration.Update(took.Seconds())
}

func countRound(err error) {
	rounds.Inc()
	if err != nil {
		roundsFailed.Inc()
	}
}

// countPhaseChange counts a change of phase and observes the duration of a
// completed failover; took is the time since the group was last steady.
func countPhaseChange(change PhaseChange, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nettlewalk_failover_phases_total{phase=%q,reason=%q}`, change.To, change.Reason)).Inc()
	if change.From == PhasePromoting && change.To == PhaseSteady {
		failoverDuration.Update(took.Seconds())
	}
}

func countPublish(err error) {
	if err != nil {
		publishErrors.Inc()
		return
	}
	published.Inc()
}
