package catalog

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	s := NewStore()
	qt.Check(t, s.OfferConfiguration(nil), qt.IsFalse)
	qt.Check(t, s.OfferConfiguration(&Configuration{Version: 4}), qt.IsTrue)
	qt.Check(t, s.OfferConfiguration(&Configuration{Version: 2}), qt.IsFalse)
	qt.Check(t, s.OfferConfiguration(&Configuration{Version: 4}), qt.IsFalse)
	qt.Check(t, s.Configuration().Version, qt.Equals, uint64(4))
}

func member(id topology.TargetID, leaving bool) Member {
	return Member{Target: topology.Target{ID: id, Group: "g", Addr: "a:1", Leaving: leaving}}
}

func registryOf(revision uint64, members ...Member) *Registry {
	r := &Registry{Revision: revision, Members: map[topology.TargetID]Member{}}
	for _, m := range members {
		r.Members[m.Target.ID] = m
	}
	return r
}

// Entries expire while the store is disturbed. A target that disappears without
// leaving must stay in use for a while, one that was leaving must not. Both may
// still hold acknowledged commits.
func TestUnregisteredTargets(t *testing.T) {
	s := NewStore()
	s.OfferRegistry(registryOf(1, member("a", false), member("b", true), member("c", false)))
	s.OfferRegistry(registryOf(2, member("c", false)))
	var serving []topology.TargetID
	for _, m := range s.Serving()["g"] {
		serving = append(serving, m.Target.ID)
	}
	qt.Check(t, serving, qt.ContentEquals, []topology.TargetID{"a", "c"})
	members, unregistered := s.PossibleCommitHolders("g")
	qt.Check(t, members, qt.HasLen, 3)
	qt.Check(t, unregistered, qt.HasLen, 2)
	s.OfferRegistry(registryOf(3, member("a", false), member("c", false)))
	_, unregistered = s.PossibleCommitHolders("g")
	qt.Check(t, unregistered, qt.HasLen, 1)
	qt.Check(t, s.OfferRegistry(registryOf(2)), qt.IsFalse)
}

// A target that is cut off from the store only goes on receiving commits.
func TestTargetThatIsMissingForLongMayStillHoldCommits(t *testing.T) {
	s := NewStore()
	s.OfferRegistry(registryOf(1, member("a", false), member("c", false)))
	s.OfferRegistry(registryOf(2, member("c", false)))
	missing := s.unregistered["a"]
	missing.since = missing.since.Add(-2 * unregisteredRetention)
	s.unregistered["a"] = missing
	qt.Check(t, s.Serving()["g"], qt.HasLen, 1)
	members, _ := s.PossibleCommitHolders("g")
	qt.Check(t, members, qt.HasLen, 2)
}

// A watch that continues from its own, older revision must not undo the result
// of a newer list.
func TestRegisterFeedKeepsNewestRevision(t *testing.T) {
	s := NewStore()
	f := &RegistryFeed{Store: s, Log: logr.Discard(), Decode: func(id string, value json.RawMessage) (Member, error) {
		if string(value) == `"bad"` {
			return Member{}, errors.New("unreadable")
		}
		return member(topology.TargetID(id), false), nil
	}}
	object := func(name, value string) platform.Object {
		return platform.Object{Name: name, Value: json.RawMessage(value)}
	}
	f.Reset("", platform.List{Revision: 10, Objects: []platform.Object{object("a", `{}`), object("x", `"bad"`)}})
	f.Apply("", platform.Changes{Revision: 8, Changes: []platform.Change{{Object: object("a", `{}`), Deleted: true}}})
	qt.Check(t, s.Registry().Members, qt.HasLen, 1)
	f.Apply("", platform.Changes{Revision: 12, Changes: []platform.Change{{Object: object("b", `{}`)}}})
	f.Reset("", platform.List{Revision: 11})
	qt.Check(t, s.Registry().Members, qt.HasLen, 2)
	qt.Check(t, s.Registry().Revision, qt.Equals, uint64(12))
}

// A registration that was sound before and can't be decoded any more counted as unchanged
// for hosts that watch the registry, and as missing for those that list it.
func TestInvalidRegistrationIsMissingInWatchAsInList(t *testing.T) {
	decode := func(id string, value json.RawMessage) (Member, error) {
		if string(value) == `"bad"` {
			return Member{}, errors.New("unreadable")
		}
		return member(topology.TargetID(id), false), nil
	}
	object := func(name, value string) platform.Object {
		return platform.Object{Name: name, Value: json.RawMessage(value)}
	}
	watching, listing := NewStore(), NewStore()
	for store, apply := range map[*Store]func(f *RegistryFeed, revision uint64, o platform.Object){
		watching: func(f *RegistryFeed, revision uint64, o platform.Object) {
			f.Apply("", platform.Changes{Revision: revision, Changes: []platform.Change{{Object: o}}})
		},
		listing: func(f *RegistryFeed, revision uint64, o platform.Object) {
			f.Reset("", platform.List{Revision: revision, Objects: []platform.Object{o, object("b", `{}`)}})
		},
	} {
		f := &RegistryFeed{Store: store, Log: logr.Discard(), Decode: decode}
		f.Reset("", platform.List{Revision: 10, Objects: []platform.Object{object("a", `{}`), object("b", `{}`)}})
		apply(f, 11, object("a", `"bad"`))
		qt.Check(t, store.Registry().Members, qt.HasLen, 1)
		qt.Check(t, store.Serving()["g"], qt.HasLen, 2, qt.Commentf("the target is still used for a while"))
		holders, _ := store.PossibleCommitHolders("g")
		qt.Check(t, holders, qt.HasLen, 2, qt.Commentf("the target may hold commits"))
		apply(f, 12, object("a", `{}`))
		qt.Check(t, store.Registry().Members, qt.HasLen, 2)
	}
}

