package duty

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

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

func TestLostAnswerOfElectorateWriteIsReadBack(t *testing.T) {
	s := &fakeStore{}
	k, _ := holderOfGroup(t, s, firstElectorate)
	s.loseAnswer = true
	qt.Assert(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.IsNil)
	qt.Check(t, k.Electorate("g"), qt.Equals, secondElectorate)
	qt.Check(t, knownClaim(k), qt.Equals, storedClaim(t, s).Claim)
}

// delayedWrite makes the next write arrive at the store only when the returned function is
// called, which reports whether it took effect.
func delayedWrite(s *interceptedStore) (arrive func() bool) {
	var delayed platform.Object
	s.put = func(o platform.Object) (platform.Object, error) {
		s.put, delayed = nil, o
		return platform.Object{}, result.New(result.PlatformUnknown, "no answer")
	}
	return func() bool {
		_, err := s.fakeStore.PutIf(context.Background(), delayed)
		return err == nil
	}
}

// A write without an answer may take effect at any later time. Taken for failed, the earlier
// voters were asked while another holder relied on the new ones.
func TestElectorateWriteThatMayStillArriveIsInDoubt(t *testing.T) {
	s := &fakeStore{}
	k, intercepted := holderOfGroup(t, s, firstElectorate)
	arrive := delayedWrite(intercepted)
	err := k.RecordElectorate(t.Context(), "g", to(secondElectorate))
	qt.Check(t, err, qt.ErrorIs, confirm.ErrWriteInDoubt)
	qt.Check(t, k.Electorate("g"), qt.Equals, firstElectorate)
	qt.Assert(t, arrive(), qt.IsTrue)
	qt.Check(t, k.RecordElectorate(t.Context(), "g", to(electorate(2, "x"))), qt.Equals, ErrElectorateChanged)
	qt.Check(t, k.Electorate("g"), qt.Equals, secondElectorate)
	qt.Check(t, k.RecordElectorate(t.Context(), "g", to(thirdElectorate)), qt.IsNil)
}

func TestElectorateWriteIsInDoubtIfItCannotBeReadBack(t *testing.T) {
	s := &fakeStore{}
	k, intercepted := holderOfGroup(t, s, firstElectorate)
	intercepted.put = func(o platform.Object) (platform.Object, error) {
		intercepted.get = func() (platform.Object, error) {
			return platform.Object{}, result.New(result.PlatformDown, "unreachable")
		}
		return o, result.New(result.PlatformUnknown, "no answer")
	}
	err := k.RecordElectorate(t.Context(), "g", to(secondElectorate))
	qt.Check(t, err, qt.ErrorIs, confirm.ErrWriteInDoubt)
	qt.Check(t, k.Electorate("g"), qt.Equals, firstElectorate)
}

// The next write ends the doubt: the version that the earlier one requires is gone.
func TestWriteInDoubtIsDecidedByTheNextWrite(t *testing.T) {
	s := &fakeStore{}
	k, intercepted := holderOfGroup(t, s, firstElectorate)
	arrive := delayedWrite(intercepted)
	qt.Assert(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.ErrorIs, confirm.ErrWriteInDoubt)
	other := electorate(2, "x", "y")
	qt.Assert(t, k.RecordElectorate(t.Context(), "g", to(other)), qt.IsNil)
	qt.Check(t, arrive(), qt.IsFalse)
	qt.Check(t, storedClaim(t, s).Electorate, qt.Equals, other)
}

// An object that has changed under a write without an answer proves that the write had no
// effect, except in a later era, where the store may give the version out again.
func TestChangedObjectProvesThatElectorateWasNotWritten(t *testing.T) {
	for _, restored := range []bool{false, true} {
		s := &fakeStore{}
		k, intercepted := holderOfGroup(t, s, firstElectorate)
		intercepted.put = func(o platform.Object) (platform.Object, error) {
			s.write(t, knownClaim(k))
			if restored {
				s.era = 1
			}
			return o, result.New(result.PlatformUnknown, "no answer")
		}
		err := k.RecordElectorate(t.Context(), "g", to(secondElectorate))
		qt.Assert(t, err, qt.IsNotNil)
		qt.Check(t, errors.Is(err, confirm.ErrWriteInDoubt), qt.Equals, restored)
		qt.Check(t, k.Electorate("g"), qt.Equals, firstElectorate)
	}
}

// Before the answer is known to be lost, a successor has replaced the electorate: that it was
// never in force would be untrue.
func TestElectorateWrittenAndReplacedCountsAsChanged(t *testing.T) {
	s := &fakeStore{}
	k, intercepted := holderOfGroup(t, s, firstElectorate)
	intercepted.put = func(o platform.Object) (platform.Object, error) {
		_, err := s.PutIf(t.Context(), o)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, successor(t, s).RecordElectorate(t.Context(), "g", to(thirdElectorate)), qt.IsNil)
		return o, result.New(result.PlatformUnknown, "no answer")
	}
	qt.Check(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.ErrorIs, ErrElectorateChanged)
	qt.Check(t, k.Electorate("g"), qt.Equals, thirdElectorate)
}

