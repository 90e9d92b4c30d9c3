package duty

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
)

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
