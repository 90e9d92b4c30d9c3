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
	// OnChange is called after Learn has stored a newer claim.
	OnChange func()
}

// Keeper acquires, renews and releases duties for this host and stores the claims
// of all hosts. It is safe for concurrent use.
type Keeper struct {
	opts      Options
	createdAt time.Time

	mu          sync.Mutex
	claims      map[topology.GroupID]Claim
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
	leaving   bool // Release was called: this host acquires no duty any more
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
// newer than the known claim of its group.
func (k *Keeper) Learn(c Claim) {
	k.mu.Lock()
	old := k.claims[c.Group]
	newer := c.supersedes(&old)
	newTenure := newer && !c.sameTenure(&old)
	if newer {
		if k.isHeldHere(c) && !k.isHeldHere(old) {
			k.heldSince[c.Group] = steady.Now()
		}
		k.claims[c.Group] = c
		delete(k.unheldSince, c.Group)
	}
	k.mu.Unlock()
	if newTenure && k.isHeldHere(c) {
		takeovers.Inc()
	}
	if newer {
		k.opts.Log.Info("duty claim learned", "group", c.Group, "holder", c.Name, "token", c.Token, "released", c.Released, "mine", k.isHeldHere(c))
		k.opts.OnChange()
	}
}

// Claims returns all known claims.
func (k *Keeper) Claims() []Claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Claim, 0, len(k.claims))
	for _, c := range k.claims {
		list = append(list, c)
	}
	return list
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

