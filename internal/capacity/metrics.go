package capacity

import "github.com/VictoriaMetrics/metrics"

var (
	wakes       = metrics.NewCounter("nettlewalk_capacity_wakes_total")
	failedWakes = metrics.NewCounter("nettlewalk_capacity_wakes_failed_total")
	rounds      = metrics.NewCounter("nettlewalk_capacity_rounds_total") // as coordinator of a group
	polls       = metrics.NewCounter("nettlewalk_capacity_polls_total")
	failedPolls = metrics.NewCounter("nettlewalk_capacity_polls_failed_total")
	reductions  = metrics.NewCounter("nettlewalk_capacity_reductions_total")
)
