package group

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	syncInterval = 250 * time.Millisecond // targets that vanished are dropped this much late at most
	// anchorAge is how old the newest anchor may grow before the leader is
	// asked for another: a small part of the routes' bounds on age.
	anchorAge = 300 * time.Millisecond
)

// SetOptions configures a Set.
type SetOptions struct {
	Domain  topology.Domain
	Dialer  statement.Dialer
	Catalog *catalog.Store
	// Size returns how many connections to a target this host keeps open, for
	// the target's limit on connections from all hosts.
	Size    func(target topology.Target, limit int) int
	Suspect func(topology.GroupID, topology.TargetID, statement.DialOutcome)
	Log     logr.Logger
}

// Set keeps the groups that the catalog names. Safe for concurrent use.
type Set struct {
	opts SetOptions

	mu     sync.Mutex
	groups map[topology.GroupID]*Group
}

// NewSet returns a set without groups.
func NewSet(opts SetOptions) *Set {
	return &Set{opts: opts, groups: map[topology.GroupID]*Group{}}
}

// Group returns a group, nil if there is none of that id.
func (s *Set) Group(id topology.GroupID) *Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[id]
}

// IDs returns the ids of all groups.
func (s *Set) IDs() []topology.GroupID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]topology.GroupID, 0, len(s.groups))
	for id := range s.groups {
		ids = append(ids, id)
	}
	return ids
}

// Run follows the catalog until ctx ends and keeps anchors fresh.
func (s *Set) Run(ctx context.Context) {
	ticker := time.NewTicker(syncInterval)
	defer ticker.Stop()
	for {
		changed := s.opts.Catalog.Changed()
		s.sync()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (s *Set) sync() {
	c := s.opts.Catalog.Configuration()
	if c == nil {
		return
	}
	serving := s.opts.Catalog.Serving()
	for id, settings := range c.Groups {
		g := s.ensure(id)
		g.SetMembers(serving[id], func(t topology.Target) int { return s.opts.Size(t, settings.MaxConnections) })
		go g.Refresh(anchorAge)
	}
}

func (s *Set) ensure(id topology.GroupID) *Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[id]
	if g == nil {
		g = New(Options{ID: id, Domain: s.opts.Domain, Dialer: s.opts.Dialer, Log: s.opts.Log, Suspect: s.opts.Suspect})
		s.groups[id] = g
	}
	return g
}

// Leaderless returns how many groups have no target that is proved to lead, and
// how many groups there are.
func (s *Set) Leaderless() (without, all int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		if _, _, ok := g.Leader(); !ok {
			without++
		}
	}
	return without, len(s.groups)
}

// Offer is this host's connections to the targets of one group.
type Offer struct {
	Group topology.GroupID
	Leads bool // one of them to the target that is believed to lead
	placement.Load
	Open int
	// Last is the target that led last, as far as this host knows, and ProvedAgo
	// how long ago that was proved.
	Last      topology.TargetID
	ProvedAgo time.Duration
}

// Offers returns this host's connections by group.
func (s *Set) Offers() []Offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var offers []Offer
	for _, g := range s.groups {
		if o := g.offer(); o.Open > 0 || o.Last != "" {
			offers = append(offers, o)
		}
	}
	return offers
}

func (g *Group) offer() Offer {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := Offer{Group: g.opts.ID, Last: g.belief.last, ProvedAgo: steady.Now().Sub(g.belief.lastAt)}
	for id, m := range g.members {
		load := m.pool.Load()
		free := load.Idle - load.Waiting
		if id == g.belief.leader {
			o.Leads, o.LeaderIdle = load.Open > 0, free
		}
		o.Idle += free
		o.Open += load.Open
	}
	return o
}

// Load returns how much more this host can run of the group's statements.
func (g *Group) Load() placement.Load { return g.offer().Load }

// Dump returns the state of all groups for operators.
func (s *Set) Dump() []Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	var dumps []Dump
	for _, g := range s.groups {
		dumps = append(dumps, g.Dump())
	}
	return dumps
}

// Ready tells whether a connection to any target is open.
func (s *Set) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		if g.connected() {
			return true
		}
	}
	return false
}

func (g *Group) connected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.pool.Load().Open > 0 {
			return true
		}
	}
	return false
}
