package catalog

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/steady"
)

// A read by another host that found a version which this host hasn't fetched yet must not
// confirm the older one that it has: keys may have been removed in between.
func TestReadOfUnknownVersionConfirmsNothing(t *testing.T) {
	at := func(seconds int) time.Time { return time.Unix(1000+int64(seconds), 0) }
	s := NewStore()
	s.RecordConfirmation(3, at(1))
	qt.Check(t, s.ConfirmedAt().IsZero(), qt.IsTrue, qt.Commentf("no configuration is known"))
	s.OfferConfiguration(&Configuration{Version: 3})
	qt.Check(t, s.ConfirmedAt(), qt.Equals, at(1))
	s.RecordConfirmation(3, at(4))
	s.RecordConfirmation(3, at(2))
	qt.Check(t, s.ConfirmedAt(), qt.Equals, at(4))
	s.RecordConfirmation(5, at(6))
	s.RecordConfirmation(3, at(5)) // another read, from before version 5
	qt.Check(t, s.ConfirmedAt(), qt.Equals, at(5))
	s.OfferConfiguration(&Configuration{Version: 4})
	qt.Check(t, s.ConfirmedAt(), qt.Equals, at(5))
	s.OfferConfiguration(&Configuration{Version: 5})
	qt.Check(t, s.ConfirmedAt(), qt.Equals, at(6))
	s.RecordConfirmation(0, at(7)) // the store came back without a configuration
	qt.Check(t, s.ConfirmedAt(), qt.Equals, at(7))
}

// scriptedReader returns its objects one after another and then the last one.
type scriptedReader struct {
	mu      sync.Mutex
	objects []platform.Object
	reads   int
}

func (r *scriptedReader) Get(context.Context, string, string) (platform.Object, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.objects[0]
	if len(r.objects) > 1 {
		r.objects = r.objects[1:]
	}
	r.reads++
	if o.Name == "" {
		return o, result.New(result.NotFound, "no such object")
	}
	return o, nil
}

func (r *scriptedReader) List(context.Context, string) (platform.List, error) {
	return platform.List{}, nil
}

func (r *scriptedReader) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads
}

// configurationObject is the object in the store with a configuration's version as value.
func configurationObject(version string, era, revision uint64) platform.Object {
	return platform.Object{Name: "main", Value: json.RawMessage(version), Era: era, Version: revision}
}

func decodeVersion(value json.RawMessage) (*Configuration, error) {
	c := &Configuration{CustomersKnown: true}
	return c, json.Unmarshal(value, &c.Version)
}

func newTestFeed(s *Store) *ConfigurationFeed {
	return &ConfigurationFeed{Name: "main", Store: s, Log: logr.Discard(), Decode: decodeVersion}
}

// pollOften runs Poll of the first reader with a period that makes every check due.
func pollOften(t *testing.T, f *ConfigurationFeed, r StoreReader) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Poll(ctx, r, "config", Schedule{Period: time.Millisecond, FallbackAge: time.Millisecond}, func() int { return 0 })
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", what))
		<-time.After(time.Millisecond)
	}
}

// An answer that is older than what the store returned before the request was sent proves
// nothing about newer versions. It must not count as a young read, neither for the schedule
// nor for the trust in keys, and the configuration must not go back.
func TestOutdatedReadIsNoRead(t *testing.T) {
	s := NewStore()
	f := newTestFeed(s)
	f.Reset("config", platform.List{Objects: []platform.Object{configurationObject("7", 0, 70)}, Revision: 70})
	outdated := &scriptedReader{objects: []platform.Object{configurationObject("6", 0, 60)}}
	pollOften(t, f, outdated)
	eventually(t, "outdated reads", func() bool { return outdated.count() >= 3 })
	qt.Check(t, s.Configuration().Version, qt.Equals, uint64(7))
	qt.Check(t, s.ReadTimes().Configuration.IsZero(), qt.IsTrue)
	qt.Check(t, s.ConfirmedAt().IsZero(), qt.IsTrue)
}

// After a restore from an older copy the store has older objects for good. The host keeps
// its newer configuration, and reads of the restored store count: they show that nothing
// newer exists.
func TestReadOfRestoredStoreConfirmsNewerConfiguration(t *testing.T) {
	for name, restored := range map[string]platform.Object{"older": configurationObject("6", 1, 60), "none": {}} {
		s := NewStore()
		f := newTestFeed(s)
		f.Reset("config", platform.List{Objects: []platform.Object{configurationObject("7", 0, 70)}, Revision: 70})
		pollOften(t, f, &scriptedReader{objects: []platform.Object{restored}})
		eventually(t, name, func() bool { return !s.ConfirmedAt().IsZero() })
		qt.Check(t, s.Configuration().Version, qt.Equals, uint64(7), qt.Commentf("%s", name))
	}
}

