package customer

import (
	"encoding/json"
	"time"
)

// Bounds and defaults of the parameters.
const (
	maxMaxStaleness = 24 * time.Hour
	maxConcurrent   = 100_000
	maxQueue        = 1_000_000
	maxRate         = 1e6 // statements a second
	minCostShare    = 0.01
	maxCostShare    = 1000.0

	defaultMaxStaleness = 10 * time.Second
	defaultConcurrent   = 64
	defaultQueue        = 256
	defaultCostShare    = 1.0
)

// Parameters are what a template sets and a customer may set for itself. A nil
// one isn't set.
type Parameters struct {
	ReadKeywords *bool
	MaxStaleness *time.Duration
	WhenCutOff   *WhenCutOff
	Acknowledge  *Acknowledge
	Concurrent   *int
	Queue        *int
	Rate         *float64
	CostShare    *float64
}

func parseParameters(path string, data json.RawMessage, faults *Faults) Parameters {
	f := readFields(path, data, faults)
	p := Parameters{
		ReadKeywords: field(f, "read_keywords", "true or false", anyValue[bool]),
		MaxStaleness: duration(f, "max_staleness", `a duration from "0s" (any age) to "24h"`, 0, maxMaxStaleness),
		WhenCutOff: field(f, "when_cut_off", "refuse or serve", func(v WhenCutOff) bool {
			return v == Refuse || v == Serve
		}),
		Acknowledge: field(f, "acknowledge", "majority or term", func(v Acknowledge) bool {
			return v == AckMajority || v == AckTerm
		}),
		Concurrent: field(f, "concurrent", "a whole number from 1 to 100000", within(1, maxConcurrent)),
		Queue:      field(f, "queue", "a whole number from 0 to 1000000", within(0, maxQueue)),
		Rate:       field(f, "rate", "statements a second from 0 (no bound) to 1000000", within(0, maxRate)),
		CostShare:  field(f, "cost_share", "a number from 0.01 to 1000", within(minCostShare, maxCostShare)),
	}
	f.finish()
	return p
}

// or returns the own parameter, the template's or the default.
func or[T any](own, template *T, standard T) T {
	if own != nil {
		return *own
	}
	if template != nil {
		return *template
	}
	return standard
}
