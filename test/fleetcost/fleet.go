// Package fleetcost runs the control parts of many hosts in one process, to measure what
// they cost a host: gossip, duties, promotion watchers and groups. Messages between hosts
// are encoded as net/rpc encodes them. Targets and the store are stand-ins without cost.
package fleetcost

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/promotion"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Shape is the size of a fleet.
type Shape struct {
	Hosts, Domains, Groups int
	MaxConnections         int // of a target
}

// Counts are totals over all hosts.
type Counts struct {
	Messages, Bytes int64 // between hosts, requests and answers
	Exchanges       int64 // with targets
	StoreCalls      int64
}

// Fleet is a running fleet.
type Fleet struct {
	hosts  map[topology.HostID]*host
	store  memoryStore
	counts struct{ messages, bytes, exchanges atomic.Int64 }
	cancel context.CancelFunc
}

type host struct {
	fleet    *Fleet
	gossip   *gossip.Gossip
	duty     *duty.Keeper
	groups   *group.Set
	watchers *promotion.Watchers
	catalog  *catalog.Store
	holders  share.Holders
	self     topology.HostID
	wire     wire
}

// Start starts a fleet whose hosts all have the configuration and the register.
func Start(s Shape) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{hosts: map[topology.HostID]*host{}, cancel: cancel, store: memoryStore{objects: map[string]platform.Object{}}}
	c, r := s.catalog()
	for i := range s.Hosts {
		f.addHost(topology.HostID(fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250)), topology.Domain(fmt.Sprintf("domain-%d", i%s.Domains)), c, r)
	}
	for _, h := range f.hosts {
		h.run(ctx, c)
	}
	return f
}

// Stop stops all hosts.
func (f *Fleet) Stop() { f.cancel() }

// Counts returns what happened since Start.
func (f *Fleet) Counts() Counts {
	return Counts{Messages: f.counts.messages.Load(), Bytes: f.counts.bytes.Load(), Exchanges: f.counts.exchanges.Load(), StoreCalls: f.store.calls.Load()}
}

// Settled reports whether hosts have heard of nine tenths of the others and all duties are
// held.
func (f *Fleet) Settled() bool {
	for _, h := range f.hosts {
		if len(h.gossip.Live()) < len(f.hosts)*9/10 {
			return false
		}
		for _, id := range h.groups.IDs() {
			if _, held := h.duty.Holder(id); !held {
				return false
			}
		}
	}
	return true
}

func (s Shape) catalog() (*catalog.Configuration, *catalog.Registry) {
	c := &catalog.Configuration{Version: 1, Routes: map[string]catalog.Route{}, Groups: map[topology.GroupID]catalog.Group{}}
	r := &catalog.Registry{Revision: 1, Members: map[topology.TargetID]catalog.Member{}}
	for i := range s.Groups {
		id := topology.GroupID(fmt.Sprintf("group-%03d", i))
		c.Groups[id] = catalog.Group{ID: id, MaxConnections: s.MaxConnections, AckReplicas: 1}
		for j := range 3 {
			target := topology.TargetID(fmt.Sprintf("%s-%d", id, j))
			r.Members[target] = catalog.Member{Target: topology.Target{ID: target, Group: id, Domain: topology.Domain(fmt.Sprintf("domain-%d", j)), Addr: string(target)}, Primary: j == 0, WorkSlots: 4}
		}
	}
	return c, r
}

func (f *Fleet) addHost(id topology.HostID, domain topology.Domain, c *catalog.Configuration, r *catalog.Registry) {
	h := &host{fleet: f, self: id, catalog: catalog.NewStore(), watchers: promotion.NewWatchers()}
	h.catalog.OfferConfiguration(c)
	h.catalog.OfferRegistry(r)
	h.gossip = gossip.New(gossip.Options{
		Self: gossip.Host{Addr: id, Name: string(id), Domain: domain, Boot: uint64(len(f.hosts) + 1)}, Seeds: []topology.HostID{"10.0.0.0:7400", "10.0.0.1:7400", "10.0.0.2:7400"},
		Catalog: h.catalog, Caller: h, Offers: h.offers, OnOffers: h.learnLeaders, Log: logr.Discard(),
	})
	h.duty = duty.New(duty.Options{
		Self: id, Name: string(id), Boot: uint64(len(f.hosts) + 1), Domain: domain, Store: &f.store, Hosts: h.gossip,
		PrimaryDomain: func(id topology.GroupID) topology.Domain {
			var last topology.TargetID
			if g := h.groups.Group(id); g != nil {
				last, _ = g.LastLeader()
			}
			return h.catalog.PrimaryDomain(id, last)
		},
		Log: logr.Discard(), OnChange: func(id topology.GroupID) { h.gossip.TriggerRound(); h.watchers.DutyChanged(id) },
	})
	h.gossip.SetClaims(h.duty)
	h.groups = group.NewSet(group.SetOptions{
		Domain: domain, Dialer: &dialer{f}, Catalog: h.catalog, Size: h.connectionShare,
		OnSuspect: func(topology.GroupID, topology.TargetID, statement.DialOutcome) {}, Log: logr.Discard(),
	})
	f.hosts[id] = h
}

