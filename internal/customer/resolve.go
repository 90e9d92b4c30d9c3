package customer

import "nettlewalk.example/nettlewalk/internal/topology"

// Versioned is a value with its object's version.
type Versioned[T any] struct {
	Version uint64
	Value   T
}

// Resolve gives what is in force for a customer: its own parameters, then its
// template's, then the defaults. Both are checked already.
func Resolve(id topology.CustomerID, template Versioned[*Template], spec Versioned[*Spec]) *Customer {
	own, common := &spec.Value.Parameters, &template.Value.Parameters
	return &Customer{
		ID:              id,
		Template:        spec.Value.Template,
		Version:         spec.Version,
		TemplateVersion: template.Version,
		Databases:       spec.Value.Databases,
		Users:           spec.Value.Users,
		ReadKeywords:    or(own.ReadKeywords, common.ReadKeywords, false),
		MaxStaleness:    or(own.MaxStaleness, common.MaxStaleness, defaultMaxStaleness),
		WhenCutOff:      or(own.WhenCutOff, common.WhenCutOff, Refuse),
		Acknowledge:     or(own.Acknowledge, common.Acknowledge, AckMajority),
		Limits: Limits{
			Concurrent: or(own.Concurrent, common.Concurrent, defaultConcurrent),
			Queue:      or(own.Queue, common.Queue, defaultQueue),
			Rate:       or(own.Rate, common.Rate, 0),
		},
		CostShare: or(own.CostShare, common.CostShare, defaultCostShare),
	}
}
