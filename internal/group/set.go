package group

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	syncInterval = 250 * time.Millisecond // upper bound on the delay until removed targets are dropped
	// MaxAnchorAge is the age of the newest anchor (see package freshness) at which the
	// leader is probed for a new one: a small fraction of the routes' staleness bounds.
	// Reads that may be no older than that can't be served by replicas.
	MaxAnchorAge = 300 * time.Millisecond
)

// SetOptions configures a Set.
type SetOptions struct {
	Domain  topology.Domain
	Dialer  statement.Dialer
	Catalog *catalog.Store
	// Size returns how many connections this host keeps open to a target,
	// given the target's limit on connections from all hosts together.
	Size func(target topology.Target, limit int) int
	// Customers returns the customers of the connections to a group's targets, nil if
	// there are none. It may be nil.
	Customers func(topology.GroupID) *share.Customers
	// SharedHolders returns how many hosts share the capacity of a group's targets, 0 if
	// it isn't shared. OnWaiting is called without blocking when requests wait for it, see
	// share.Sharing. Both may be nil.
	SharedHolders func(topology.GroupID) int
	OnWaiting     func(topology.GroupID)
	OnSuspect     func(topology.GroupID, topology.TargetID, statement.DialOutcome)
	Leases        Leases // nil if no leases are needed, see Options
	// Recovery tells whether slow start and outlier ejection are in force; nil: never.
	Recovery func() bool
	// LeaveNotice is that of the groups, see Options.
	LeaveNotice time.Duration
	Log         logr.Logger
}

// Set maintains the groups in the catalog. It is safe for concurrent use.
type Set struct {
	opts SetOptions

	mu     sync.Mutex
	groups map[topology.GroupID]*Group
	order  []*Group // the groups in the order of their creation, in which reports take turns
	// nextReport is the index in order from which Offers looks for groups to report.
	nextReport int
}

// NewSet returns a set without groups.
func NewSet(opts SetOptions) *Set {
	return &Set{opts: opts, groups: map[topology.GroupID]*Group{}}
}

// Group returns the group with the ID, or nil if there is none.
func (s *Set) Group(id topology.GroupID) *Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.groups[id]
}

// IDs returns the IDs of all groups.
func (s *Set) IDs() []topology.GroupID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]topology.GroupID, 0, len(s.groups))
	for id := range s.groups {
		ids = append(ids, id)
	}
	return ids
}

// Run applies catalog changes and keeps anchors fresh until ctx ends.
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
	serving, departures := s.opts.Catalog.Serving(), s.opts.Catalog.DepartingSince()
	for id, settings := range c.Groups {
		g := s.getOrCreate(id)
		if s.opts.Customers != nil {
			g.SetCustomers(s.opts.Customers(id))
		}
		g.SetMembers(serving[id], func(t topology.Target) int { return s.opts.Size(t, settings.MaxConnections) })
		g.SetDepartures(departures)
		if s.opts.SharedHolders != nil {
			g.setSharing(s.opts.SharedHolders(id), s.opts.OnWaiting)
		}
		if g.needsRefresh(MaxAnchorAge) {
			go g.Refresh(MaxAnchorAge)
		}
	}
}

func (s *Set) getOrCreate(id topology.GroupID) *Group {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.groups[id]
	if g == nil {
		g = New(Options{ID: id, Domain: s.opts.Domain, Dialer: s.opts.Dialer, Leases: s.opts.Leases, Log: s.opts.Log, OnSuspect: s.opts.OnSuspect, Recovery: s.opts.Recovery, LeaveNotice: s.opts.LeaveNotice})
		s.groups[id] = g
		s.order = append(s.order, g)
	}
	return g
}

// Connected returns the IDs of the groups to which this host has an open connection.
func (s *Set) Connected() []topology.GroupID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []topology.GroupID
	for id, g := range s.groups {
		if g.hasConnection() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Leaderless returns the number of groups without a proved leader and the
// number of all groups.
func (s *Set) Leaderless() (leaderless, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		if _, _, ok := g.Leader(); !ok {
			leaderless++
		}
	}
	return leaderless, len(s.groups)
}

// Offer describes this host's connections to the targets of one group.
type Offer struct {
	Group topology.GroupID
	Leads bool // whether this host has an open connection to the known leader
	placement.Load
	Open int
	// Last is the target that was most recently proved to lead, as far as this
	// host knows, and ProvedAgo is how long ago that was.
	Last      topology.TargetID
	ProvedAgo time.Duration
}

// LastLeaderMaxAge is how old the last proof of leadership may be for the new holder of a
// group's duty to assume that its target is the leader.
const LastLeaderMaxAge = 15 * time.Second

const (
	// listsPerSecond is how many lists of offers a host gets at least.
	listsPerSecond = 6
	// reportRounds is how often each group is named within LastLeaderMaxAge. Lists of several
	// hosts name some groups at the same time and others late.
	reportRounds = 2
	// minLeaderReports applies to small deployments. Up to 720 groups it suffices.
	minLeaderReports = 16
)

// leaderReports returns how many groups without a connection one list of offers names for
// their last leader.
func leaderReports(groups int) int {
	const lists = listsPerSecond * int(LastLeaderMaxAge/time.Second)
	return max(minLeaderReports, (reportRounds*groups+lists-1)/lists)
}

// Offers returns this host's connections by group, and in turn a part of the groups to
// which it has no connection and whose last leader it knows. Drawn at random, a few of 200
// groups were not reported for 15 s. Where leases are needed the claims on duties name the
// last leader, and only connections count.
func (s *Set) Offers() []Offer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var offers, reports []Offer
	limit, first := leaderReports(len(s.order)), s.nextReport
	for i := range s.order {
		index := (first + i) % len(s.order)
		switch o := s.order[index].offer(); {
		case o.Open > 0:
			offers = append(offers, o)
		case o.Last != "" && s.opts.Leases == nil && len(reports) < limit:
			reports = append(reports, o)
			s.nextReport = (index + 1) % len(s.order)
		}
	}
	return append(offers, reports...)
}

func (g *Group) offer() Offer {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := Offer{Group: g.opts.ID, Last: g.view.lastLeader, ProvedAgo: steady.Now().Sub(g.view.lastLeaderAt)}
	for id, m := range g.members {
		if m.pool.Ended() {
			continue
		}
		load := m.pool.LoadFor("")
		free := load.Idle - load.Waiting
		if load.ByCustomer {
			free += load.Size - load.Open // a customer's connection may be opened on demand
		}
		if id == g.view.leader {
			o.Leads, o.LeaderIdle = load.Open > 0, free
		}
		o.Idle += free
		o.Open += load.Open
	}
	return o
}

// Load returns how many more of the group's statements this host can run at
// once.
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

// Ready reports whether this host has an open connection to any target.
func (s *Set) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.groups {
		if g.hasConnection() {
			return true
		}
	}
	return false
}

func (g *Group) hasConnection() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if m.pool.Load().Open > 0 {
			return true
		}
	}
	return false
}
