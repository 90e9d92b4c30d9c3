package duty

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeStore stores one object and can lose the response to a write.
type fakeStore struct {
	era        uint64
	object     *platform.Object
	revision   uint64
	loseAnswer bool
	beforePut  func() // called before the version check of a write
}

func (s *fakeStore) Get(context.Context, string, string) (platform.Object, error) {
	if s.object == nil {
		return platform.Object{}, result.New(result.NotFound, "no such object")
	}
	return *s.object, nil
}

func (s *fakeStore) List(context.Context, string) (platform.List, error) {
	if s.object == nil {
		return platform.List{}, nil
	}
	return platform.List{Objects: []platform.Object{*s.object}}, nil
}

func (s *fakeStore) PutIf(_ context.Context, o platform.Object) (platform.Object, error) {
	if s.beforePut != nil {
		s.beforePut()
	}
	if (s.object == nil && o.Version != 0) || (s.object != nil && s.object.Version != o.Version) {
		return platform.Object{}, &platform.ErrConflict{Current: s.object}
	}
	s.revision++
	o.Version = s.revision
	s.object = &o
	if s.loseAnswer {
		return platform.Object{}, result.New(result.PlatformUnknown, "lost")
	}
	return o, nil
}

func (s *fakeStore) write(t *testing.T, c Claim) {
	t.Helper()
	value, err := json.Marshal(c)
	qt.Assert(t, err, qt.IsNil)
	s.revision++
	s.object = &platform.Object{Kind: Kind, Name: string(c.Group), Version: s.revision, Value: value}
}

func (s *fakeStore) Era() uint64 { return s.era }

// fakeHosts reports the same time since last contact for every host.
type fakeHosts struct {
	silentFor time.Duration
	connected bool
}

func (h *fakeHosts) HeardAgo(topology.HostID) (time.Duration, bool) { return h.silentFor, true }
func (h *fakeHosts) Live() []topology.Host                          { return []topology.Host{{ID: "a", Domain: "north"}} }
func (h *fakeHosts) LargeFleet() bool                               { return false }
func (h *fakeHosts) Rank() int                                      { return 0 }
func (h *fakeHosts) Connected() bool                                { return h.connected }
func (h *fakeHosts) Settled(time.Time) bool                         { return h.connected }

func newKeeper(s *fakeStore, h *fakeHosts) *Keeper {
	return New(Options{Self: "a", Name: "host-a", Boot: 1, Store: s, Hosts: h, Log: logr.Discard(), OnChange: func(topology.GroupID) {},
		Domain: "north", PrimaryDomain: func(topology.GroupID) topology.Domain { return "" }})
}

func TestWriteClaimAfterLostResponse(t *testing.T) {
	s := &fakeStore{loseAnswer: true}
	k := newKeeper(s, &fakeHosts{connected: true})
	qt.Assert(t, k.writeClaim(context.Background(), Claim{Group: "g"}), qt.IsNil)
	token, held := k.Token("g")
	qt.Check(t, held, qt.IsTrue)
	qt.Check(t, token, qt.Equals, uint64(1))
}

// Guards against this failure: a host decided to acquire a duty, then learned that
// another host had acquired it, and still overwrote the newer claim.
func TestWriteClaimRejectsClaimNewerThanDecision(t *testing.T) {
	s := &fakeStore{}
	k := newKeeper(s, &fakeHosts{silentFor: time.Minute, connected: true})
	old := Claim{Group: "g", Holder: "dead", Boot: 9, Token: 3}
	s.write(t, old)
	k.Learn(old)
	k.SetGroups([]topology.GroupID{"g"})
	due := k.dueClaims(steady.Now())
	qt.Assert(t, due, qt.DeepEquals, []Claim{old})
	newer := Claim{Group: "g", Holder: "b", Boot: 2, Token: 4}
	s.write(t, newer)
	k.Learn(newer)
	qt.Check(t, k.writeClaim(context.Background(), due[0]), qt.Equals, ErrHeldByOther)
	holder, _ := k.Holder("g")
	qt.Check(t, holder, qt.Equals, topology.HostID("b"))
}