// recordPending sets the time until which requests of the superseded claim's
// holder may take effect. It is called before this host writes its own claim, and
// without k.mu held.
func (k *Keeper) recordPending(superseded Claim) {
	now := steady.Now()
	if superseded.Token == 0 || k.isHeldHere(superseded) {
		return
	}
	silentFor, ok := k.opts.Hosts.HeardAgo(superseded.Holder)
	switch {
	case superseded.Released:
		silentFor = 0
	case !ok || superseded.Holder == k.opts.Self: // silent since this process started
		silentFor = now.Sub(k.createdAt)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pendingUntil[superseded.Group] = now.Add(max(0, RequestEffectWindow-silentFor))
}

// recordAcquisition records that this host is about to write its claim.
func (k *Keeper) recordAcquisition(id topology.GroupID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.acquiredAt[id] = steady.Now()
}

// Leadership returns what the holders of the group's duty recorded last.
func (k *Keeper) Leadership(id topology.GroupID) Leadership {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claims[id].Leadership
}

// Record records the group's state for the holders that follow. It spreads the record
// to other hosts at once and returns when the store has it, or with an error. It does
// nothing if this host doesn't hold the duty or the state is known.
func (k *Keeper) Record(ctx context.Context, id topology.GroupID, state Leadership) error {
	k.mu.Lock()
	claim := k.claims[id]
	if !k.isHeldHere(claim) || claim.Leadership == state {
		k.mu.Unlock()
		return nil
	}
	claim.Leadership = state
	claim.Update++
	k.claims[id] = claim
	k.mu.Unlock()
	k.opts.OnChange()
	object, stored, err := k.readClaim(ctx, id)
	if err != nil {
		return err
	}
	if !stored.sameTenure(&claim) && stored.Token >= claim.Token { // a lower token: the store has lost this host's claim
		k.Learn(stored)
		return ErrHeldByOther
	}
	if object.Value, err = json.Marshal(claim); err != nil {
		return err
	}
	_, err = k.opts.Store.PutIf(ctx, object)
	return err
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

// loadClaims reads all claims from the store.
func (k *Keeper) loadClaims(ctx context.Context) {
	list, err := k.opts.Store.List(ctx, Kind)
	if err != nil {
		k.opts.Log.Info("reading duty claims failed, waiting for other hosts to report them", "error", err.Error())
		return
	}
	for _, o := range list.Objects {
		if c, err := decodeClaim(o); err == nil {
			k.Learn(c)
		} else {
			k.opts.Log.Error(err, "invalid duty claim ignored", "name", o.Name)
		}
	}
}

func decodeClaim(o platform.Object) (c Claim, err error) {
	err = errors.Wrap(json.Unmarshal(o.Value, &c), "decode duty claim")
	return c, err
}

// dueClaims returns the claims that this host should try to supersede now.
func (k *Keeper) dueClaims(now time.Time) []Claim {
	live, connected := k.opts.Hosts.Live(), k.opts.Hosts.Connected()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return nil
	}
	var due []Claim
	for _, id := range k.groups {
		if now.Before(k.retryAt[id]) {
			continue
		}
		s := k.electionState(id, live, now)
		s.connected, s.liveHosts = connected, len(live)
		if shouldAcquire(s) {
			k.retryAt[id] = now.Add(retryInterval)
			known := k.claims[id]
			known.Group = id
			due = append(due, known)
		}
	}
	return due
}

// electionState returns the input of shouldAcquire for the group. It leaves the
// fields connected and liveHosts to the caller, which must hold k.mu.
func (k *Keeper) electionState(id topology.GroupID, live []topology.Host, now time.Time) electionState {
	c := k.claims[id]
	s := electionState{self: k.opts.Self, boot: k.opts.Boot, claim: c, rank: electionRank(id, k.opts.Self, live, k.opts.PrimaryDomain(id))}
	silentFor, ok := k.opts.Hosts.HeardAgo(c.Holder)
	if !ok {
		silentFor = now.Sub(k.createdAt)
	}
	s.holderSilentFor = silentFor
	if c.Token == 0 || c.Released {
		if k.unheldSince[id].IsZero() {
			k.unheldSince[id] = now
		}
		s.waited = now.Sub(k.unheldSince[id])
	}
	return s
}

// claimsToHandOver returns the claims that this host should release because it is
// in the failure domain of the group's primary.
func (k *Keeper) claimsToHandOver(now time.Time) []Claim {
	live, connected := k.opts.Hosts.Live(), k.opts.Hosts.Connected()
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []Claim
	for _, id := range k.groups {
		if !k.isHeldHere(k.claims[id]) || now.Before(k.retryAt[id]) {
			continue
		}
		domain := k.opts.PrimaryDomain(id)
		outside, _ := splitByDomain(live, domain)
		state := handOverState{inPrimaryDomain: domain == k.opts.Domain, hostsOutside: len(outside), connected: connected, heldFor: now.Sub(k.heldSince[id])}
		if requestedAt, ok := k.lastRequestAt[id]; ok {
			state.hasRequested, state.sinceRequest = true, now.Sub(requestedAt)
		}
		if shouldHandOver(state) {
			k.retryAt[id] = now.Add(minHoldTime) // gives other hosts time to acquire the duty
			list = append(list, k.claims[id])
		}
	}
	return list
}

// handOver releases a duty so that a host in another failure domain can acquire it.
func (k *Keeper) handOver(ctx context.Context, c Claim) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.opts.Log.Info("handing over duty", "group", c.Group, "token", c.Token, "reason", "the primary is in this host's failure domain", "domain", k.opts.Domain)
	if err := k.releaseClaim(ctx, c); err != nil {
		k.opts.Log.Info("releasing duty failed", "group", c.Group, "error", err.Error())
	}
}

// acquire tries to become the holder of the group's duty. It succeeds only if the
// store contains this host's claim.
func (k *Keeper) acquire(ctx context.Context, expected Claim) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := k.writeClaim(ctx, expected); err != nil {
		k.opts.Log.Info("acquiring duty failed", "group", expected.Group, "error", err.Error())
	}
}

// ErrHeldByOther is returned if another host holds the duty or has written a newer
// claim.
var ErrHeldByOther = errors.New("another host holds the duty")

// Renew replaces this host's claim by one with a higher token than all before. It
// fails if another host holds the duty.
func (k *Keeper) Renew(ctx context.Context, id topology.GroupID) error {
	k.mu.Lock()
	known := k.claims[id]
	k.mu.Unlock()
	if !k.isHeldHere(known) {
		return ErrHeldByOther
	}
	return k.writeClaim(ctx, known)
}

