package customer

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// choice is what one customer says about the commits of its groups.
type choice struct {
	template string
	own      *Acknowledge
	groups   []topology.GroupID
}

// choices finds the customers of a group. Not safe for concurrent use.
type choices struct {
	byCustomer map[string]choice
	byGroup    map[topology.GroupID][]string // names of customers
}

func newChoices() *choices {
	return &choices{byCustomer: map[string]choice{}, byGroup: map[topology.GroupID][]string{}}
}

// set replaces what a customer says; nil: the customer is gone.
func (c *choices) set(name string, spec *Spec) {
	for _, g := range c.byCustomer[name].groups {
		c.byGroup[g] = slices.DeleteFunc(c.byGroup[g], func(other string) bool { return other == name })
		if len(c.byGroup[g]) == 0 {
			delete(c.byGroup, g)
		}
	}
	delete(c.byCustomer, name)
	if spec == nil {
		return
	}
	said := choice{template: spec.Template, own: spec.Parameters.Acknowledge}
	for _, g := range spec.Databases {
		if slices.Contains(said.groups, g) {
			continue
		}
		said.groups = append(said.groups, g)
		c.byGroup[g] = append(c.byGroup[g], name)
	}
	c.byCustomer[name] = said
}

// of returns when the group's commits are acknowledged: by term only if each of
// its customers chose that, since all of them depend on the group's log.
func (c *choices) of(group topology.GroupID, templates map[string]Versioned[*Template]) Acknowledge {
	names := c.byGroup[group]
	if len(names) == 0 {
		return AckMajority
	}
	for _, name := range names {
		said := c.byCustomer[name]
		template, ok := templates[said.template]
		if !ok || or(said.own, template.Value.Parameters.Acknowledge, AckMajority) != AckTerm {
			return AckMajority
		}
	}
	return AckTerm
}

// Acknowledge returns when the group's commits are acknowledged.
func (s *Store) Acknowledge(group topology.GroupID) Acknowledge {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.choices.of(group, s.templates)
}
