package duty

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	tick        = 200 * time.Millisecond // between looks whether a duty is to be taken
	takeTimeout = 1500 * time.Millisecond
	retryTake   = 500 * time.Millisecond // after a take that failed
	readers     = 3                      // hosts that read all claims when they start, one a failure domain
)

// Store is the part of the platform's client that claims need.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	List(ctx context.Context, kind string) (platform.List, error)
	PutIf(ctx context.Context, object platform.Object) (platform.Object, error)
}

// Hosts is what is known of the other hosts.
type Hosts interface {
	// HeardAgo returns for how long nothing was heard of the host, false if
	// nothing ever was.
	HeardAgo(topology.HostID) (time.Duration, bool)
	// Live returns the hosts that take part, this one included.
	Live() []topology.Host
	// Connected tells whether hosts of most failure domains answered lately.
	Connected() bool
	// Rank is this host's place for what a few hosts do for all, 0 first.
	Rank() int
}

// Options configures a Keeper.
type Options struct {
	Self  topology.HostID
	Name  string
	Boot  uint64
	Store Store
	Hosts Hosts
	// Domain is this host's failure domain.
	Domain topology.Domain
	// PrimaryDomain returns the failure domain of a group's primary, "" if it
	// isn't known.
	PrimaryDomain func(topology.GroupID) topology.Domain
	Log           logr.Logger
	// Changed is told when a claim became known.
	Changed func()
}

// Keeper holds duties for this host. Safe for concurrent use.
type Keeper struct {
	opts  Options
	begun time.Time

	mu     sync.Mutex
	claims map[topology.GroupID]Claim
	groups []topology.GroupID
	free   map[topology.GroupID]time.Time // since when nobody holds it
	next   map[topology.GroupID]time.Time // no take before
	// pending is until when an order of the holder before may take effect.
	pending map[topology.GroupID]time.Time
	held    map[topology.GroupID]time.Time // since when this host holds it
	ordered map[topology.GroupID]time.Time // when this host gave its last order
}

// New returns a keeper that knows of no claim.
func New(opts Options) *Keeper {
	return &Keeper{
		opts:    opts,
		begun:   steady.Now(),
		claims:  map[topology.GroupID]Claim{},
		free:    map[topology.GroupID]time.Time{},
		next:    map[topology.GroupID]time.Time{},
		pending: map[topology.GroupID]time.Time{},
		held:    map[topology.GroupID]time.Time{},
		ordered: map[topology.GroupID]time.Time{},
	}
}

// SetGroups tells which groups there are duties for.
func (k *Keeper) SetGroups(ids []topology.GroupID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.groups = ids
}

// takeovers counts the duties that this process took.
var takeovers = metrics.NewCounter("nettlewalk_duty_takeovers_total")

// Learn takes what another host or the store knows of a claim.
func (k *Keeper) Learn(c Claim) {
	k.mu.Lock()
	old := k.claims[c.Group]
	newer := c.Token > old.Token || (c.Token == old.Token && c.Released && !old.Released)
	if newer {
		if k.isMine(c) && !k.isMine(old) {
			k.held[c.Group] = steady.Now()
		}
		k.claims[c.Group] = c
		delete(k.free, c.Group)
	}
	k.mu.Unlock()
	if newer && k.isMine(c) {
		takeovers.Inc()
	}
	if newer {
		k.opts.Log.Info("duty known", "group", c.Group, "holder", c.Name, "token", c.Token, "released", c.Released, "mine", k.isMine(c))
		k.opts.Changed()
	}
}

// Claims returns every claim known.
func (k *Keeper) Claims() []Claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Claim, 0, len(k.claims))
	for _, c := range k.claims {
		list = append(list, c)
	}
	return list
}

// Held returns how many duties this host holds.
func (k *Keeper) Held() int {
	n := 0
	for _, c := range k.Claims() {
		if k.isMine(c) {
			n++
		}
	}
	return n
}

func (k *Keeper) isMine(c Claim) bool {
	return c.Holder == k.opts.Self && c.Boot == k.opts.Boot && !c.Released
}

