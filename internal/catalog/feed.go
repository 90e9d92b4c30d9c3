package catalog

import (
	"encoding/json"
	"maps"
	"sync"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ConfigurationFeed turns the store's objects into configurations. It
// implements platform.Sink.
type ConfigurationFeed struct {
	Name   string // of the object that holds the configuration
	Decode func(json.RawMessage) (*Configuration, error)
	Store  *Store
	Log    logr.Logger

	mu       sync.Mutex
	revision uint64
	whole    bool
}

// Revision implements platform.Sink.
func (f *ConfigurationFeed) Revision(string) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.whole
}

// Reset implements platform.Sink.
func (f *ConfigurationFeed) Reset(_ string, list platform.List) {
	for _, o := range list.Objects {
		f.take(o)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.whole = list.Revision, true
}

// Apply implements platform.Sink.
func (f *ConfigurationFeed) Apply(_ string, changes platform.Changes) {
	for _, c := range changes.Changes {
		if !c.Deleted {
			f.take(c.Object)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = changes.Revision
}

func (f *ConfigurationFeed) take(o platform.Object) {
	if o.Name != f.Name {
		return
	}
	c, err := f.Decode(o.Value)
	if err != nil {
		f.Log.Error(err, "configuration ignored", "revision", o.Version)
		return
	}
	if f.Store.OfferConfiguration(c) {
		f.Log.Info("configuration in force", "version", c.Version, "revision", o.Version, "source", "store", "routes", len(c.Routes))
	}
}

// RegisterFeed turns the store's objects into registers. It implements
// platform.Sink.
type RegisterFeed struct {
	Decode func(id string, value json.RawMessage) (Member, error)
	Store  *Store
	Log    logr.Logger

	mu       sync.Mutex
	revision uint64
	whole    bool
	members  map[topology.TargetID]Member
	ignored  map[string]bool // entries already logged
}

// Revision implements platform.Sink.
func (f *RegisterFeed) Revision(string) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.whole
}

// Reset implements platform.Sink.
func (f *RegisterFeed) Reset(_ string, list platform.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.whole && list.Revision < f.revision {
		return // a watch was faster
	}
	f.members = map[topology.TargetID]Member{}
	for _, o := range list.Objects {
		f.take(o, false)
	}
	f.whole = true
	f.offer(list.Revision)
}

// Apply implements platform.Sink.
func (f *RegisterFeed) Apply(_ string, changes platform.Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if changes.Revision < f.revision {
		return // a list was faster
	}
	for _, c := range changes.Changes {
		f.take(c.Object, c.Deleted)
	}
	if len(changes.Changes) == 0 { // the content is that of an earlier revision
		f.revision = changes.Revision
		return
	}
	f.offer(changes.Revision)
}

// take needs f.mu.
func (f *RegisterFeed) take(o platform.Object, deleted bool) {
	id := topology.TargetID(o.Name)
	if deleted {
		if _, ok := f.members[id]; ok {
			f.Log.Info("target left the register", "target", id, "revision", o.Version)
		}
		delete(f.members, id)
		return
	}
	m, err := f.Decode(o.Name, o.Value)
	if err != nil {
		f.ignore(o, err)
		return
	}
	if old, ok := f.members[id]; ok && old != m {
		f.Log.Info("target changed", "target", id, "leaving", m.Target.Leaving, "primary", m.Primary, "revision", o.Version)
	}
	f.members[id] = m
}

// ignore logs an unreadable entry once.
func (f *RegisterFeed) ignore(o platform.Object, err error) {
	if f.ignored == nil {
		f.ignored = map[string]bool{}
	}
	if !f.ignored[o.Name] {
		f.ignored[o.Name] = true
		f.Log.Error(err, "entry of a target ignored", "name", o.Name, "revision", o.Version)
	}
}

// offer needs f.mu.
func (f *RegisterFeed) offer(revision uint64) {
	f.revision = revision
	f.Store.OfferRegister(&Register{Revision: revision, Members: maps.Clone(f.members)})
}
