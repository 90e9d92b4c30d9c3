package duty

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	checkInterval  = 200 * time.Millisecond  // between checks for duties to acquire or hand over
	storeTimeout   = 1500 * time.Millisecond // for one acquisition or hand-over
	retryInterval  = 500 * time.Millisecond  // between attempts to acquire the same duty
	initialReaders = 3                       // number of hosts that read all claims at startup, one per failure domain
)

// Store is the part of the platform client that reads and writes claims.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	List(ctx context.Context, kind string) (platform.List, error)
	PutIf(ctx context.Context, object platform.Object) (platform.Object, error)
	// Era returns the store's newest era that is known. It rises when the store comes
	// back from an older copy and has lost what was written since.
	Era() uint64
}

// Hosts provides this host's view of the fleet.
type Hosts interface {
	// HeardAgo returns the time since the host was last heard from, directly
	// or by gossip. It returns false if the host was never heard from.
	HeardAgo(topology.HostID) (time.Duration, bool)
	// Live returns the live hosts, including this host.
	Live() []topology.Host
	// LargeFleet reports whether news of a holder takes several rounds of gossip to
	// reach every host, so that its silence must have lasted longer.
	LargeFleet() bool
	// Connected reports whether hosts in most failure domains answered recently.
	Connected() bool
	// Settled reports whether this host has heard of everything that concerns a
	// duty which it acquired at the given time.
	Settled(acquired time.Time) bool
	// Rank returns this host's rank for work that a few hosts do for the whole
	// fleet; 0 is first.
	Rank() int
}

// Options configures a Keeper.
type Options struct {
	Self  topology.HostID // peer address of this host
	Name  string
	Boot  uint64
	Store Store
	Hosts Hosts
	// Domain is this host's failure domain.
	Domain topology.Domain
	// PrimaryDomain returns the failure domain of a group's primary, or "" if
	// it is unknown.
	PrimaryDomain func(topology.GroupID) topology.Domain
	Log           logr.Logger
	// OnChange is called with the claim's group after Learn has stored a newer claim or
	// electorate, and after Record or RecordElectorate has changed this host's own.
	OnChange func(topology.GroupID)
}

// Keeper acquires, renews and releases duties for this host and stores the claims
// of all hosts. It is safe for concurrent use.
type Keeper struct {
	opts      Options
	createdAt time.Time

	mu          sync.Mutex
	claims      map[topology.GroupID]Claim
	claimList   []Claim // what Claims returns, nil after a change
	groups      []topology.GroupID
	unheldSince map[topology.GroupID]time.Time // when this host first saw that nobody holds the duty
	retryAt     map[topology.GroupID]time.Time // earliest time of the next attempt to acquire or hand over
	// pendingUntil is the time until which a promotion request of the previous
	// holder may still take effect.
	pendingUntil  map[topology.GroupID]time.Time
	heldSince     map[topology.GroupID]time.Time // when this host acquired the duty
	lastRequestAt map[topology.GroupID]time.Time // when this host sent its last promotion request
	// acquiredAt is a time shortly before the store accepted this host's claim.
	acquiredAt map[topology.GroupID]time.Time
	// writtenIn is the era of the store in which this host's claim was written.
	writtenIn map[topology.GroupID]uint64
	// stored is the state in the latest claim of this host that the store is known to have.
	stored map[topology.GroupID]storedState
	// members are the possible commit holders of groups whose duty this host holds, and
	// writtenMembers those in the store.
	members, writtenMembers map[topology.GroupID][]Member
	// objectLocks are held while this host reads and then writes a group's object.
	objectLocks map[topology.GroupID]chan struct{}

	leaving bool // Release was called: this host acquires no duty any more
}

// New returns a Keeper that knows no claims.
func New(opts Options) *Keeper {
	return &Keeper{
		opts:          opts,
		createdAt:     steady.Now(),
		claims:        map[topology.GroupID]Claim{},
		unheldSince:   map[topology.GroupID]time.Time{},
		retryAt:       map[topology.GroupID]time.Time{},
		pendingUntil:  map[topology.GroupID]time.Time{},
		heldSince:     map[topology.GroupID]time.Time{},
		lastRequestAt: map[topology.GroupID]time.Time{},
		acquiredAt:    map[topology.GroupID]time.Time{},
		writtenIn:     map[topology.GroupID]uint64{},
		stored:        map[topology.GroupID]storedState{},

		members: map[topology.GroupID][]Member{}, writtenMembers: map[topology.GroupID][]Member{},
		objectLocks: map[topology.GroupID]chan struct{}{},
	}
}

