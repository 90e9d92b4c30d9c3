package duty

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// to returns a preparation of the electorate.
func to(e confirm.Electorate) func(context.Context) (confirm.Electorate, error) {
	return func(context.Context) (confirm.Electorate, error) { return e, nil }
}

// interceptedStore is a fakeStore whose calls a test can replace. It is safe for concurrent
// use.
type interceptedStore struct {
	*fakeStore
	mu  sync.Mutex
	get func() (platform.Object, error)
	put func(platform.Object) (platform.Object, error)
}

func (s *interceptedStore) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.get != nil {
		return s.get()
	}
	return s.fakeStore.Get(ctx, kind, name)
}

func (s *interceptedStore) PutIf(ctx context.Context, o platform.Object) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.put != nil {
		return s.put(o)
	}
	return s.fakeStore.PutIf(ctx, o)
}

func electorate(epoch uint64, hosts ...topology.HostID) confirm.Electorate {
	e := confirm.Electorate{Epoch: epoch, Floor: topology.Position{Term: 1, Offset: epoch}}
	for i, h := range hosts {
		e.Voters[i] = confirm.Voter{Host: h, Boot: 1}
	}
	return e
}

// holderOfGroup returns a keeper that holds the duty of "g" under the electorate.
func holderOfGroup(t *testing.T, s *fakeStore, first confirm.Electorate) (*Keeper, *interceptedStore) {
	t.Helper()
	k := newKeeper(s, &fakeHosts{connected: true})
	intercepted := &interceptedStore{fakeStore: s}
	k.opts.Store = intercepted
	qt.Assert(t, k.writeClaim(t.Context(), Claim{Group: "g"}), qt.IsNil)
	qt.Assert(t, k.RecordElectorate(t.Context(), "g", to(first)), qt.IsNil)
	return k, intercepted
}

func storedClaim(t *testing.T, s *fakeStore) claimRecord {
	t.Helper()
	stored, err := decodeClaim(*s.object)
	qt.Assert(t, err, qt.IsNil)
	return stored
}

// knownClaim returns the claim on "g" that the keeper knows.
func knownClaim(k *Keeper) Claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.claims["g"]
}

var (
	firstElectorate  = electorate(1, "a", "b", "c")
	secondElectorate = electorate(2, "a", "b", "d")
	thirdElectorate  = electorate(3, "a", "d", "e")
)

// A host that asked voters which the store doesn't name, and another one that asked those of
// the store, would confirm commits that the other one's quorum has never seen.
func TestElectorateIsNotSpreadBeforeTheStoreHasIt(t *testing.T) {
	s := &fakeStore{}
	k, _ := holderOfGroup(t, s, firstElectorate)
	changes := 0
	k.opts.OnChange = func(topology.GroupID) { changes++ }
	before := knownClaim(k)
	s.beforePut = func() {
		qt.Check(t, k.Electorate("g"), qt.Equals, firstElectorate)
		qt.Check(t, k.Claims(), qt.DeepEquals, []Claim{before})
		qt.Check(t, changes, qt.Equals, 0)
	}
	qt.Assert(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.IsNil)
	qt.Check(t, k.Electorate("g"), qt.Equals, secondElectorate)
	qt.Check(t, changes, qt.Equals, 1)
	after := knownClaim(k)
	qt.Check(t, after.supersedes(&before), qt.IsTrue)
	qt.Check(t, storedClaim(t, s).Claim, qt.Equals, after)
}

func TestElectorateThatDoesNotReachTheStoreIsNotKnown(t *testing.T) {
	for name, code := range map[string]result.Code{"not sent": result.PlatformDown, "rejected": result.BadConfiguration, "no budget": result.LimitReached} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{}
			k, intercepted := holderOfGroup(t, s, firstElectorate)
			intercepted.put = func(o platform.Object) (platform.Object, error) { return o, result.New(code, "failed") }
			for _, get := range []func() (platform.Object, error){nil, func() (platform.Object, error) { return *s.object, nil }} {
				intercepted.get = get
				err := k.RecordElectorate(t.Context(), "g", to(secondElectorate))
				qt.Check(t, err, qt.IsNotNil)
				qt.Check(t, errors.Is(err, confirm.ErrWriteInDoubt), qt.IsFalse)
				qt.Check(t, k.Electorate("g"), qt.Equals, firstElectorate)
			}
		})
	}
}

func TestOnlyTheHolderChangesTheElectorate(t *testing.T) {
	s := &fakeStore{}
	k, _ := holderOfGroup(t, s, firstElectorate)
	other := newKeeper(s, &fakeHosts{connected: true})
	other.opts.Self = "b"
	other.Learn(knownClaim(k))
	qt.Check(t, other.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.Equals, ErrHeldByOther)
	released := knownClaim(k)
	released.Released = true
	s.write(t, released)
	qt.Check(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.Equals, ErrHeldByOther)
	k.Release(t.Context())
	qt.Check(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.Equals, ErrHeldByOther)
	qt.Check(t, storedClaim(t, s).Electorate, qt.Equals, firstElectorate)
}

// The former holder hasn't heard of its successor. It must neither replace the electorate
// nor go on with an older one.
func TestTwoHoldersCannotBothChangeTheElectorate(t *testing.T) {
	s := &fakeStore{}
	k, _ := holderOfGroup(t, s, firstElectorate)
	next := successor(t, s)
	qt.Assert(t, next.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.IsNil)
	_, held := k.Token("g")
	qt.Assert(t, held, qt.IsTrue)
	qt.Check(t, k.RecordElectorate(t.Context(), "g", to(electorate(2, "x", "y", "z"))), qt.Equals, ErrHeldByOther)
	qt.Check(t, storedClaim(t, s).Electorate, qt.Equals, secondElectorate)
	qt.Check(t, k.Electorate("g"), qt.Equals, secondElectorate)
}

// The successor's claim arrives in the store between the read and the write.
func TestElectorateWriteLosesToASuccessorsClaim(t *testing.T) {
	s := &fakeStore{}
	k, _ := holderOfGroup(t, s, firstElectorate)
	s.beforePut = func() {
		s.beforePut = nil
		successor(t, s)
	}
	err := k.RecordElectorate(t.Context(), "g", to(secondElectorate))
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, errors.Is(err, confirm.ErrWriteInDoubt), qt.IsFalse)
	qt.Check(t, storedClaim(t, s).Electorate, qt.Equals, firstElectorate)
	qt.Check(t, k.Electorate("g"), qt.Equals, firstElectorate)
	qt.Check(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.Equals, ErrHeldByOther)
}

func TestElectorateMustFollowTheStoredOne(t *testing.T) {
	s := &fakeStore{}
	k, _ := holderOfGroup(t, s, firstElectorate)
	for _, epoch := range []uint64{0, 1, 3} {
		qt.Check(t, k.RecordElectorate(t.Context(), "g", to(electorate(epoch, "x"))), qt.Equals, ErrElectorateChanged)
	}
	qt.Check(t, storedClaim(t, s).Electorate, qt.Equals, firstElectorate)
}