func (h *host) run(ctx context.Context, c *catalog.Configuration) {
	go h.gossip.Run(ctx)
	go h.duty.Run(ctx)
	go h.groups.Run(ctx)
	var ids []topology.GroupID
	for id := range c.Groups {
		ids = append(ids, id)
	}
	h.duty.SetGroups(ids)
	go func() {
		for _, id := range ids {
			for h.groups.Group(id) == nil {
				time.Sleep(10 * time.Millisecond)
			}
			h.watchers.Ensure(ctx, id, func() *promotion.Watcher {
				return promotion.NewWatcher(promotion.Options{
					Group: id, Name: string(h.self), Dialer: &dialer{h.fleet}, Parse: parseStatus, Promoter: noPromoter{}, Duty: h.duty, DutyAnnounced: true, Catalog: h.catalog,
					GroupView: h.groups.Group(id), Hosts: func() int { return len(h.gossip.Live()) }, Log: logr.Discard(),
				})
			})
		}
	}()
}

// connectionShare and the functions below do what cmd/nettlewalk does for a host.
func (h *host) connectionShare(t topology.Target, limit int) int {
	sharers := h.gossip.Sharers()
	n, size := share.Plan(limit, len(sharers.Hosts))
	p := share.Planned{Size: size, Holder: true}
	if n < len(sharers.Hosts) {
		p.Holder = slices.ContainsFunc(h.holders.ForGroup(t.Group, n, sharers.Hosts, sharers.Version), func(x topology.Host) bool { return x.ID == h.self })
	}
	return share.Allowed(limit, p, share.Fleet{Hosts: len(sharers.Hosts), Recent: sharers.Recent, JoinedFor: sharers.JoinedFor, Unchanged: steady.Now().Sub(sharers.ChangedAt)})
}

func (h *host) offers() []gossip.Offer {
	var list []gossip.Offer
	for _, o := range h.groups.Offers() {
		list = append(list, gossip.Offer(o))
	}
	return list
}

func (h *host) learnLeaders(offers []gossip.Offer, at time.Time) {
	for _, o := range offers {
		if g := h.groups.Group(o.Group); g != nil && o.Last != "" {
			g.NoteReportedLeader(o.Last, at.Add(-o.ProvedAgo))
		}
	}
}

// Call implements peer.Caller.
func (h *host) Call(_ context.Context, id topology.HostID, method string, args, reply any) error {
	other := h.fleet.hosts[id]
	if other == nil {
		return result.New(result.HostUnreachable, "no host %s", id)
	}
	request, ok := args.(*gossip.Digest)
	if !ok {
		return errors.Newf("unexpected call %s", method)
	}
	var received gossip.Digest
	if err := h.send(request, &received); err != nil {
		return err
	}
	var answer gossip.DigestReply
	if err := other.gossip.Service().Exchange(&received, &answer); err != nil {
		return err
	}
	return other.send(&answer, reply)
}

// send encodes a message and decodes it into the other one.
func (h *host) send(message, received any) error {
	n, err := h.wire.copy(message, received)
	h.fleet.counts.messages.Add(1)
	h.fleet.counts.bytes.Add(int64(n))
	return err
}

// wire is a connection on which the types have been sent already, as after the first call
// between two hosts.
type wire struct {
	mu  sync.Mutex
	buf bytes.Buffer
	enc *gob.Encoder
	dec *gob.Decoder
}

func (w *wire) copy(message, received any) (size int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.enc == nil {
		w.enc, w.dec = gob.NewEncoder(&w.buf), gob.NewDecoder(&w.buf)
	}
	if err := w.enc.Encode(message); err != nil {
		return 0, err
	}
	size = w.buf.Len()
	return size, w.dec.Decode(received)
}

// memoryStore implements duty.Store.
type memoryStore struct {
	calls   atomic.Int64
	mu      sync.Mutex
	objects map[string]platform.Object
}

// Get implements duty.Store.
func (s *memoryStore) Get(_ context.Context, _, name string) (platform.Object, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if !ok {
		return o, result.New(result.NotFound, "no such object")
	}
	return o, nil
}

// List implements duty.Store.
func (s *memoryStore) List(context.Context, string) (platform.List, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	var list platform.List
	for _, o := range s.objects {
		list.Objects = append(list.Objects, o)
	}
	return list, nil
}

// PutIf implements duty.Store.
func (s *memoryStore) PutIf(_ context.Context, o platform.Object) (platform.Object, error) {
	s.calls.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[o.Name].Version != o.Version {
		return o, errors.New("the object has changed")
	}
	o.Version++
	s.objects[o.Name] = o
	return o, nil
}

// Era implements duty.Store.
func (*memoryStore) Era() uint64 { return 0 }

// dialer opens connections to targets of which the first of each group leads.
type dialer struct{ fleet *Fleet }

// Dial implements statement.Dialer.
func (d *dialer) Dial(_ context.Context, t topology.Target, _ topology.CustomerID) (statement.Conn, error) {
	return &conn{fleet: d.fleet, leads: t.ID[len(t.ID)-1] == '0'}, nil
}

type conn struct {
	fleet *Fleet
	leads bool
}

// Exchange implements statement.Conn.
func (c *conn) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	c.fleet.counts.exchanges.Add(1)
	answers := make([]statement.Answer, len(batch))
	for i, st := range batch {
		answers[i].Rows = []string{fmt.Sprint(c.leads)}
		if st.Kind == statement.Begin && !c.leads {
			answers[i].Code = statement.ReadOnly
		}
	}
	return answers, nil
}

// Alive implements statement.Conn.
func (*conn) Alive() bool { return true }

// Close implements statement.Conn.
func (*conn) Close() {}

func parseStatus(row string) (s statement.TargetStatus, err error) {
	_, err = fmt.Sscan(row, &s.Primary)
	s.Term = 1
	return s, err
}

type noPromoter struct{}

// Promote implements promotion.Promoter.
func (noPromoter) Promote(context.Context, promotion.Request) promotion.Reply {
	return promotion.Reply{}
}
