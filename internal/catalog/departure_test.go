package catalog

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func incarnationOf(id topology.TargetID, leaving bool, incarnation int64) Member {
	m := member(id, leaving)
	m.Incarnation = incarnation
	return m
}

// A host that hears late that a target leaves must count its notice from the time at which
// the store may have accepted that, not from when it heard.
func TestDepartureCountsFromTheNewestReadWithoutIt(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(1000+int64(seconds), 0) }
	s := NewStore()
	s.OfferRegistry(registryOf(5, member("a", false), member("b", false)))
	s.RecordRegistryConfirmation(StorePosition{Revision: 5}, at(1))
	s.RecordRegistryConfirmation(StorePosition{Revision: 4}, at(3)) // nothing newer than 4, so nothing newer than 5
	s.RecordRegistryConfirmation(StorePosition{Revision: 5}, at(2))
	s.RecordRegistryConfirmation(StorePosition{}, at(8))            // of a host without a snapshot
	s.RecordRegistryConfirmation(StorePosition{Revision: 9}, at(7)) // this read may have found a departure
	qt.Check(t, s.DepartingSince(), qt.HasLen, 0)
	s.OfferRegistry(registryOf(9, member("a", true)))
	want := map[topology.TargetID]time.Time{"a": at(3), "b": at(3)} // b is gone
	qt.Check(t, s.DepartingSince(), qt.DeepEquals, want)
	qt.Check(t, s.RegistryConfirmedAt(), qt.Equals, at(7))
	s.OfferRegistry(registryOf(10, member("a", true), member("c", true)))
	want["c"] = at(7)
	qt.Check(t, s.DepartingSince(), qt.DeepEquals, want)
	s.OfferRegistry(registryOf(11, member("b", false), member("c", true))) // a has left, b is back
	qt.Check(t, s.DepartingSince(), qt.DeepEquals, map[topology.TargetID]time.Time{"a": at(3), "c": at(7)})
}

// A host that starts doesn't know how long a target has been leaving.
func TestDepartureInFirstSnapshotHasUnknownTime(t *testing.T) {
	s := NewStore()
	s.RecordRegistryConfirmation(StorePosition{Revision: 5}, steady.Now())
	s.OfferRegistry(registryOf(5, member("a", true)))
	since, departs := s.DepartingSince()["a"]
	qt.Check(t, departs, qt.IsTrue)
	qt.Check(t, since.IsZero(), qt.IsTrue)
}

func TestDepartureEndsWithReadyIncarnation(t *testing.T) {
	s := NewStore()
	s.OfferRegistry(registryOf(1, incarnationOf("a", false, 7)))
	s.OfferRegistry(registryOf(2, incarnationOf("a", true, 7)))
	qt.Check(t, s.DepartingSince(), qt.HasLen, 1)
	s.OfferRegistry(registryOf(3, incarnationOf("a", false, 8)))
	qt.Check(t, s.DepartingSince(), qt.HasLen, 0)
	s.RecordRegistryConfirmation(StorePosition{Revision: 3}, steady.Now())
	s.OfferRegistry(registryOf(4, incarnationOf("a", true, 8)))
	qt.Check(t, s.DepartingSince()["a"].IsZero(), qt.IsFalse)
}

// A store that came back from an older copy has the target as ready. The target reports
// again that it leaves within a second or two; its notice goes on meanwhile.
func TestDepartureOutlivesOlderCopyOfStore(t *testing.T) {
	s := NewStore()
	s.OfferRegistry(registryOf(8, incarnationOf("a", true, 7)))
	since := s.DepartingSince()
	restored := registryOf(3, incarnationOf("a", false, 7))
	restored.Era = 1
	s.OfferRegistry(restored)
	qt.Check(t, s.DepartingSince(), qt.DeepEquals, since)
	repeated := registryOf(4, incarnationOf("a", true, 7))
	repeated.Era = 1
	s.OfferRegistry(repeated)
	qt.Check(t, s.DepartingSince(), qt.DeepEquals, since)
	qt.Check(t, s.departures["a"].restoredAt.IsZero(), qt.IsTrue)

	again := registryOf(2, incarnationOf("a", false, 7))
	again.Era = 2
	s.OfferRegistry(again)
	d := s.departures["a"]
	d.restoredAt = d.restoredAt.Add(-restoreGrace) // it doesn't report again that it leaves
	s.departures["a"] = d
	qt.Check(t, s.DepartingSince(), qt.HasLen, 0)
}

// Targets that have left for good are forgotten.
func TestDeparturesAreForgotten(t *testing.T) {
	s := NewStore()
	s.OfferRegistry(registryOf(1, member("a", true), member("b", false)))
	s.OfferRegistry(registryOf(2, member("b", false)))
	qt.Check(t, s.DepartingSince(), qt.HasLen, 1)
	left := s.unregistered["a"]
	left.since = left.since.Add(-2 * unregisteredRetention)
	s.unregistered["a"] = left
	qt.Check(t, s.DepartingSince(), qt.HasLen, 0)
	qt.Check(t, s.departures, qt.HasLen, 0)
}

// listReader answers reads of the registry with one list.
type listReader struct {
	StoreReader
	list platform.List
}

func (r listReader) List(context.Context, string) (platform.List, error) { return r.list, nil }

// A read of the registry confirms what it found. One that returned an older list than was
// known when it was sent shows nothing.
func TestReadOfRegistryConfirmsIt(t *testing.T) {
	s := NewStore()
	f := &RegistryFeed{Store: s, Log: logr.Discard(), Decode: func(string, json.RawMessage) (Member, error) { return Member{}, nil }}
	before := steady.Now()
	qt.Assert(t, f.Read(t.Context(), listReader{list: platform.List{Revision: 5}}, "targets"), qt.IsNil)
	first := s.RegistryConfirmedAt()
	qt.Check(t, first.Before(before), qt.IsFalse)
	qt.Assert(t, f.Read(t.Context(), listReader{list: platform.List{Revision: 4}}, "targets"), qt.IsNil)
	qt.Check(t, s.RegistryConfirmedAt(), qt.Equals, first)
	qt.Assert(t, f.Read(t.Context(), listReader{list: platform.List{Revision: 5}}, "targets"), qt.IsNil)
	qt.Check(t, s.RegistryConfirmedAt().After(first), qt.IsTrue)
}
