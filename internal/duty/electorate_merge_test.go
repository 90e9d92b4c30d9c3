package duty

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

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