// Token returns the token under which this host holds the group's duty.
func (k *Keeper) Token(id topology.GroupID) (token uint64, mine bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.claims[id]
	return c.Token, k.isMine(c)
}

// Ordered notes that this host gives an order for the group.
func (k *Keeper) Ordered(id topology.GroupID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ordered[id] = steady.Now()
}

// PendingUntil returns until when an order of the holder before this host may
// still take effect.
func (k *Keeper) PendingUntil(id topology.GroupID) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pending[id]
}

// notePending needs no lock. It is called before this host overrides a claim.
func (k *Keeper) notePending(known Claim) {
	now := steady.Now()
	if known.Token == 0 || k.isMine(known) {
		return
	}
	heard, ok := k.opts.Hosts.HeardAgo(known.Holder)
	if !ok || known.Holder == k.opts.Self || known.Released {
		heard = 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending[known.Group] = now.Add(max(0, OrderPending-heard))
}

// Holder returns who holds the group's duty.
func (k *Keeper) Holder(id topology.GroupID) (topology.HostID, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.claims[id]
	return c.Holder, ok && !c.Released
}

// Run takes duties that nobody holds until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	if k.opts.Hosts.Rank() < readers {
		k.load(ctx) // the others hear of it from these
	}
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, known := range k.due(steady.Now()) {
			k.take(ctx, known)
		}
		for _, held := range k.misplaced(steady.Now()) {
			k.handOver(ctx, held)
		}
	}
}

// load reads the claims that stand in the store.
func (k *Keeper) load(ctx context.Context) {
	list, err := k.opts.Store.List(ctx, Kind)
	if err != nil {
		k.opts.Log.Info("duties not read, other hosts may know them", "error", err.Error())
		return
	}
	for _, o := range list.Objects {
		if c, err := decode(o); err == nil {
			k.Learn(c)
		} else {
			k.opts.Log.Error(err, "duty ignored", "name", o.Name)
		}
	}
}

func decode(o platform.Object) (c Claim, err error) {
	err = errors.Wrap(json.Unmarshal(o.Value, &c), "claim")
	return c, err
}

// due lists the claims that this host should try to override.
func (k *Keeper) due(now time.Time) []Claim {
	live, connected := k.opts.Hosts.Live(), k.opts.Hosts.Connected()
	k.mu.Lock()
	defer k.mu.Unlock()
	var due []Claim
	for _, id := range k.groups {
		if now.Before(k.next[id]) {
			continue
		}
		s := k.situation(id, live, now)
		s.connected, s.hosts = connected, len(live)
		if decide(s) {
			k.next[id] = now.Add(retryTake)
			known := k.claims[id]
			known.Group = id
			due = append(due, known)
		}
	}
	return due
}

// situation needs k.mu.
func (k *Keeper) situation(id topology.GroupID, live []topology.Host, now time.Time) situation {
	c := k.claims[id]
	s := situation{self: k.opts.Self, boot: k.opts.Boot, claim: c, rank: rank(id, k.opts.Self, live, k.opts.PrimaryDomain(id))}
	heard, ok := k.opts.Hosts.HeardAgo(c.Holder)
	if !ok {
		heard = now.Sub(k.begun)
	}
	s.heardAgo = heard
	if c.Token == 0 || c.Released {
		if k.free[id].IsZero() {
			k.free[id] = now
		}
		s.waited = now.Sub(k.free[id])
	}
	return s
}

// misplaced lists the claims of this host that it should give up, since it is in
// the failure domain of the group's primary.
func (k *Keeper) misplaced(now time.Time) []Claim {
	live, connected := k.opts.Hosts.Live(), k.opts.Hosts.Connected()
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []Claim
	for _, id := range k.groups {
		if !k.isMine(k.claims[id]) || now.Before(k.next[id]) {
			continue
		}
		domain := k.opts.PrimaryDomain(id)
		apart, _ := split(live, domain)
		t := tenure{beside: domain == k.opts.Domain, apart: len(apart), connected: connected, heldFor: now.Sub(k.held[id])}
		if at, ok := k.ordered[id]; ok {
			t.ordered, t.orderAgo = true, now.Sub(at)
		}
		if handsOver(t) {
			k.next[id] = now.Add(handOverAfter) // leaves others time to take it
			list = append(list, k.claims[id])
		}
	}
	return list
}

