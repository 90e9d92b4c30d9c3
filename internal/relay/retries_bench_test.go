package relay

import (
	"testing"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
)

// The first sending of each statement earns a part of a retry.
func BenchmarkEarnRetry(b *testing.B) {
	budget := newRetryBudget(&Options{RetryBudget: func() bool { return true }, Log: logr.Discard()})
	for b.Loop() {
		budget.earn(1)
	}
}

// The budget is asked before each retry and for each host that is asked.
func BenchmarkCoversRetry(b *testing.B) {
	budget := newRetryBudget(&Options{RetryBudget: func() bool { return true }, Log: logr.Discard()})
	config := &catalog.Configuration{Routes: map[string]catalog.Route{"a": {Priority: 1}, "b": {}}}
	route := config.Routes["a"]
	for b.Loop() {
		budget.covers(&route, config)
	}
}
