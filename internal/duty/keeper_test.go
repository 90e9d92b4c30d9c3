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

// fakeStore keeps one object and can lose answers.
type fakeStore struct {
	object     *platform.Object
	revision   uint64
	loseAnswer bool
	before     func() // runs before a write is judged
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
	if s.before != nil {
		s.before()
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

// fakeHosts has heard of every host so long ago.
type fakeHosts struct {
	heard     time.Duration
	connected bool
}

func (h *fakeHosts) HeardAgo(topology.HostID) (time.Duration, bool) { return h.heard, true }
func (h *fakeHosts) Live() []topology.Host                          { return []topology.Host{{ID: "a", Domain: "north"}} }
func (h *fakeHosts) Rank() int                                      { return 0 }
func (h *fakeHosts) Connected() bool                                { return h.connected }

func newKeeper(s *fakeStore, h *fakeHosts) *Keeper {
	return New(Options{Self: "a", Name: "host-a", Boot: 1, Store: s, Hosts: h, Log: logr.Discard(), Changed: func() {},
		Domain: "north", PrimaryDomain: func(topology.GroupID) topology.Domain { return "" }})
}

func TestRenewAfterALostAnswer(t *testing.T) {
	s := &fakeStore{loseAnswer: true}
	k := newKeeper(s, &fakeHosts{connected: true})
	qt.Assert(t, k.override(context.Background(), Claim{Group: "g"}), qt.IsNil)
	token, mine := k.Token("g")
	qt.Check(t, mine, qt.IsTrue)
	qt.Check(t, token, qt.Equals, uint64(1))
}

// A host decided to take a duty, learned meanwhile that another had taken it,
// and overrode that one's claim.
func TestOverrideRestsOnTheClaimOfTheDecision(t *testing.T) {
	s := &fakeStore{}
	k := newKeeper(s, &fakeHosts{heard: time.Minute, connected: true})
	old := Claim{Group: "g", Holder: "dead", Boot: 9, Token: 3}
	s.write(t, old)
	k.Learn(old)
	k.SetGroups([]topology.GroupID{"g"})
	due := k.due(steady.Now())
	qt.Assert(t, due, qt.DeepEquals, []Claim{old})
	newer := Claim{Group: "g", Holder: "b", Boot: 2, Token: 4}
	s.write(t, newer)
	k.Learn(newer)
	qt.Check(t, k.override(context.Background(), due[0]), qt.Equals, ErrTaken)
	holder, _ := k.Holder("g")
	qt.Check(t, holder, qt.Equals, topology.HostID("b"))
}

func TestAFasterHostWins(t *testing.T) {
	s := &fakeStore{}
	k := newKeeper(s, &fakeHosts{connected: true})
	s.before = func() {
		s.before = nil
		s.write(t, Claim{Group: "g", Holder: "b", Token: 1})
	}
	qt.Check(t, k.override(context.Background(), Claim{Group: "g"}), qt.IsNotNil)
	_, mine := k.Token("g")
	qt.Check(t, mine, qt.IsFalse)
}

func TestPendingCountsFromWhenTheHolderWasHeard(t *testing.T) {
	for heard, atLeast := range map[time.Duration]time.Duration{0: 1900 * time.Millisecond, time.Second: 900 * time.Millisecond, time.Minute: 0} {
		s := &fakeStore{}
		k := newKeeper(s, &fakeHosts{heard: heard, connected: true})
		known := Claim{Group: "g", Holder: "dead", Token: 3}
		s.write(t, known)
		k.Learn(known)
		qt.Assert(t, k.override(context.Background(), known), qt.IsNil)
		left := k.PendingUntil("g").Sub(steady.Now())
		qt.Check(t, left >= atLeast-50*time.Millisecond && left <= atLeast+150*time.Millisecond, qt.IsTrue, qt.Commentf("heard %s ago: %s", heard, left))
	}
}

// No host takes a duty from a holder that is heard of, or while it is itself
// cut off, and none takes its own.
func TestDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := situation{
			self: "a", boot: 1,
			connected: rapid.Bool().Draw(t, "connected"),
			heardAgo:  time.Duration(rapid.IntRange(0, 4000).Draw(t, "heard")) * time.Millisecond,
			waited:    time.Duration(rapid.IntRange(0, 4000).Draw(t, "waited")) * time.Millisecond,
			rank:      rapid.IntRange(0, 5).Draw(t, "rank"),
		}
		s.claim = Claim{
			Holder:   rapid.SampledFrom([]topology.HostID{"a", "b", "c"}).Draw(t, "holder"),
			Boot:     rapid.Uint64Range(1, 2).Draw(t, "boot"),
			Token:    rapid.Uint64Range(0, 3).Draw(t, "token"),
			Released: rapid.Bool().Draw(t, "released"),
		}
		takes := decide(s)
		free := s.claim.Token == 0 || s.claim.Released
		switch {
		case takes && !s.connected:
			t.Fatal("takes a duty while cut off")
		case takes && !free && s.claim.Holder != "a" && s.heardAgo < TakeoverAfter:
			t.Fatalf("takes a duty whose holder was heard of %s ago", s.heardAgo)
		case takes && !free && s.claim.Holder == "a" && s.claim.Boot == 1:
			t.Fatal("takes its own duty")
		case takes && s.claim.Token == 0 && s.waited < unknownFor:
			t.Fatal("takes a duty before others could tell of a claim")
		case !takes && s.connected && free && s.waited >= unknownFor+time.Duration(s.rank)*rankPause && !(s.claim.Holder == "a" && s.claim.Boot == 1 && !s.claim.Released):
			t.Fatal("leaves a free duty")
		}
	})
}
