package duty

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// loadClaims reads all claims from the store.
func (k *Keeper) loadClaims(ctx context.Context) {
	list, err := k.opts.Store.List(ctx, Kind)
	if err != nil {
		k.opts.Log.Info("reading duty claims failed, waiting for other hosts to report them", "error", err.Error())
		return
	}
	for _, o := range list.Objects {
		if c, err := decodeClaim(o); err == nil {
			k.learnRecord(c)
		} else {
			k.opts.Log.Error(err, "invalid duty claim ignored", "name", o.Name)
		}
	}
}

func decodeClaim(o platform.Object) (c claimRecord, err error) {
	err = errors.Wrap(json.Unmarshal(o.Value, &c), "decode duty claim")
	return c, err
}

// dueClaims returns the claims that this host should try to supersede now.
func (k *Keeper) dueClaims(now time.Time) []Claim {
	candidates := k.unheldGroups(now)
	if len(candidates) == 0 {
		return nil
	}
	live, connected, largeFleet := k.opts.Hosts.Live(), k.opts.Hosts.Connected(), k.opts.Hosts.LargeFleet()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return nil
	}
	var due []Claim
	for _, id := range candidates {
		s := k.electionState(id, now)
		s.rank = electionRank(id, k.opts.Self, live, k.opts.PrimaryDomain(id))
		s.connected, s.largeFleet = connected, largeFleet
		if shouldAcquire(s) {
			k.retryAt[id] = now.Add(retryInterval)
			known := k.claims[id]
			known.Group = id
			due = append(due, known)
		}
	}
	return due
}

// unheldGroups returns the groups whose duty this host would acquire if it were connected
// and ranked first. Nearly always there is none, and a rank needn't be computed for any.
func (k *Keeper) unheldGroups(now time.Time) []topology.GroupID {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []topology.GroupID
	for _, id := range k.groups {
		if now.Before(k.retryAt[id]) {
			continue
		}
		s := k.electionState(id, now)
		s.connected = true
		if shouldAcquire(s) {
			list = append(list, id)
		}
	}
	return list
}

// electionState returns the input of shouldAcquire for the group. It leaves the
// fields rank, connected and largeFleet to the caller, which must hold k.mu.
func (k *Keeper) electionState(id topology.GroupID, now time.Time) electionState {
	c := k.claims[id]
	s := electionState{self: k.opts.Self, boot: k.opts.Boot, claim: c}
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
	unlock, err := k.lockObject(ctx, expected.Group)
	if err != nil {
		return err
	}
	defer unlock()
	expected = k.newest(expected)
	object, stored, err := k.readClaim(ctx, expected.Group)
	if err != nil {
		return err
	}
	if stored.Token > expected.Token {
		k.learnRecord(stored)
		return ErrHeldByOther
	}
	claim := Claim{Group: expected.Group, Holder: k.opts.Self, Name: k.opts.Name, Boot: k.opts.Boot, Token: nextToken(max(stored.Token, expected.Token), k.opts.Store.Era())}
	claim.Leadership = stored.Leadership
	if expected.supersedes(&stored.Claim) { // the last record didn't reach the store
		claim.Leadership = expected.Leadership
	}
	claim.Electorate = newerElectorate(stored.Electorate, expected.Electorate)
	members := k.membersToWrite(expected, stored.Members)
	if object.Value, err = json.Marshal(claimRecord{Claim: claim, Members: members}); err != nil {
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
	k.learnRecord(claimRecord{Claim: claim, Members: members})
	k.noteStored(claim)
	k.recordWritten(claim.Group, era)
	return nil
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

// verifyWrite reads the claim back after a failed write. It returns nil if the write
// was carried out although its response was lost. Otherwise it returns cause, most
// likely because another host's claim was written first.
func (k *Keeper) verifyWrite(ctx context.Context, claim Claim, cause error) error {
	_, stored, err := k.readClaim(ctx, claim.Group)
	if err != nil {
		return errors.CombineErrors(cause, err)
	}
	k.learnRecord(stored)
	if stored.Claim == claim {
		return nil
	}
	return cause
}

// readClaim returns the group's object and claim. If the store has no object yet, it
// returns a new object without a value.
func (k *Keeper) readClaim(ctx context.Context, id topology.GroupID) (platform.Object, claimRecord, error) {
	object, err := k.opts.Store.Get(ctx, Kind, string(id))
	var coded *result.Error
	if errors.As(err, &coded) && coded.Code == result.NotFound {
		return platform.Object{Kind: Kind, Name: string(id)}, claimRecord{}, nil
	}
	if err != nil {
		return object, claimRecord{}, err
	}
	claim, err := decodeClaim(object)
	return object, claim, err
}
