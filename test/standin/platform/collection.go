package platform

import (
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// historyLimit is the number of changes that a collection retains for watches.
const historyLimit = 20_000

// historyEntry is one change and the time when it was made.
type historyEntry struct {
	change    platform.Change
	changedAt time.Time
}

// collection holds the objects of one kind. Gets and conditional writes see a
// change immediately; lists and watches see it after the list lag.
type collection struct {
	revision        uint64
	objects         map[string]platform.Object
	listed          map[string]platform.Object // objects as lists return them
	listedRevision  uint64                     // latest revision visible in lists and watches
	history         []historyEntry
	trimmedRevision uint64        // changes up to this revision were trimmed from history
	changed         chan struct{} // closed and replaced on every change
}

func newCollection() *collection {
	return &collection{
		objects: map[string]platform.Object{},
		listed:  map[string]platform.Object{},
		changed: make(chan struct{}),
	}
}

// recordChange records a change with the next revision as its version.
func (c *collection) recordChange(object platform.Object, deleted bool, now time.Time) platform.Object {
	c.revision++
	object.Version = c.revision
	if deleted {
		object.Value = nil
	}
	change := platform.Change{Object: object, Deleted: deleted}
	applyChange(c.objects, change)
	c.history = append(c.history, historyEntry{change: change, changedAt: now})
	close(c.changed)
	c.changed = make(chan struct{})
	return object
}

// listDueChanges makes every change visible in lists that is at least lag old.
// It returns the time until the next change is due, or 0 if there is none.
func (c *collection) listDueChanges(now time.Time, lag time.Duration) time.Duration {
	for _, e := range c.historyAfter(c.listedRevision) {
		if remaining := lag - now.Sub(e.changedAt); remaining > 0 {
			return remaining
		}
		applyChange(c.listed, e.change)
		c.listedRevision = e.change.Object.Version
	}
	c.trimHistory()
	return 0
}

// historyAfter returns the retained changes after a revision. Revisions in the
// history are consecutive.
func (c *collection) historyAfter(revision uint64) []historyEntry {
	if revision < c.trimmedRevision || revision >= c.revision {
		return nil
	}
	return c.history[revision-c.trimmedRevision:]
}

// trimHistory drops the oldest changes beyond historyLimit, but only once the
// limit is exceeded by a tenth, so that not every change copies the history. It
// must be called when all changes are visible in lists.
func (c *collection) trimHistory() {
	excess := len(c.history) - historyLimit
	if excess <= historyLimit/10 {
		return
	}
	c.trimmedRevision += uint64(excess)
	c.history = append([]historyEntry(nil), c.history[excess:]...)
}

// changesAfter returns the visible changes after a revision. If the revision
// is outside the retained history, known is false.
func (c *collection) changesAfter(revision uint64) (changes []platform.Change, known bool) {
	if revision < c.trimmedRevision || revision > c.revision {
		return nil, false
	}
	for _, e := range c.historyAfter(revision) {
		if e.change.Object.Version > c.listedRevision {
			break
		}
		changes = append(changes, e.change)
	}
	return changes, true
}

// page returns up to limit visible objects with names greater than after.
func (c *collection) page(after string, limit int) platform.List {
	names := make([]string, 0, len(c.listed))
	for name := range c.listed {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	list := platform.List{Revision: c.listedRevision, Objects: []platform.Object{}}
	for i, name := range names {
		if i == limit {
			list.NextPage = names[i-1]
			break
		}
		list.Objects = append(list.Objects, c.listed[name])
	}
	return list
}

func applyChange(objects map[string]platform.Object, change platform.Change) {
	if change.Deleted {
		delete(objects, change.Object.Name)
		return
	}
	objects[change.Object.Name] = change.Object
}
