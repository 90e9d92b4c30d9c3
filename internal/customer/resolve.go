package customer

import "nettlewalk.example/nettlewalk/internal/topology"

// Versioned is a value together with the version of its object.
type Versioned[T any] struct {
	Version uint64
	Value   T
}

// Resolve returns the effective configuration of a customer. The customer's
// own parameters take precedence over the template's, and those over the
// defaults. Both objects must be valid.
func Resolve(id topology.CustomerID, template Versioned[*Template], spec Versioned[*Spec]) *Customer {
	own, inherited := &spec.Value.Parameters, &template.Value.Parameters
	return &Customer{
		ID:              id,
		Template:        spec.Value.Template,
		Version:         spec.Version,
		TemplateVersion: template.Version,
		Databases:       spec.Value.Databases,
		Users:           spec.Value.Users,
		ReadKeywords:    resolveParameter(own.ReadKeywords, inherited.ReadKeywords, false),
		MaxStaleness:    resolveParameter(own.MaxStaleness, inherited.MaxStaleness, defaultMaxStaleness),
		WhenCutOff:      resolveParameter(own.WhenCutOff, inherited.WhenCutOff, RefuseStaleReads),
		Acknowledge:     resolveParameter(own.Acknowledge, inherited.Acknowledge, AckMajority),
		Limits: Limits{
			Concurrent: resolveParameter(own.Concurrent, inherited.Concurrent, defaultConcurrent),
			Queue:      resolveParameter(own.Queue, inherited.Queue, defaultQueue),
			Rate:       resolveParameter(own.Rate, inherited.Rate, 0),
		},
		CostShare: resolveParameter(own.CostShare, inherited.CostShare, defaultCostShare),
	}
}
