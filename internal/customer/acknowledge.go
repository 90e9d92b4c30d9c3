package customer

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ackPolicy holds the acknowledgement setting of one customer and the groups that
// the setting affects.
type ackPolicy struct {
	template string
	override *AckMode // nil: the template's setting applies
	groups   []topology.GroupID
}

// ackPolicies indexes the acknowledgement settings of customers by group. It
// is not safe for concurrent use.
type ackPolicies struct {
	byCustomer       map[string]ackPolicy
	customersByGroup map[topology.GroupID][]string // names of the customers of a group
}

func newAckPolicies() *ackPolicies {
	return &ackPolicies{byCustomer: map[string]ackPolicy{}, customersByGroup: map[topology.GroupID][]string{}}
}

// set replaces the policy of a customer. A nil spec removes the customer.
func (p *ackPolicies) set(name string, spec *Spec) {
	for _, g := range p.byCustomer[name].groups {
		p.customersByGroup[g] = slices.DeleteFunc(p.customersByGroup[g], func(other string) bool { return other == name })
		if len(p.customersByGroup[g]) == 0 {
			delete(p.customersByGroup, g)
		}
	}
	delete(p.byCustomer, name)
	if spec == nil {
		return
	}
	policy := ackPolicy{template: spec.Template, override: spec.Parameters.Acknowledge}
	for _, g := range spec.Databases {
		if slices.Contains(policy.groups, g) {
			continue
		}
		policy.groups = append(policy.groups, g)
		p.customersByGroup[g] = append(p.customersByGroup[g], name)
	}
	p.byCustomer[name] = policy
}

// forGroup returns when commits of the group are acknowledged. AckTerm applies
// only if every customer of the group selects it, because all of them depend
// on the log of the group.
func (p *ackPolicies) forGroup(group topology.GroupID, templates map[string]Versioned[*Template]) AckMode {
	names := p.customersByGroup[group]
	if len(names) == 0 {
		return AckMajority
	}
	for _, name := range names {
		policy := p.byCustomer[name]
		template, ok := templates[policy.template]
		if !ok || resolveParameter(policy.override, template.Value.Parameters.Acknowledge, AckMajority) != AckTerm {
			return AckMajority
		}
	}
	return AckTerm
}

// AckMode returns when commits of the group are acknowledged.
func (s *Store) AckMode(group topology.GroupID) AckMode {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.ackPolicies.forGroup(group, s.templates)
}