// A configuration that can't be decoded may be one that removes keys: it must not confirm
// the version before it.
func TestInvalidConfigurationConfirmsNothing(t *testing.T) {
	s := NewStore()
	s.OfferConfiguration(&Configuration{Version: 7})
	f := newTestFeed(s)
	r := &scriptedReader{objects: []platform.Object{configurationObject(`"x"`, 0, 80)}}
	pollOften(t, f, r)
	eventually(t, "read", func() bool { return r.count() >= 2 })
	qt.Check(t, s.Configuration().Version, qt.Equals, uint64(7))
	qt.Check(t, s.ConfirmedAt().IsZero(), qt.IsTrue)
}

// Watches, lists and other hosts may deliver versions in any order. None takes the
// configuration back.
func TestNoPathTakesTheConfigurationBack(t *testing.T) {
	s := NewStore()
	f := newTestFeed(s)
	f.Apply("config", platform.Changes{Changes: []platform.Change{{Object: configurationObject("9", 0, 90)}}, Revision: 90})
	f.Reset("config", platform.List{Objects: []platform.Object{configurationObject("8", 0, 80)}, Revision: 80})
	f.Reset("config", platform.List{Objects: []platform.Object{configurationObject("7", 1, 20)}, Revision: 20, Era: 1})
	f.Apply("config", platform.Changes{Changes: []platform.Change{{Object: configurationObject("6", 1, 21)}}, Revision: 21, Era: 1})
	f.Apply("config", platform.Changes{Changes: []platform.Change{{Object: configurationObject("0", 1, 22), Deleted: true}}, Revision: 22, Era: 1})
	qt.Check(t, s.OfferConfiguration(&Configuration{Version: 8, CustomersKnown: true}), qt.IsFalse)
	qt.Check(t, s.Configuration().Version, qt.Equals, uint64(9))
}

// A host that got its configuration through a host of an earlier version lacks the
// customers, and would accept every key until the next version. It must read the store
// itself although others have just done so, and take the same version whole.
func TestConfigurationWithoutCustomersIsCompletedFromTheStore(t *testing.T) {
	s := NewStore()
	s.OfferConfiguration(&Configuration{Version: 7})
	f := newTestFeed(s)
	now := steady.Now()
	s.RecordReadTimes(ReadTimes{Configuration: now})
	qt.Check(t, f.lastRead().IsZero(), qt.IsTrue)
	pollOften(t, f, &scriptedReader{objects: []platform.Object{configurationObject("7", 0, 70)}})
	eventually(t, "complete", func() bool { return s.Configuration().CustomersKnown })
	qt.Check(t, f.lastRead().Before(now), qt.IsFalse)
	qt.Check(t, s.OfferConfiguration(&Configuration{Version: 7}), qt.IsFalse)
}

// A store that has no configuration must not be read at every check by hosts that lack the
// customers.
func TestIncompleteConfigurationIsReadAtTheNormalRate(t *testing.T) {
	s := NewStore()
	s.OfferConfiguration(&Configuration{Version: 7})
	f := newTestFeed(s)
	r := &scriptedReader{objects: []platform.Object{{}}}
	pollOften(t, f, r)
	eventually(t, "read", func() bool { return r.count() >= 1 })
	eventually(t, "own read is known", func() bool { return !f.lastRead().IsZero() })
}

// The store answers StaleOk with data that may be seconds old. Reads that count as young
// must not ask for it.
func TestPollAsksForFreshData(t *testing.T) {
	var mu sync.Mutex
	var paths []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		paths = append(paths, r.URL.String())
		http.Error(w, "none", http.StatusNotFound)
	}))
	defer server.Close()
	client := platform.New(platform.Options{Addr: strings.TrimPrefix(server.URL, "http://"), Dialect: staleDialect{}, Log: logr.Discard()})
	defer client.Close()
	s := NewStore()
	pollOften(t, newTestFeed(s), client)
	eventually(t, "read", func() bool { return !s.ReadTimes().Configuration.IsZero() })
	mu.Lock()
	defer mu.Unlock()
	for _, path := range paths {
		qt.Check(t, path, qt.Equals, "/fresh")
	}
}

// staleDialect shows in the path whether a read may be stale.
type staleDialect struct{ platform.Dialect }

func (staleDialect) Get(_, _ string, stale bool) platform.Call {
	if stale {
		return platform.Call{Method: http.MethodGet, Path: "/stale"}
	}
	return platform.Call{Method: http.MethodGet, Path: "/fresh"}
}

func (staleDialect) EraHeader() string { return "Era" }

func (staleDialect) DecodeFailure(string, []byte) platform.Failure { return platform.Failure{} }