// Another writer that uses a new name each time made every host remember all of them.
func TestNamesOfInvalidRegistrationsAreForgotten(t *testing.T) {
	f := &RegistryFeed{Store: NewStore(), Log: logr.Discard(), Decode: func(id string, value json.RawMessage) (Member, error) {
		if string(value) == `"bad"` {
			return Member{}, errors.New("unreadable")
		}
		return member(topology.TargetID(id), false), nil
	}}
	odd := func(name string) platform.Object {
		return platform.Object{Name: name, Value: json.RawMessage(`"bad"`)}
	}
	f.Reset("", platform.List{Revision: 1, Objects: []platform.Object{odd("a"), odd("b"), odd("c"), odd("d")}})
	qt.Check(t, f.loggedInvalid, qt.HasLen, 4)
	f.Apply("", platform.Changes{Revision: 2, Changes: []platform.Change{{Object: odd("a"), Deleted: true}, {Object: platform.Object{Name: "b", Value: json.RawMessage(`{}`)}}}})
	qt.Check(t, f.loggedInvalid, qt.DeepEquals, map[string]bool{"c": true, "d": true})
	f.Reset("", platform.List{Revision: 3, Objects: []platform.Object{odd("d"), odd("e")}})
	qt.Check(t, f.loggedInvalid, qt.DeepEquals, map[string]bool{"d": true, "e": true})
}

// configReader answers reads with a configuration of a fixed version.
type configReader struct{ version uint64 }

func (r *configReader) Get(context.Context, string, string) (platform.Object, error) {
	return platform.Object{Name: "main", Value: json.RawMessage(`{}`), Version: r.version}, nil
}

func (r *configReader) List(context.Context, string) (platform.List, error) {
	return platform.List{}, errors.New("down")
}

// A host whose watch delivers nothing and that learns of no read by another
// host must read the store itself. Without that, a host cut off from the others
// kept an old configuration for 5 seconds.
func TestPollReadsWithoutWatchOrGossip(t *testing.T) {
	s := NewStore()
	f := &ConfigurationFeed{Name: "main", Store: s, Log: logr.Discard(), Decode: func(json.RawMessage) (*Configuration, error) {
		return &Configuration{Version: 7}, nil
	}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	changed := s.Changed()
	go f.Poll(ctx, &configReader{}, "config", ConfigurationSchedule(3*time.Second), func() int { return 3 })
	select {
	case <-changed:
	case <-ctx.Done():
		t.Fatal("the configuration was not read")
	}
	qt.Check(t, s.Configuration().Version, qt.Equals, uint64(7))
	for s.ReadTimes().Configuration.IsZero() && ctx.Err() == nil {
		<-time.After(time.Millisecond)
	}
	qt.Check(t, steady.Now().Sub(s.ReadTimes().Configuration) < 5*time.Second, qt.IsTrue)
}

// A store that came back from an older copy has lower revisions and lacks what was
// written since. Its registry is news all the same; a target that is missing in it for a
// while has not left, one that stays missing has.
func TestRegistryOfALaterEraIsNews(t *testing.T) {
	member := func(id topology.TargetID, leaving bool) Member {
		return Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id), Leaving: leaving}}
	}
	s := NewStore()
	s.OfferRegistry(&Registry{Revision: 90, Members: map[topology.TargetID]Member{"a": member("a", true), "new": member("new", false)}})
	qt.Assert(t, s.OfferRegistry(&Registry{Era: 1, Revision: 40, Members: map[topology.TargetID]Member{"a": member("a", false)}}), qt.IsTrue)
	qt.Check(t, s.OfferRegistry(&Registry{Revision: 95}), qt.IsFalse, qt.Commentf("an answer of the earlier era"))
	qt.Check(t, s.Serving()["g"], qt.HasLen, 2)
	_, gone := s.PossibleCommitHolders("g")
	qt.Check(t, gone, qt.HasLen, 0)
	qt.Assert(t, s.OfferRegistry(&Registry{Era: 1, Revision: 41, Members: map[topology.TargetID]Member{"a": member("a", true)}}), qt.IsTrue)
	qt.Check(t, s.Serving()["g"], qt.HasLen, 2)
	v := s.unconfirmed["new"]
	v.since = v.since.Add(-restoreGrace)
	s.unconfirmed["new"] = v
	_, gone = s.PossibleCommitHolders("g")
	qt.Check(t, gone, qt.HasLen, 1)
	_, registered := s.Registry().Members["new"]
	qt.Check(t, registered, qt.IsFalse)
}

// The configuration in force never goes back, whatever the store shows.
func TestConfigurationSurvivesARestore(t *testing.T) {
	s := NewStore()
	s.OfferConfiguration(&Configuration{Version: 7})
	qt.Check(t, s.OfferConfiguration(&Configuration{Version: 5}), qt.IsFalse)
	qt.Check(t, s.Configuration().Version, qt.Equals, uint64(7))
}
