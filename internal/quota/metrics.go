package quota

import "github.com/VictoriaMetrics/metrics"

// refusalReason tells why an operation was refused.
type refusalReason string

const (
	refusedLimit    refusalReason = "limit"     // the customer is at its limit
	refusedNoAnswer refusalReason = "no_answer" // no seller of tokens answered in time
)

var (
	admittedCounter = metrics.NewCounter("nettlewalk_quota_admitted_total")
	refusedCounters = map[refusalReason]*metrics.Counter{
		refusedLimit:    metrics.NewCounter(`nettlewalk_quota_refused_total{reason="limit"}`),
		refusedNoAnswer: metrics.NewCounter(`nettlewalk_quota_refused_total{reason="no_answer"}`),
	}
	creditedCounter   = metrics.NewCounter("nettlewalk_quota_credited_total")
	waitedCounter     = metrics.NewCounter("nettlewalk_quota_waited_total")
	purchaseCounter   = metrics.NewCounter("nettlewalk_quota_purchases_total")
	unansweredCounter = metrics.NewCounter("nettlewalk_quota_unanswered_total")
	relayCounter      = metrics.NewCounter("nettlewalk_quota_relayed_total")
	salesCounters     = [roles]*metrics.Counter{
		coordinator: metrics.NewCounter(`nettlewalk_quota_sales_total{role="coordinator"}`),
		deputy:      metrics.NewCounter(`nettlewalk_quota_sales_total{role="deputy"}`),
		alone:       metrics.NewCounter(`nettlewalk_quota_sales_total{role="alone"}`),
	}
)
