package customer

import (
	"encoding/json"
	"time"
)

// Bounds and defaults of the parameters.
const (
	maxStalenessBound = 24 * time.Hour
	maxConcurrent     = 100_000
	maxQueue          = 1_000_000
	maxRate           = 1e6 // statements per second
	minCostShare      = 0.01
	maxCostShare      = 1000.0

	defaultMaxStaleness = 10 * time.Second
	defaultConcurrent   = 64
	defaultQueue        = 256
	defaultCostShare    = 1.0
)

// Parameters are the settings of a template, which a customer may override. A
// nil field is not set.
type Parameters struct {
	ReadKeywords *bool
	MaxStaleness *time.Duration
	WhenCutOff   *StaleReadPolicy
	Acknowledge  *AckMode
	Concurrent   *int
	Queue        *int
	Rate         *float64
	CostShare    *float64
}

// parseParameters parses the parameters object and reports invalid fields
// under the given path prefix.
func parseParameters(path string, data json.RawMessage, faults *Faults) Parameters {
	f := newFieldReader(path, data, faults)
	p := Parameters{
		ReadKeywords: optionalField(f, "read_keywords", "true or false", anyValue[bool]),
		MaxStaleness: durationField(f, "max_staleness", `a duration from "0s" (unlimited) to "24h"`, 0, maxStalenessBound),
		WhenCutOff: optionalField(f, "when_cut_off", "refuse or serve", func(v StaleReadPolicy) bool {
			return v == RefuseStaleReads || v == ServeStaleReads
		}),
		Acknowledge: optionalField(f, "acknowledge", "majority or term", func(v AckMode) bool {
			return v == AckMajority || v == AckTerm
		}),
		Concurrent: optionalField(f, "concurrent", "an integer from 1 to 100000", inRange(1, maxConcurrent)),
		Queue:      optionalField(f, "queue", "an integer from 0 to 1000000", inRange(0, maxQueue)),
		Rate:       optionalField(f, "rate", "statements per second from 0 (unlimited) to 1000000", inRange(0, maxRate)),
		CostShare:  optionalField(f, "cost_share", "a number from 0.01 to 1000", inRange(minCostShare, maxCostShare)),
	}
	f.reportUnknown()
	return p
}

// resolveParameter returns the customer's own value, otherwise the template's,
// otherwise the default.
func resolveParameter[T any](own, template *T, defaultValue T) T {
	if own != nil {
		return *own
	}
	if template != nil {
		return *template
	}
	return defaultValue
}
