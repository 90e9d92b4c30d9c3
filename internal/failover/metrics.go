package failover

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	confirmed      = metrics.NewCounter(`nettlewalk_commits_confirmed_total`)
	unconfirmed    = metrics.NewCounter(`nettlewalk_commits_unconfirmed_total`)
	confirmWait    = metrics.NewHistogram(`nettlewalk_commit_confirm_seconds`)
	rounds         = metrics.NewCounter(`nettlewalk_majority_rounds_total`)
	roundsFailed   = metrics.NewCounter(`nettlewalk_majority_rounds_failed_total`)
	changeDuration = metrics.NewHistogram(`nettlewalk_failover_seconds`)
	published      = metrics.NewCounter(`nettlewalk_failover_published_total`)
	publishErrors  = metrics.NewCounter(`nettlewalk_failover_publish_errors_total`)
)

func countConfirm(err error, took time.Duration) {
	if err != nil {
		unconfirmed.Inc()
		return
	}
	confirmed.Inc()
	confirmWait.Update(took.Seconds())
}

func countRound(err error) {
	rounds.Inc()
	if err != nil {
		roundsFailed.Inc()
	}
}

// countPhase counts a change of phase; took is the time since the group was steady.
func countPhase(n Note, took time.Duration) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`nettlewalk_failover_phases_total{phase=%q,reason=%q}`, n.To, n.Reason)).Inc()
	if n.From == PhasePromoting && n.To == PhaseSteady {
		changeDuration.Update(took.Seconds())
	}
}

func countPublish(err error) {
	if err != nil {
		publishErrors.Inc()
		return
	}
	published.Inc()
}
