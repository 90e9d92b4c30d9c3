package platform

import (
	"sort"
	"time"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// historyLimit is how many changes a collection keeps for watches.
const historyLimit = 20_000

// entry is one change and when it was made.
type entry struct {
	change platform.Change
	at     time.Time
}

// collection holds the objects of one kind. Gets and conditions see a change
// at once; lists and watches see it after the collection's lag.
type collection struct {
	revision uint64
	objects  map[string]platform.Object
	listed   map[string]platform.Object // as lists show it
	listedTo uint64                     // revision up to which changes are listed
	history  []entry
	dropped  uint64        // changes up to this revision are no longer in history
	changed  chan struct{} // closed and replaced at each change
}

func newCollection() *collection {
	return &collection{
		objects: map[string]platform.Object{},
		listed:  map[string]platform.Object{},
		changed: make(chan struct{}),
	}
}

// record makes a change with the next revision as its version.
func (c *collection) record(object platform.Object, deleted bool, now time.Time) platform.Object {
	c.revision++
	object.Version = c.revision
	if deleted {
		object.Value = nil
	}
	change := platform.Change{Object: object, Deleted: deleted}
	apply(c.objects, change)
	c.history = append(c.history, entry{change: change, at: now})
	close(c.changed)
	c.changed = make(chan struct{})
	return object
}

// advance lists every change that is at least lag old. It returns how long
// until the next one, 0 when none waits.
func (c *collection) advance(now time.Time, lag time.Duration) time.Duration {
	for _, e := range c.after(c.listedTo) {
		if left := lag - now.Sub(e.at); left > 0 {
			return left
		}
		apply(c.listed, e.change)
		c.listedTo = e.change.Object.Version
	}
	c.trim()
	return 0
}

// after returns the history past a revision. Revisions in history are gapless.
func (c *collection) after(revision uint64) []entry {
	if revision < c.dropped || revision >= c.revision {
		return nil
	}
	return c.history[revision-c.dropped:]
}

// trim drops the oldest listed changes above the limit.
func (c *collection) trim() {
	excess := len(c.history) - historyLimit
	if excess <= historyLimit/10 {
		return
	}
	c.dropped += uint64(excess)
	c.history = append([]entry(nil), c.history[excess:]...)
}

// changesAfter returns the listed changes past a revision; known is false when
// the history doesn't reach back that far.
func (c *collection) changesAfter(revision uint64) (changes []platform.Change, known bool) {
	if revision < c.dropped || revision > c.revision {
		return nil, false
	}
	for _, e := range c.after(revision) {
		if e.change.Object.Version > c.listedTo {
			break
		}
		changes = append(changes, e.change)
	}
	return changes, true
}

// page returns up to limit listed objects whose names follow after.
func (c *collection) page(after string, limit int) platform.List {
	names := make([]string, 0, len(c.listed))
	for name := range c.listed {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	list := platform.List{Revision: c.listedTo, Objects: []platform.Object{}}
	for i, name := range names {
		if i == limit {
			list.NextPage = names[i-1]
			break
		}
		list.Objects = append(list.Objects, c.listed[name])
	}
	return list
}

func apply(objects map[string]platform.Object, change platform.Change) {
	if change.Deleted {
		delete(objects, change.Object.Name)
		return
	}
	objects[change.Object.Name] = change.Object
}