func TestWriteClaimLosesToConcurrentWrite(t *testing.T) {
	s := &fakeStore{}
	k := newKeeper(s, &fakeHosts{connected: true})
	s.beforePut = func() {
		s.beforePut = nil
		s.write(t, Claim{Group: "g", Holder: "b", Token: 1})
	}
	qt.Check(t, k.writeClaim(context.Background(), Claim{Group: "g"}), qt.IsNotNil)
	_, held := k.Token("g")
	qt.Check(t, held, qt.IsFalse)
}

func TestPendingTimeCountsFromLastContactWithHolder(t *testing.T) {
	for silentFor, want := range map[time.Duration]time.Duration{0: 1900 * time.Millisecond, time.Second: 900 * time.Millisecond, time.Minute: 0} {
		s := &fakeStore{}
		k := newKeeper(s, &fakeHosts{silentFor: silentFor, connected: true})
		dead := Claim{Group: "g", Holder: "dead", Token: 3}
		s.write(t, dead)
		k.Learn(dead)
		qt.Assert(t, k.writeClaim(context.Background(), dead), qt.IsNil)
		got := k.PendingUntil("g").Sub(steady.Now())
		qt.Check(t, got >= want-50*time.Millisecond && got <= want+150*time.Millisecond, qt.IsTrue, qt.Commentf("holder heard from %s ago: pending for %s", silentFor, got))
	}
}

// A host never acquires a duty from a holder that it still hears from, while it is
// partitioned itself, or if it already holds the duty.
func TestShouldAcquire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := electionState{
			self: "a", boot: 1,
			connected:       rapid.Bool().Draw(t, "connected"),
			holderSilentFor: time.Duration(rapid.IntRange(0, 4000).Draw(t, "heard")) * time.Millisecond,
			waited:          time.Duration(rapid.IntRange(0, 4000).Draw(t, "waited")) * time.Millisecond,
			rank:            rapid.IntRange(0, 5).Draw(t, "rank"),
		}
		s.claim = Claim{
			Holder:   rapid.SampledFrom([]topology.HostID{"a", "b", "c"}).Draw(t, "holder"),
			Boot:     rapid.Uint64Range(1, 2).Draw(t, "boot"),
			Token:    rapid.Uint64Range(0, 3).Draw(t, "token"),
			Released: rapid.Bool().Draw(t, "released"),
		}
		acquires := shouldAcquire(s)
		unheld := s.claim.Token == 0 || s.claim.Released
		switch {
		case acquires && !s.connected:
			t.Fatal("acquires a duty while partitioned")
		case acquires && !unheld && s.claim.Holder != "a" && s.holderSilentFor < TakeoverAfter:
			t.Fatalf("acquires a duty whose holder was heard from %s ago", s.holderSilentFor)
		case acquires && !unheld && s.claim.Holder == "a" && s.claim.Boot == 1:
			t.Fatal("acquires a duty that it already holds")
		case acquires && s.claim.Token == 0 && s.waited < unknownClaimWait:
			t.Fatal("acquires a duty before other hosts could report a claim")
		case !acquires && s.connected && unheld && s.waited >= unknownClaimWait+time.Duration(s.rank)*rankDelay && !(s.claim.Holder == "a" && s.claim.Boot == 1 && !s.claim.Released):
			t.Fatal("does not acquire an unheld duty")
		}
	})
}

// Guards against this failure: a host that was shutting down released its duty and
// acquired it again 25 ms later, so that the group had no holder once it was gone.
func TestLeavingHostAcquiresNoDuty(t *testing.T) {
	s := &fakeStore{}
	k := newKeeper(s, &fakeHosts{connected: true})
	k.SetGroups([]topology.GroupID{"g"})
	qt.Assert(t, k.writeClaim(context.Background(), Claim{Group: "g"}), qt.IsNil)
	k.Release(context.Background())
	_, held := k.Token("g")
	qt.Check(t, held, qt.IsFalse)
	k.dueClaims(steady.Now()) // notes that nobody holds the duty
	qt.Check(t, k.dueClaims(steady.Now().Add(time.Minute)), qt.HasLen, 0)
}

