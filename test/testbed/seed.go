package testbed

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// userName is the login of every customer's callers. userNameReadOnly has no
// writes of its own.
const (
	userName         = "app"
	userNameReadOnly = "viewer"
)

// seed writes the plan's groups and customers to the platform.
func (b *Bed) seed(ctx context.Context) error {
	for _, id := range b.Plan.Groups {
		if err := b.Platform.Put(ctx, "group", string(id), b.group(id)); err != nil {
			return err
		}
	}
	for _, c := range b.Plan.Customers {
		if err := b.seedCustomer(ctx, c); err != nil {
			return err
		}
	}
	return nil
}

func (b *Bed) group(id topology.GroupID) topology.Group {
	ids := b.Plan.TargetIDs(id)
	g := topology.Group{ID: id, Term: 1, Primary: ids[0]}
	for _, t := range ids {
		node := b.Targets[t].Node
		g.Targets = append(g.Targets, topology.Target{
			ID:          t,
			Group:       id,
			Domain:      node.Domain,
			Addr:        node.addr(targetPort),
			Connections: b.Plan.Connections,
			Slots:       b.Plan.Slots,
		})
	}
	return g
}

// MarkTargetLeaving changes whether the target is to get new work.
func (b *Bed) MarkTargetLeaving(ctx context.Context, id topology.TargetID, leaving bool) error {
	group := b.Targets[id].Group
	return b.Platform.Change(ctx, "group", string(group), func(g *topology.Group) {
		for i := range g.Targets {
			if g.Targets[i].ID == id {
				g.Targets[i].Leaving = leaving
			}
		}
	})
}

func (b *Bed) users() []customer.User {
	return []customer.User{{Name: userName}, {Name: userNameReadOnly, ReadOnly: true}}
}

// parameters are a template's part of an object.
type parameters struct {
	ReadKeywords bool                 `json:"read_keywords"`
	MaxStaleness string               `json:"max_staleness"`
	WhenCutOff   customer.WhenCutOff  `json:"when_cut_off"`
	Acknowledge  customer.Acknowledge `json:"acknowledge"`
	Concurrent   int                  `json:"concurrent"`
	Queue        int                  `json:"queue"`
	Rate         float64              `json:"rate"`
	CostShare    float64              `json:"cost_share"`
}

type templateObject struct {
	Parameters parameters `json:"parameters"`
}

type customerObject struct {
	Template  string                      `json:"template"`
	Databases map[string]topology.GroupID `json:"databases"`
	Users     []customer.User             `json:"users"`
}

// seedCustomer writes a template of the customer's own and the customer.
func (b *Bed) seedCustomer(ctx context.Context, c Customer) error {
	template := templateObject{Parameters: parameters{
		ReadKeywords: c.ReadKeywords,
		MaxStaleness: c.MaxStaleness.String(),
		WhenCutOff:   c.WhenCutOff,
		Acknowledge:  c.Acknowledge,
		Concurrent:   c.Limits.Concurrent,
		Queue:        c.Limits.Queue,
		Rate:         c.Limits.Rate,
		CostShare:    c.CostShare,
	}}
	if err := b.Platform.Put(ctx, "template", string(c.ID), template); err != nil {
		return err
	}
	object := customerObject{Template: string(c.ID), Databases: map[string]topology.GroupID{}, Users: b.users()}
	for _, g := range b.Plan.Groups {
		object.Databases[string(g)] = g
	}
	return b.Platform.Put(ctx, "customer", string(c.ID), object)
}