// inDoubtButWritten leaves the second electorate in the store and the first in memory.
func inDoubtButWritten(t *testing.T, s *fakeStore) *Keeper {
	t.Helper()
	k, intercepted := holderOfGroup(t, s, firstElectorate)
	arrive := delayedWrite(intercepted)
	qt.Assert(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.ErrorIs, confirm.ErrWriteInDoubt)
	qt.Assert(t, arrive(), qt.IsTrue)
	qt.Assert(t, k.Electorate("g"), qt.Equals, firstElectorate)
	return k
}

// A record from memory that undid a change of the electorate would leave two quorums, of
// voters that don't overlap.
func TestRecordKeepsNewerElectorateOfTheStore(t *testing.T) {
	s := &fakeStore{}
	k := inDoubtButWritten(t, s)
	state := Leadership{Leader: "t1", Term: 2}
	before := storedClaim(t, s).Claim
	qt.Assert(t, k.Record(t.Context(), "g", state), qt.IsNil)
	stored := storedClaim(t, s)
	qt.Check(t, stored.Electorate, qt.Equals, secondElectorate)
	qt.Check(t, stored.Leadership, qt.Equals, state)
	qt.Check(t, stored.supersedes(&before), qt.IsTrue, qt.Commentf("a host that has read the claim before learns the record"))
	qt.Check(t, knownClaim(k), qt.Equals, stored.Claim)
}

func TestEveryWriterKeepsNewerElectorateOfTheStore(t *testing.T) {
	members := []Member{{ID: "m"}}
	for name, write := range map[string]func(*Keeper) error{
		"members": func(k *Keeper) error { return k.RecordMembers(t.Context(), "g", members) },
		"renewal": func(k *Keeper) error { return k.Renew(t.Context(), "g") },
		"rewrite": func(k *Keeper) error { k.rewrite(t.Context(), knownClaim(k)); return nil },
		"release": func(k *Keeper) error { return k.releaseClaim(t.Context(), knownClaim(k)) },
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{}
			k := inDoubtButWritten(t, s)
			version := s.object.Version
			qt.Assert(t, write(k), qt.IsNil)
			qt.Check(t, s.object.Version > version, qt.IsTrue)
			qt.Check(t, storedClaim(t, s).Electorate, qt.Equals, secondElectorate)
			qt.Check(t, k.Electorate("g"), qt.Equals, secondElectorate)
		})
	}
}

// Each writer decided on a claim that it read from memory before the electorate changed. The
// record after that didn't reach the store.
func TestOlderViewOfTheClaimDoesNotUndoTheElectorate(t *testing.T) {
	for name, write := range map[string]func(*Keeper, Claim) error{
		"renewal": func(k *Keeper, c Claim) error { return k.writeClaim(t.Context(), c) },
		"release": func(k *Keeper, c Claim) error { return k.releaseClaim(t.Context(), c) },
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{}
			k, intercepted := holderOfGroup(t, s, firstElectorate)
			before := knownClaim(k)
			qt.Assert(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.IsNil)
			state := Leadership{Leader: "t1", Term: 2}
			intercepted.put = func(o platform.Object) (platform.Object, error) {
				return o, result.New(result.PlatformDown, "not sent")
			}
			qt.Assert(t, k.Record(t.Context(), "g", state), qt.IsNotNil)
			intercepted.put = nil
			qt.Assert(t, write(k, before), qt.IsNil)
			qt.Check(t, storedClaim(t, s).Electorate, qt.Equals, secondElectorate)
			qt.Check(t, storedClaim(t, s).Leadership, qt.Equals, state)
			qt.Check(t, k.Electorate("g"), qt.Equals, secondElectorate)
			qt.Check(t, k.Leadership("g"), qt.Equals, state)
		})
	}
}

func TestNewHolderKeepsTheElectorate(t *testing.T) {
	for name, end := range map[string]func(*Keeper){
		"dead":     func(*Keeper) {},
		"released": func(k *Keeper) { k.Release(t.Context()) },
		"renewed":  func(k *Keeper) { qt.Assert(t, k.Renew(t.Context(), "g"), qt.IsNil) },
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{}
			k, _ := holderOfGroup(t, s, firstElectorate)
			qt.Assert(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.IsNil)
			end(k)
			next := successor(t, s)
			qt.Check(t, next.Electorate("g"), qt.Equals, secondElectorate)
			qt.Check(t, storedClaim(t, s).Electorate, qt.Equals, secondElectorate)
		})
	}
}

// The new holder knows the claim by gossip only in the version before the change.
func TestNewHolderTakesTheElectorateFromTheStore(t *testing.T) {
	s := &fakeStore{}
	k, _ := holderOfGroup(t, s, firstElectorate)
	old := knownClaim(k)
	qt.Assert(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.IsNil)
	next := newKeeper(s, &fakeHosts{silentFor: time.Minute, connected: true})
	next.opts.Boot = 2
	next.Learn(old)
	qt.Assert(t, next.writeClaim(t.Context(), old), qt.IsNil)
	qt.Check(t, next.Electorate("g"), qt.Equals, secondElectorate)
}

