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

// hedgeDelay is how long a query waits for the keeper before it also reads the
// confirmed position.
const hedgeDelay = 25 * time.Millisecond

// Primaries returns the primary of a group as this host knows it.
type Primaries interface {
	CurrentPrimary(group topology.GroupID) (term uint64, primary topology.TargetID, ok bool)
}

// ClientConfig configures a Client.
type ClientConfig struct {
	Self         topology.HostID
	Keeper       *Keeper // answers for the slots that this host holds
	Caller       peer.Caller
	Fleet        fleet.View
	Groups       Groups
	Primaries    Primaries
	QuorumReader QuorumReader
	// Policy returns the group's acknowledgement policy. Nil means AckMajority.
	Policy func(topology.GroupID) customer.AckMode
}

// Client looks up session floors for the callers of this host. It implements
// routing's Floors. Safe for concurrent use.
type Client struct {
	cfg   ClientConfig
	stats *stats

	mu      sync.Mutex // guards the fields below
	queries map[keeperKey]keeperQueries
	rounds  map[topology.GroupID]*coalescer[topology.Position]
}

// keeperKey identifies one of a group's keepers by its slot.
type keeperKey struct {
	group topology.GroupID
	slot  int
}

// keeperQueries coalesces the queries to one keeper at one location.
type keeperQueries struct {
	keeper    keeperLocation
	coalesced *coalescer[floorsBySession]
}

// floorsBySession maps session ids to floors.
type floorsBySession map[string]topology.Position

// keeperLocation identifies a keeper: a slot of the group's primary and the host
// that holds the slot.
type keeperLocation struct {
	group  topology.GroupID
	target topology.TargetID
	slot   int
	host   topology.HostID
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Policy == nil {
		cfg.Policy = func(topology.GroupID) customer.AckMode { return customer.AckMajority }
	}
	return &Client{
		cfg:     cfg,
		stats:   newStats(),
		queries: make(map[keeperKey]keeperQueries),
		rounds:  make(map[topology.GroupID]*coalescer[topology.Position]),
	}
}

// Session returns a position at or past every write of the session that was
// acknowledged before the call. It queries the session's keeper and falls back to
// the group's confirmed position if the keeper is slow or fails.
func (c *Client) Session(ctx context.Context, group topology.GroupID, session string) (topology.Position, error) {
	keeper, ok := c.locateKeeper(group, session)
	if !ok {
		c.stats.confirmedAnswers.Inc()
		return c.Confirmed(ctx, group)
	}
	fromKeeper := c.queriesTo(keeper).join(session)
	if closedWithin(ctx, fromKeeper.done, hedgeDelay) && fromKeeper.err == nil {
		c.stats.keeperAnswers.Inc()
		return fromKeeper.value[session], nil
	}
	return c.firstAnswer(ctx, session, fromKeeper, c.roundFor(group).join(""))
}

// firstAnswer returns whichever succeeds first: the answer of the keeper or the
// confirmed position.
func (c *Client) firstAnswer(ctx context.Context, session string, fromKeeper *run[floorsBySession], fromRound *run[topology.Position]) (topology.Position, error) {
	keeperDone, roundDone := fromKeeper.done, fromRound.done
	for keeperDone != nil || roundDone != nil {
		select {
		case <-keeperDone:
			if fromKeeper.err == nil {
				c.stats.keeperAnswers.Inc()
				return fromKeeper.value[session], nil
			}
			keeperDone = nil
		case <-roundDone:
			if fromRound.err == nil {
				c.stats.confirmedAnswers.Inc()
				return fromRound.value, nil
			}
			roundDone = nil
		case <-ctx.Done():
			return topology.Position{}, ctx.Err()
		}
	}
	return topology.Position{}, fromRound.err
}

