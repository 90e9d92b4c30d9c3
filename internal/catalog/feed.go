package catalog

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ConfigurationFeed decodes configuration objects from the store and passes
// them to Store. It implements platform.Sink.
type ConfigurationFeed struct {
	Name   string // name of the object that holds the configuration
	Decode func(json.RawMessage) (*Configuration, error)
	Store  *Store
	Log    logr.Logger

	mu       sync.Mutex
	revision uint64
	listed   bool          // whether a complete list was received
	newest   StorePosition // of the newest object that this host received from the store
	ownRead  time.Time     // when this host's newest successful read was sent
}

// Revision implements platform.Sink.
func (f *ConfigurationFeed) Revision(string) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.listed
}

// Reset implements platform.Sink.
func (f *ConfigurationFeed) Reset(_ string, list platform.List) {
	for _, o := range list.Objects {
		f.applyObject(o, list.Era)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision, f.listed = list.Revision, true
}

// Apply implements platform.Sink.
func (f *ConfigurationFeed) Apply(_ string, changes platform.Changes) {
	for _, c := range changes.Changes {
		if !c.Deleted {
			f.applyObject(c.Object, changes.Era)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = changes.Revision
}

// applyObject decodes the configuration object, read in an era of the store, and offers
// it to Store. It ignores objects of other names. The version is 0 if it isn't valid.
func (f *ConfigurationFeed) applyObject(o platform.Object, era uint64) (version uint64) {
	if o.Name != f.Name {
		return 0
	}
	f.noteReceived(StorePosition{era, o.Version})
	c, err := f.Decode(o.Value)
	if err != nil {
		f.Log.Error(err, "ignoring invalid configuration", "revision", o.Version)
		return 0
	}
	if f.Store.OfferConfiguration(c) {
		f.Log.Info("configuration in force", "version", c.Version, "revision", o.Version, "source", "store", "routes", len(c.Routes), "customers", len(c.Customers), "keys", len(c.KeyOwners))
	}
	return c.Version
}

func (f *ConfigurationFeed) noteReceived(position StorePosition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if position.After(f.newest) {
		f.newest = position
	}
}

func (f *ConfigurationFeed) newestReceived() StorePosition {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest
}

// RegistryFeed builds registry snapshots from objects in the store. It
// implements platform.Sink.
type RegistryFeed struct {
	Decode func(id string, value json.RawMessage) (Member, error)
	Store  *Store
	Log    logr.Logger

	mu            sync.Mutex
	position      StorePosition // of the newest list or change
	listed        bool          // whether a complete list was received
	members       map[topology.TargetID]Member
	loggedInvalid map[string]bool // names of invalid entries that were already logged
}

// Revision implements platform.Sink.
func (f *RegistryFeed) Revision(string) (uint64, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position.Revision, f.listed
}

// Reset implements platform.Sink.
func (f *RegistryFeed) Reset(_ string, list platform.List) {
	f.mu.Lock()
	defer f.mu.Unlock()
	position := StorePosition{list.Era, list.Revision}
	if f.listed && f.position.After(position) {
		return // a watch has already delivered a newer revision
	}
	f.members = map[topology.TargetID]Member{}
	f.forgetMissingInvalid(list.Objects)
	for _, o := range list.Objects {
		f.updateMemberLocked(o, false)
	}
	f.listed = true
	f.publishLocked(position)
}

// Apply implements platform.Sink.
func (f *RegistryFeed) Apply(_ string, changes platform.Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	position := StorePosition{changes.Era, changes.Revision}
	if f.position.After(position) {
		return // a list has already delivered a newer revision
	}
	for _, c := range changes.Changes {
		f.updateMemberLocked(c.Object, c.Deleted)
	}
	if len(changes.Changes) == 0 { // the revision advanced without a change to the registry
		f.position = position
		return
	}
	f.publishLocked(position)
}

// updateMemberLocked applies one object to the members. The caller must hold
// f.mu.
func (f *RegistryFeed) updateMemberLocked(o platform.Object, deleted bool) {
	id := topology.TargetID(o.Name)
	if deleted {
		if _, ok := f.members[id]; ok {
			f.Log.Info("target removed from registry", "target", id, "revision", o.Version)
		}
		delete(f.members, id)
		delete(f.loggedInvalid, o.Name)
		return
	}
	m, err := f.Decode(o.Name, o.Value)
	if err != nil {
		f.logInvalidOnce(o, err)
		delete(f.members, id) // as in a list, so that the members don't depend on the way
		return
	}
	delete(f.loggedInvalid, o.Name)
	if old, ok := f.members[id]; ok && old != m {
		f.Log.Info("target registration changed", "target", id, "leaving", m.Target.Leaving, "primary", m.Primary, "revision", o.Version)
	}
	f.members[id] = m
}

// forgetMissingInvalid forgets the logged names that a list lacks: another writer may use
// any number of names. The caller must hold f.mu.
func (f *RegistryFeed) forgetMissingInvalid(listed []platform.Object) {
	if len(f.loggedInvalid) == 0 {
		return
	}
	present := map[string]bool{}
	for _, o := range listed {
		if f.loggedInvalid[o.Name] {
			present[o.Name] = true
		}
	}
	f.loggedInvalid = present
}

// logInvalidOnce logs an undecodable entry once until it is sound or gone. The caller must
// hold f.mu.
func (f *RegistryFeed) logInvalidOnce(o platform.Object, err error) {
	if f.loggedInvalid == nil {
		f.loggedInvalid = map[string]bool{}
	}
	if !f.loggedInvalid[o.Name] {
		f.loggedInvalid[o.Name] = true
		f.Log.Error(err, "ignoring invalid target registration", "name", o.Name, "revision", o.Version)
	}
}

// publishLocked offers the current members to Store as a new snapshot. The
// caller must hold f.mu.
func (f *RegistryFeed) publishLocked(position StorePosition) {
	f.position = position
	f.Store.OfferRegistry(&Registry{Era: position.Era, Revision: position.Revision, Members: maps.Clone(f.members)})
}