// A store that came back from an older copy gets the newer electorate of memory, whichever
// writer is first.
func TestRestoredStoreGetsTheNewerElectorate(t *testing.T) {
	for name, write := range map[string]func(*Keeper) error{
		"rewrite": func(k *Keeper) error { k.rewrite(t.Context(), knownClaim(k)); return nil },
		"record":  func(k *Keeper) error { return k.Record(t.Context(), "g", Leadership{Leader: "t"}) },
		"members": func(k *Keeper) error { return k.RecordMembers(t.Context(), "g", []Member{{ID: "m"}}) },
		"release": func(k *Keeper) error { return k.releaseClaim(t.Context(), knownClaim(k)) },
	} {
		t.Run(name, func(t *testing.T) {
			s := &fakeStore{}
			k, _ := holderOfGroup(t, s, firstElectorate)
			copied := *s.object
			qt.Assert(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.IsNil)
			s.object, s.era = &copied, 1
			qt.Check(t, k.RecordElectorate(t.Context(), "g", to(electorate(2, "x"))), qt.Equals, ErrElectorateChanged)
			qt.Check(t, k.RecordElectorate(t.Context(), "g", to(thirdElectorate)), qt.Equals, ErrElectorateChanged)
			qt.Assert(t, write(k), qt.IsNil)
			qt.Check(t, storedClaim(t, s).Electorate, qt.Equals, secondElectorate)
			qt.Check(t, k.Electorate("g"), qt.Equals, secondElectorate)
		})
	}
}

// Claims of two writers may reach a host in either order.
func TestLearnKeepsTheNewerElectorate(t *testing.T) {
	newer := Claim{Group: "g", Holder: "c", Boot: 1, Token: 2, Electorate: firstElectorate}
	older := Claim{Group: "g", Holder: "b", Boot: 1, Token: 1, Electorate: secondElectorate}
	want := newer
	want.Electorate = secondElectorate
	for _, order := range [][]Claim{{older, newer}, {newer, older}} {
		k := newKeeper(&fakeStore{}, &fakeHosts{connected: true})
		changes := 0
		k.opts.OnChange = func(topology.GroupID) { changes++ }
		for _, c := range slices.Concat(order, order) {
			k.Learn(c)
		}
		qt.Check(t, k.Claims(), qt.DeepEquals, []Claim{want})
		qt.Check(t, changes, qt.Equals, 2)
	}
}

// A record and an electorate of the same moment must both reach the store and memory.
func TestConcurrentRecordsKeepEachOther(t *testing.T) {
	for range 50 {
		s := &fakeStore{}
		k, _ := holderOfGroup(t, s, firstElectorate)
		state, members := Leadership{Leader: "t1", Term: 2}, []Member{{ID: "m"}}
		errs := make(chan error, 3)
		go func() { errs <- k.Record(t.Context(), "g", state) }()
		go func() { errs <- k.RecordElectorate(t.Context(), "g", to(secondElectorate)) }()
		go func() { errs <- k.RecordMembers(t.Context(), "g", members) }()
		for range 3 {
			qt.Assert(t, <-errs, qt.IsNil)
		}
		stored := storedClaim(t, s)
		qt.Check(t, stored.Leadership, qt.Equals, state)
		qt.Check(t, stored.Electorate, qt.Equals, secondElectorate)
		qt.Check(t, stored.Members, qt.DeepEquals, members)
		qt.Check(t, k.Leadership("g"), qt.Equals, state)
		qt.Check(t, k.Electorate("g"), qt.Equals, secondElectorate)
	}
}

// A record is known at once, so that one may come while the electorate is being written. The
// claim with both must supersede each of the two.
func TestRecordDuringElectorateWriteIsKept(t *testing.T) {
	s := &fakeStore{}
	k, _ := holderOfGroup(t, s, firstElectorate)
	state := Leadership{Leader: "t1", Term: 2}
	done := make(chan error, 1)
	var recorded Claim
	s.beforePut = func() {
		s.beforePut = nil
		go func() { done <- k.Record(t.Context(), "g", state) }()
		for k.Leadership("g") != state {
			time.Sleep(time.Millisecond)
		}
		recorded = knownClaim(k)
	}
	qt.Assert(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.IsNil)
	qt.Assert(t, <-done, qt.IsNil)
	stored := storedClaim(t, s)
	qt.Check(t, stored.Leadership, qt.Equals, state)
	qt.Check(t, stored.Electorate, qt.Equals, secondElectorate)
	qt.Check(t, stored.supersedes(&recorded), qt.IsTrue)
	qt.Check(t, knownClaim(k), qt.Equals, stored.Claim)
}

// A write that gets no answer must not hold up a caller beyond its deadline.
func TestWaitForAnotherWriteEndsWithTheContext(t *testing.T) {
	k, _ := holderOfGroup(t, &fakeStore{}, firstElectorate)
	unlock, err := k.lockObject(t.Context(), "g")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Check(t, k.RecordElectorate(ctx, "g", to(secondElectorate)), qt.ErrorIs, context.Canceled)
	unlock()
	qt.Check(t, k.RecordElectorate(t.Context(), "g", to(secondElectorate)), qt.IsNil)
}