// SetGroups replaces the list of groups that have a duty.
func (k *Keeper) SetGroups(ids []topology.GroupID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.groups = ids
}

// takeovers counts the claims of this process: acquired and renewed duties.
var takeovers = metrics.NewCounter("nettlewalk_duty_takeovers_total")

// Learn stores a claim read from the store or received from another host, if it is
// newer than the known claim of its group. Of the two electorates it keeps the newer one.
func (k *Keeper) Learn(c Claim) {
	k.mu.Lock()
	old := k.claims[c.Group]
	newer := c.supersedes(&old)
	newTenure := newer && !c.sameTenure(&old)
	newElectorate := !newer && old.Token > 0 && c.Electorate.Epoch > old.Electorate.Epoch
	switch {
	case newElectorate:
		old.Electorate = c.Electorate
		k.setClaim(old)
	case newer:
		c.Electorate = newerElectorate(c.Electorate, old.Electorate)
		if k.isHeldHere(c) && !k.isHeldHere(old) {
			k.heldSince[c.Group] = steady.Now()
		}
		k.setClaim(c)
		delete(k.unheldSince, c.Group)
	}
	k.mu.Unlock()
	if newTenure && k.isHeldHere(c) {
		takeovers.Inc()
	}
	if newer {
		k.opts.Log.Info("duty claim learned", "group", c.Group, "holder", c.Name, "token", c.Token, "released", c.Released, "mine", k.isHeldHere(c), "epoch", c.Electorate.Epoch)
	}
	if newElectorate {
		k.opts.Log.Info("electorate learned", "group", c.Group, "epoch", c.Electorate.Epoch, "token", c.Token)
	}
	if newer || newElectorate {
		k.opts.OnChange(c.Group)
	}
}

// setClaim replaces a group's claim. The caller holds k.mu.
func (k *Keeper) setClaim(c Claim) {
	k.claims[c.Group] = c
	k.claimList = nil
}

// Claims returns all known claims, sorted by group. Callers must not modify the list.
func (k *Keeper) Claims() []Claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.claimList == nil {
		k.claimList = slices.SortedFunc(maps.Values(k.claims), func(a, b Claim) int { return cmp.Compare(a.Group, b.Group) })
	}
	return k.claimList
}

// HeldCount returns the number of duties that this host holds.
func (k *Keeper) HeldCount() int {
	n := 0
	for _, c := range k.Claims() {
		if k.isHeldHere(c) {
			n++
		}
	}
	return n
}

func (k *Keeper) isHeldHere(c Claim) bool {
	return c.Holder == k.opts.Self && c.Boot == k.opts.Boot && !c.Released
}

// Token returns the fencing token of the group's claim and whether this host holds
// the duty.
func (k *Keeper) Token(id topology.GroupID) (token uint64, held bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.claims[id]
	return c.Token, k.isHeldHere(c)
}

// Settled reports whether this host holds the group's duty and would have heard if
// another host had acquired it since.
func (k *Keeper) Settled(id topology.GroupID) bool {
	k.mu.Lock()
	held, acquired := k.isHeldHere(k.claims[id]), k.acquiredAt[id]
	k.mu.Unlock()
	return held && k.opts.Hosts.Settled(acquired)
}

// NoteRequest records that this host is about to send a promotion request for the
// group.
func (k *Keeper) NoteRequest(id topology.GroupID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastRequestAt[id] = steady.Now()
}

// PendingUntil returns the time until which a promotion request of the previous
// holder may still take effect.
func (k *Keeper) PendingUntil(id topology.GroupID) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.pendingUntil[id]
}

// Holder returns the host that holds the group's duty, and false if none is known.
func (k *Keeper) Holder(id topology.GroupID) (topology.HostID, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c, ok := k.claims[id]
	return c.Holder, ok && !c.Released
}

// Run acquires duties that no live host holds and hands over those that a host
// outside the primary's failure domain should hold, until ctx is done.
func (k *Keeper) Run(ctx context.Context) {
	if k.opts.Hosts.Rank() < initialReaders {
		k.loadClaims(ctx) // the other hosts receive the claims by gossip
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, held := range k.claimsToRewrite(steady.Now()) {
			k.rewrite(ctx, held)
		}
		for _, known := range k.dueClaims(steady.Now()) {
			k.acquire(ctx, known)
		}
		for _, held := range k.claimsToHandOver(steady.Now()) {
			k.handOver(ctx, held)
		}
	}
}