// handOver gives a duty up for a host elsewhere to take.
func (k *Keeper) handOver(ctx context.Context, c Claim) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	k.opts.Log.Info("duty handed over", "group", c.Group, "token", c.Token, "reason", "the primary is in this host's failure domain", "domain", k.opts.Domain)
	if err := k.release(ctx, c); err != nil {
		k.opts.Log.Info("duty not released", "group", c.Group, "error", err.Error())
	}
}

// take tries to become the holder. Only what the store is seen to hold counts.
func (k *Keeper) take(ctx context.Context, known Claim) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	if err := k.override(ctx, known); err != nil {
		k.opts.Log.Info("duty not taken", "group", known.Group, "error", err.Error())
	}
}

// ErrTaken means that another host holds the duty.
var ErrTaken = errors.New("another host holds the duty")

// Renew gives this host a higher token than any before, unless another host
// holds the duty.
func (k *Keeper) Renew(ctx context.Context, id topology.GroupID) error {
	k.mu.Lock()
	known := k.claims[id]
	k.mu.Unlock()
	if !k.isMine(known) {
		return ErrTaken
	}
	return k.override(ctx, known)
}

// override writes this host as the holder, unless the store has another claim
// than the one on which the decision rests.
func (k *Keeper) override(ctx context.Context, known Claim) error {
	object, found, err := k.read(ctx, known.Group)
	if err != nil {
		return err
	}
	if found.Token > known.Token {
		k.Learn(found)
		return ErrTaken
	}
	claim := Claim{Group: known.Group, Holder: k.opts.Self, Name: k.opts.Name, Boot: k.opts.Boot, Token: max(found.Token, known.Token) + 1}
	if object.Value, err = json.Marshal(claim); err != nil {
		return err
	}
	k.notePending(known)
	if _, err = k.opts.Store.PutIf(ctx, object); err == nil {
		k.Learn(claim)
		return nil
	}
	return k.lookAgain(ctx, claim, err)
}

// lookAgain finds out what became of a write whose answer was lost, or who was
// faster.
func (k *Keeper) lookAgain(ctx context.Context, claim Claim, cause error) error {
	_, found, err := k.read(ctx, claim.Group)
	if err != nil {
		return errors.CombineErrors(cause, err)
	}
	k.Learn(found)
	if found == claim {
		return nil
	}
	return cause
}

// read returns the group's object, an empty one if there is none yet.
func (k *Keeper) read(ctx context.Context, id topology.GroupID) (platform.Object, Claim, error) {
	object, err := k.opts.Store.Get(ctx, Kind, string(id))
	var coded *result.Error
	if errors.As(err, &coded) && coded.Code == result.NotFound {
		return platform.Object{Kind: Kind, Name: string(id)}, Claim{}, nil
	}
	if err != nil {
		return object, Claim{}, err
	}
	claim, err := decode(object)
	return object, claim, err
}

// Release gives up every duty, so that others needn't wait for this host's silence.
func (k *Keeper) Release(ctx context.Context) {
	for _, c := range k.Claims() {
		if !k.isMine(c) {
			continue
		}
		if err := k.release(ctx, c); err != nil {
			k.opts.Log.Info("duty not released", "group", c.Group, "error", err.Error())
		}
	}
}

func (k *Keeper) release(ctx context.Context, c Claim) error {
	object, found, err := k.read(ctx, c.Group)
	if err != nil {
		return err
	}
	if found != c {
		return ErrTaken
	}
	c.Released = true
	if object.Value, err = json.Marshal(c); err != nil {
		return err
	}
	k.Learn(c)
	_, err = k.opts.Store.PutIf(ctx, object)
	return err
}