// Tokens never go down and none is used twice, also if the store has lost claims and
// every host that knew of them has lost its memory.
func TestTokenRisesWithTheErasOfTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		highest, era := uint64(0), uint64(0)
		stored, copied := uint64(0), uint64(0)
		known := []uint64{0, 0} // by host
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				copied = stored
			case 1: // the store comes back from the copy, perhaps twice
				stored, era = copied, era+1
			case 2: // all hosts restart and know what the store has
				known = []uint64{stored, stored}
			default:
				h := rapid.IntRange(0, 1).Draw(t, "host")
				if stored > known[h] { // the store has a newer claim: the host learns it
					known[h] = stored
				}
				token := nextToken(max(stored, known[h]), era)
				if token <= highest {
					t.Fatalf("token %d after %d", token, highest)
				}
				highest, stored, known[h] = token, token, token
				known[1-h] = token // told by gossip
			}
		}
	})
}

// A claim that the store has lost is written again by its holder, with a higher token.
func TestLostClaimIsWrittenAgain(t *testing.T) {
	s := &fakeStore{}
	k := newKeeper(s, &fakeHosts{connected: true})
	k.SetGroups([]topology.GroupID{"g"})
	qt.Assert(t, k.writeClaim(context.Background(), Claim{Group: "g"}), qt.IsNil)
	before, _ := k.Token("g")
	qt.Check(t, k.claimsToRewrite(steady.Now()), qt.HasLen, 0)
	s.object, s.era = nil, 1 // the copy is older than the claim
	lost := k.claimsToRewrite(steady.Now())
	qt.Assert(t, lost, qt.HasLen, 1)
	qt.Check(t, k.dueClaims(steady.Now()), qt.HasLen, 0, qt.Commentf("the duty isn't free"))
	k.rewrite(context.Background(), lost[0])
	after, held := k.Token("g")
	qt.Check(t, held, qt.IsTrue)
	qt.Check(t, after > before, qt.IsTrue)
	qt.Check(t, s.object, qt.IsNotNil)
	qt.Check(t, k.claimsToRewrite(steady.Now().Add(time.Minute)), qt.HasLen, 0)
}

// A record reaches the store, and the holders that follow take it over. A store that has
// lost the claim doesn't make its holder believe that another host holds the duty.
func TestRecordReachesLaterHolders(t *testing.T) {
	s := &fakeStore{}
	k := newKeeper(s, &fakeHosts{connected: true})
	qt.Assert(t, k.writeClaim(context.Background(), Claim{Group: "g"}), qt.IsNil)
	state := Leadership{Leader: "t1", Term: 3, Ordered: "t2"}
	qt.Assert(t, k.Record(context.Background(), "g", state), qt.IsNil)
	stored, err := decodeClaim(*s.object)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, stored.Leadership, qt.Equals, state)

	s.object = nil
	state.Ordered = ""
	qt.Check(t, k.Record(context.Background(), "g", state), qt.IsNil)
	next := New(Options{Self: "b", Name: "host-b", Boot: 1, Store: s, Hosts: &fakeHosts{connected: true, silentFor: time.Minute}, Log: logr.Discard(), OnChange: func(topology.GroupID) {},
		Domain: "south", PrimaryDomain: func(topology.GroupID) topology.Domain { return "" }})
	held := k.Claims()[0]
	next.Learn(held)
	qt.Assert(t, next.writeClaim(context.Background(), held), qt.IsNil)
	qt.Check(t, next.Leadership("g"), qt.Equals, state)
	qt.Check(t, k.Record(context.Background(), "g", Leadership{Leader: "t9"}), qt.Equals, ErrHeldByOther)
}

// The host wakes only the watcher of the group that a change names, so that each change must
// name its own group, and nothing that is known already may count as one.
func TestChangesNameTheirGroup(t *testing.T) {
	store := &fakeStore{}
	k := newKeeper(store, &fakeHosts{connected: true})
	var changed []topology.GroupID
	k.opts.OnChange = func(id topology.GroupID) { changed = append(changed, id) }
	k.Learn(Claim{Group: "x", Holder: "b", Token: 1})
	k.Learn(Claim{Group: "x", Holder: "b", Token: 1})
	k.Learn(Claim{Group: "y", Holder: "a", Boot: 1, Token: 1})
	_ = k.Record(t.Context(), "x", Leadership{Ordered: "t"}) // held by another host
	_ = k.Record(t.Context(), "y", Leadership{Ordered: "t"}) // the store's answer doesn't matter here
	qt.Check(t, changed, qt.DeepEquals, []topology.GroupID{"x", "y", "y"})
}