// closedWithin reports whether done is closed before the timeout and before ctx is
// done.
func closedWithin(ctx context.Context, done <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// queriesTo returns the coalescer of the queries to the keeper. If the keeper has
// moved to another location, it starts a new coalescer; queries already sent to
// the old location complete there.
func (c *Client) queriesTo(keeper keeperLocation) *coalescer[floorsBySession] {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := keeperKey{group: keeper.group, slot: keeper.slot}
	pending, ok := c.queries[key]
	if !ok || pending.keeper != keeper {
		coalesced := newCoalescer(func(sessions []string) (floorsBySession, error) { return c.queryKeeper(keeper, sessions) })
		pending = keeperQueries{keeper: keeper, coalesced: coalesced}
		c.queries[key] = pending
	}
	return pending.coalesced
}

// locateKeeper returns the location of the session's keeper, or false if the
// primary or the holder of the slot is unknown or gone.
func (c *Client) locateKeeper(id topology.GroupID, session string) (keeperLocation, bool) {
	_, primary, ok := c.cfg.Primaries.CurrentPrimary(id)
	if !ok {
		return keeperLocation{}, false
	}
	g, ok := c.cfg.Groups.Group(id)
	if !ok {
		return keeperLocation{}, false
	}
	t, ok := g.Target(primary)
	if !ok {
		return keeperLocation{}, false
	}
	slot := SlotOf(session, t.Slots)
	holders := c.cfg.Fleet.Holders(t)
	if slot >= len(holders) || c.isGone(holders[slot]) {
		return keeperLocation{}, false
	}
	return keeperLocation{group: id, target: primary, slot: slot, host: holders[slot]}, true
}

func (c *Client) isGone(id topology.HostID) bool {
	h, known := c.cfg.Fleet.Host(id)
	return known && h.State == topology.HostGone
}

// Confirmed returns the group's confirmed position, read from a majority of the
// targets in a round that began after the call.
func (c *Client) Confirmed(ctx context.Context, group topology.GroupID) (topology.Position, error) {
	return c.roundFor(group).do(ctx, "")
}

// roundFor returns the coalescer of reads of the group's confirmed position.
func (c *Client) roundFor(id topology.GroupID) *coalescer[topology.Position] {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.rounds[id]
	if !ok {
		r = newCoalescer(func([]string) (topology.Position, error) { return c.readConfirmed(id) })
		c.rounds[id] = r
	}
	return r
}

// readConfirmed reads the group's confirmed position in one round.
func (c *Client) readConfirmed(id topology.GroupID) (topology.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	g, ok := c.cfg.Groups.Group(id)
	if !ok {
		return topology.Position{}, result.New(result.NoConfiguration, "group %s is not configured", id)
	}
	r, err := c.cfg.QuorumReader.ReadQuorum(ctx, id)
	if err != nil {
		return topology.Position{}, err
	}
	pos, ok := Confirmed(len(g.Targets), r, c.cfg.Policy(id))
	if !ok {
		return topology.Position{}, result.New(result.NoMajority, "group %s: cannot determine the confirmed position from the answers of %d of %d targets", id, len(r.Statuses), len(g.Targets))
	}
	return pos, nil
}

// queryKeeper returns the floors of the sessions from their keeper.
func (c *Client) queryKeeper(keeper keeperLocation, sessions []string) (floorsBySession, error) {
	floors, err := c.callKeeper(keeper, sessions)
	if err != nil {
		return nil, err
	}
	bySession := make(floorsBySession, len(sessions))
	for i, session := range sessions {
		bySession[session] = floors[i]
	}
	return bySession, nil
}

// callKeeper returns the keeper's floors in the order of sessions. It calls the
// local Keeper directly and a remote one by RPC.
func (c *Client) callKeeper(keeper keeperLocation, sessions []string) ([]topology.Position, error) {
	ctx, cancel := context.WithTimeout(context.Background(), verifyTimeout)
	defer cancel()
	c.stats.keeperCalls.Inc()
	if keeper.host == c.cfg.Self {
		return c.cfg.Keeper.Floors(ctx, keeper.group, keeper.target, keeper.slot, sessions)
	}
	q := AskArgs{Group: keeper.group, Target: keeper.target, Slot: keeper.slot, Sessions: sessions}
	var a AskReply
	if err := c.cfg.Caller.Call(ctx, keeper.host, ServiceName+".Ask", q, &a); err != nil {
		return nil, err
	}
	if len(a.Floors) != len(sessions) {
		return nil, result.New(result.HolderLost, "keeper returned %d floors for %d sessions", len(a.Floors), len(sessions))
	}
	return a.Floors, nil
}