// writeClaim writes a claim of this host with the next token. expected is the claim
// on which the decision to write is based; writeClaim fails if the store contains a
// newer one.
func (k *Keeper) writeClaim(ctx context.Context, expected Claim) error {
	object, stored, err := k.readClaim(ctx, expected.Group)
	if err != nil {
		return err
	}
	if stored.Token > expected.Token {
		k.Learn(stored)
		return ErrHeldByOther
	}
	claim := Claim{Group: expected.Group, Holder: k.opts.Self, Name: k.opts.Name, Boot: k.opts.Boot, Token: nextToken(max(stored.Token, expected.Token), k.opts.Store.Era())}
	claim.Leadership = stored.Leadership
	if expected.supersedes(&stored) { // the last record didn't reach the store
		claim.Leadership = expected.Leadership
	}
	if object.Value, err = json.Marshal(claim); err != nil {
		return err
	}
	k.recordPending(expected)
	k.recordAcquisition(expected.Group)
	era := k.opts.Store.Era()
	if _, err = k.opts.Store.PutIf(ctx, object); err != nil {
		if err = k.verifyWrite(ctx, claim, err); err != nil {
			return err
		}
	}
	k.Learn(claim)
	k.recordWritten(claim.Group, era)
	return nil
}

// recordWritten records the era of the store in which this host's claim was written. If
// the era has risen meanwhile, the claim is written again.
func (k *Keeper) recordWritten(id topology.GroupID, era uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.writtenIn[id] = era
}

// claimsToRewrite returns the claims of this host that the store may have lost, since it
// came back from an older copy. They are written again before another host could take
// the duty: hosts know the holder from each other, not from the store.
func (k *Keeper) claimsToRewrite(now time.Time) []Claim {
	era := k.opts.Store.Era()
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []Claim
	for _, id := range k.groups {
		c := k.claims[id]
		if k.leaving || !k.isHeldHere(c) || k.writtenIn[id] >= era || now.Before(k.retryAt[id]) {
			continue
		}
		k.retryAt[id] = now.Add(retryInterval)
		list = append(list, c)
	}
	return list
}

// rewrite writes a claim of this host again, with a token of the store's new era.
func (k *Keeper) rewrite(ctx context.Context, held Claim) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.opts.Log.Info("writing duty claim again", "group", held.Group, "token", held.Token, "era", k.opts.Store.Era(), "reason", "the store came back from an older copy")
	if err := k.writeClaim(ctx, held); err != nil {
		k.opts.Log.Info("writing duty claim again failed", "group", held.Group, "error", err.Error())
	}
}

// verifyWrite reads the claim back after a failed write. It returns nil if the write
// was carried out although its response was lost. Otherwise it returns cause, most
// likely because another host's claim was written first.
func (k *Keeper) verifyWrite(ctx context.Context, claim Claim, cause error) error {
	_, stored, err := k.readClaim(ctx, claim.Group)
	if err != nil {
		return errors.CombineErrors(cause, err)
	}
	k.Learn(stored)
	if stored == claim {
		return nil
	}
	return cause
}

// readClaim returns the group's object and claim. If the store has no object yet, it
// returns a new object without a value.
func (k *Keeper) readClaim(ctx context.Context, id topology.GroupID) (platform.Object, Claim, error) {
	object, err := k.opts.Store.Get(ctx, Kind, string(id))
	var coded *result.Error
	if errors.As(err, &coded) && coded.Code == result.NotFound {
		return platform.Object{Kind: Kind, Name: string(id)}, Claim{}, nil
	}
	if err != nil {
		return object, Claim{}, err
	}
	claim, err := decodeClaim(object)
	return object, claim, err
}

// Release gives up all duties of this host, so that other hosts can acquire them
// without waiting for TakeoverAfter.
func (k *Keeper) Release(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	for _, c := range k.Claims() {
		if !k.isHeldHere(c) {
			continue
		}
		if err := k.releaseClaim(ctx, c); err != nil {
			k.opts.Log.Info("releasing duty failed", "group", c.Group, "error", err.Error())
		}
	}
}

func (k *Keeper) releaseClaim(ctx context.Context, c Claim) error {
	object, stored, err := k.readClaim(ctx, c.Group)
	if err != nil {
		return err
	}
	if !stored.sameTenure(&c) || stored.Released {
		return ErrHeldByOther
	}
	c.Released = true
	if object.Value, err = json.Marshal(c); err != nil {
		return err
	}
	k.Learn(c)
	_, err = k.opts.Store.PutIf(ctx, object)
	return err
}
