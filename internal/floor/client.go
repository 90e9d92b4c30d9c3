package floor

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const keeperPatience = 25 * time.Millisecond // the confirmed position is asked for too after this

// Primaries tells who is primary of a group as far as this host knows.
type Primaries interface {
	State(group topology.GroupID) (term uint64, primary topology.TargetID, ok bool)
}

// ClientConfig is what a Client is made of.
type ClientConfig struct {
	Self      topology.HostID
	Keeper    *Keeper // of this host
	Caller    peer.Caller
	Fleet     fleet.View
	Groups    Groups
	Primaries Primaries
	Rounds    Rounds
	// Policy returns when the group's commits are acknowledged; nil: AckMajority.
	Policy func(topology.GroupID) customer.Acknowledge
}

// Client finds floors for the callers of this host. It implements routing's
// Floors. Safe for concurrent use.
type Client struct {
	cfg   ClientConfig
	stats *stats

	mu      sync.Mutex // guards the fields below
	batches map[keptBy]batch
	rounds  map[topology.GroupID]*coalescer[topology.Position]
}

// keptBy names one of a group's keepers.
type keptBy struct {
	group topology.GroupID
	slot  int
}

// batch gathers the questions to one place.
type batch struct {
	at    place
	calls *coalescer[floorsBySession]
}

type floorsBySession map[string]topology.Position

// place is where the keeper of some sessions is.
type place struct {
	group  topology.GroupID
	target topology.TargetID
	slot   int
	host   topology.HostID
}

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Policy == nil {
		cfg.Policy = func(topology.GroupID) customer.Acknowledge { return customer.AckMajority }
	}
	return &Client{
		cfg:     cfg,
		stats:   newStats(),
		batches: make(map[keptBy]batch),
		rounds:  make(map[topology.GroupID]*coalescer[topology.Position]),
	}
}

// Session returns a position at or past every write of the session that was
// acknowledged before the call: its keeper's answer, or the group's confirmed
// position if the keeper takes long or can't answer.
func (c *Client) Session(ctx context.Context, group topology.GroupID, session string) (topology.Position, error) {
	at, ok := c.keeperOf(group, session)
	if !ok {
		c.stats.confirmed.Inc()
		return c.Confirmed(ctx, group)
	}
	kept := c.batch(at).join(session)
	if within(ctx, kept.done, keeperPatience) && kept.err == nil {
		c.stats.kept.Inc()
		return kept.value[session], nil
	}
	return c.first(ctx, session, kept, c.round(group).join(""))
}

// first returns the first answer of the keeper and the confirmed position.
func (c *Client) first(ctx context.Context, session string, kept *run[floorsBySession], confirmed *run[topology.Position]) (topology.Position, error) {
	keptDone, confirmedDone := kept.done, confirmed.done
	for keptDone != nil || confirmedDone != nil {
		select {
		case <-keptDone:
			if kept.err == nil {
				c.stats.kept.Inc()
				return kept.value[session], nil
			}
			keptDone = nil
		case <-confirmedDone:
			if confirmed.err == nil {
				c.stats.confirmed.Inc()
				return confirmed.value, nil
			}
			confirmedDone = nil
		case <-ctx.Done():
			return topology.Position{}, ctx.Err()
		}
	}
	return topology.Position{}, confirmed.err
}

// within tells whether done is closed in time.
func within(ctx context.Context, done <-chan struct{}, patience time.Duration) bool {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// batch returns the questions to the place. Those to a former place of the
// same keeper are answered as they are.
func (c *Client) batch(at place) *coalescer[floorsBySession] {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := keptBy{group: at.group, slot: at.slot}
	b, ok := c.batches[key]
	if !ok || b.at != at {
		calls := newCoalescer(func(sessions []string) (floorsBySession, error) { return c.ask(at, sessions) })
		b = batch{at: at, calls: calls}
		c.batches[key] = b
	}
	return b.calls
}

func (c *Client) keeperOf(id topology.GroupID, session string) (place, bool) {
	_, primary, ok := c.cfg.Primaries.State(id)
	if !ok {
		return place{}, false
	}
	g, ok := c.cfg.Groups.Group(id)
	if !ok {
		return place{}, false
	}
	t, ok := g.Target(primary)
	if !ok {
		return place{}, false
	}
	slot := SlotOf(session, t.Slots)
	holders := c.cfg.Fleet.Holders(t)
	if slot >= len(holders) || c.gone(holders[slot]) {
		return place{}, false
	}
	return place{group: id, target: primary, slot: slot, host: holders[slot]}, true
}

func (c *Client) gone(id topology.HostID) bool {
	h, known := c.cfg.Fleet.Host(id)
	return known && h.State == topology.HostGone
}

// Confirmed returns the group's confirmed position, by a round that began
// after the call.
func (c *Client) Confirmed(ctx context.Context, group topology.GroupID) (topology.Position, error) {
	return c.round(group).do(ctx, "")
}

func (c *Client) round(id topology.GroupID) *coalescer[topology.Position] {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.rounds[id]
	if !ok {
		r = newCoalescer(func([]string) (topology.Position, error) { return c.confirm(id) })
		c.rounds[id] = r
	}
	return r
}

func (c *Client) confirm(id topology.GroupID) (topology.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	g, ok := c.cfg.Groups.Group(id)
	if !ok {
		return topology.Position{}, result.New(result.NoConfiguration, "group %s isn't configured", id)
	}
	r, err := c.cfg.Rounds.Round(ctx, id)
	if err != nil {
		return topology.Position{}, err
	}
	pos, ok := Confirmed(len(g.Targets), r, c.cfg.Policy(id))
	if !ok {
		return topology.Position{}, result.New(result.NoMajority, "group %s: the %d answers of %d targets tell no confirmed position", id, len(r.Statuses), len(g.Targets))
	}
	return pos, nil
}

// ask asks the keeper at a place for the floors of sessions.
func (c *Client) ask(at place, sessions []string) (floorsBySession, error) {
	floors, err := c.call(at, sessions)
	if err != nil {
		return nil, err
	}
	bySession := make(floorsBySession, len(sessions))
	for i, session := range sessions {
		bySession[session] = floors[i]
	}
	return bySession, nil
}

func (c *Client) call(at place, sessions []string) ([]topology.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	c.stats.calls.Inc()
	if at.host == c.cfg.Self {
		return c.cfg.Keeper.Floors(ctx, at.group, at.target, at.slot, sessions)
	}
	q := Question{Group: at.group, Target: at.target, Slot: at.slot, Sessions: sessions}
	var a Answer
	if err := c.cfg.Caller.Call(ctx, at.host, ServiceName+".Ask", q, &a); err != nil {
		return nil, err
	}
	if len(a.Floors) != len(sessions) {
		return nil, result.New(result.HolderLost, "%d floors for %d sessions", len(a.Floors), len(sessions))
	}
	return a.Floors, nil
}
