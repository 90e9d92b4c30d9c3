package testbed

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Users of every customer. The configuration declares readOnlyUser as read-only.
const (
	readWriteUser = "app"
	readOnlyUser  = "viewer"
)

// seedPlatform writes the plan's groups and customers to the platform.
func (b *Bed) seedPlatform(ctx context.Context) error {
	for _, id := range b.Plan.Groups {
		if err := b.Platform.Put(ctx, "group", string(id), b.groupObject(id)); err != nil {
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

// groupObject returns the group's initial configuration: term 1, with the first
// target as the primary.
func (b *Bed) groupObject(id topology.GroupID) topology.Group {
	ids := b.Plan.TargetIDs(id)
	group := topology.Group{ID: id, Term: 1, Primary: ids[0]}
	for _, targetID := range ids {
		node := b.Targets[targetID].Node
		group.Targets = append(group.Targets, topology.Target{
			ID:          targetID,
			Group:       id,
			Domain:      node.Domain,
			Addr:        node.addr(targetPort),
			Connections: b.Plan.Connections,
			Slots:       b.Plan.Slots,
		})
	}
	return group
}

// MarkTargetLeaving sets whether the target is marked as leaving. A leaving target
// gets no new work.
func (b *Bed) MarkTargetLeaving(ctx context.Context, id topology.TargetID, leaving bool) error {
	groupID := b.Targets[id].Group
	return b.Platform.Change(ctx, "group", string(groupID), func(g *topology.Group) {
		for i := range g.Targets {
			if g.Targets[i].ID == id {
				g.Targets[i].Leaving = leaving
			}
		}
	})
}

func (b *Bed) users() []customer.User {
	return []customer.User{{Name: readWriteUser}, {Name: readOnlyUser, ReadOnly: true}}
}

// templateParameters are the parameters in a template object.
type templateParameters struct {
	ReadKeywords bool                     `json:"read_keywords"`
	MaxStaleness string                   `json:"max_staleness"`
	WhenCutOff   customer.StaleReadPolicy `json:"when_cut_off"`
	Acknowledge  customer.AckMode         `json:"acknowledge"`
	Concurrent   int                      `json:"concurrent"`
	Queue        int                      `json:"queue"`
	Rate         float64                  `json:"rate"`
	CostShare    float64                  `json:"cost_share"`
}

type templateObject struct {
	Parameters templateParameters `json:"parameters"`
}

type customerObject struct {
	Template  string                      `json:"template"`
	Databases map[string]topology.GroupID `json:"databases"`
	Users     []customer.User             `json:"users"`
}

// seedCustomer writes the customer and a template that only this customer uses.
func (b *Bed) seedCustomer(ctx context.Context, c Customer) error {
	template := templateObject{Parameters: templateParameters{
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
