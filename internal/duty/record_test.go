package duty

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// Guards against a request that is sent though only this host knows its record: the store didn't
// take it at the first attempt.
func TestRecordIsRepeatedUntilTheStoreHasIt(t *testing.T) {
	s := &fakeStore{}
	k := newKeeper(s, &fakeHosts{connected: true})
	qt.Assert(t, k.writeClaim(t.Context(), Claim{Group: "g"}), qt.IsNil)
	state := Leadership{Leader: "t1", Ordered: "t2"}
	s.beforePut = func() { s.revision++; s.object.Version = s.revision }
	qt.Check(t, k.Record(t.Context(), "g", state), qt.IsNotNil)
	qt.Check(t, k.Record(t.Context(), "g", state), qt.IsNotNil, qt.Commentf("the store has no record"))
	s.beforePut = nil
	qt.Check(t, k.Record(t.Context(), "g", state), qt.IsNil)
	stored, err := decodeClaim(*s.object)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, stored.Leadership, qt.Equals, state)
	written := s.revision
	qt.Check(t, k.Record(t.Context(), "g", state), qt.IsNil)
	qt.Check(t, s.revision, qt.Equals, written) // the store has it
	qt.Check(t, k.RecordsNoOrder("g"), qt.IsFalse)
	state.Ordered = ""
	qt.Check(t, k.Record(t.Context(), "g", state), qt.IsNil)
	qt.Check(t, k.RecordsNoOrder("g"), qt.IsTrue)
	s.era = 1
	qt.Check(t, k.RecordsNoOrder("g"), qt.IsFalse, qt.Commentf("the store may have lost a record"))
}

// recordedGroup returns a keeper that holds the duty of "g", and whose record the store has.
func recordedGroup(t *testing.T) (*Keeper, *fakeStore, Leadership) {
	t.Helper()
	s, state := &fakeStore{}, Leadership{Leader: "t1", Term: 3}
	k := newKeeper(s, &fakeHosts{connected: true})
	qt.Assert(t, k.writeClaim(t.Context(), Claim{Group: "g"}), qt.IsNil)
	qt.Assert(t, k.Record(t.Context(), "g", state), qt.IsNil)
	return k, s, state
}

// A store that came back from an older copy may have lost the record.
func TestRecordIsRepeatedInANewEraOfTheStore(t *testing.T) {
	k, s, state := recordedGroup(t)
	written := s.revision
	s.era = 1
	qt.Check(t, k.Record(t.Context(), "g", state), qt.IsNil)
	qt.Check(t, s.revision > written, qt.IsTrue)
}

// A claim that this host learned of may be one whose write the store hasn't answered.
func TestRecordUnderLearnedTokenIsWritten(t *testing.T) {
	k, s, state := recordedGroup(t)
	token, _ := k.Token("g")
	k.Learn(Claim{Group: "g", Holder: "a", Boot: 1, Token: token + 1, Leadership: state})
	written := s.revision
	qt.Check(t, k.Record(t.Context(), "g", state), qt.IsNil)
	qt.Check(t, s.revision > written, qt.IsTrue)
}

func TestRecordOfRenewedClaimNeedsNoFurtherWrite(t *testing.T) {
	k, s, state := recordedGroup(t)
	qt.Assert(t, k.Renew(t.Context(), "g"), qt.IsNil)
	written := s.revision
	qt.Check(t, k.Record(t.Context(), "g", state), qt.IsNil)
	qt.Check(t, s.revision, qt.Equals, written)
}

// The store has the later record in the place of the one that was asked for.
func TestRecordThatAnotherOneSupersedesFails(t *testing.T) {
	k, s, _ := recordedGroup(t)
	intercepted := &interceptedStore{fakeStore: s}
	k.opts.Store = intercepted
	intercepted.get = func() (platform.Object, error) {
		k.mu.Lock()
		defer k.mu.Unlock()
		c := k.claims["g"]
		c.Ordered, c.Update = "t9", c.Update+1
		k.setClaim(c)
		return *s.object, nil
	}
	qt.Check(t, k.Record(t.Context(), "g", Leadership{Leader: "t1", Term: 3, Ordered: "t2"}), qt.Equals, errSuperseded)
	qt.Check(t, k.RecordsNoOrder("g"), qt.IsFalse)
}
