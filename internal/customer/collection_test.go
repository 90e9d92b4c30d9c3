package customer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// history is the sequence of changes of one kind at the platform. The change
// at index i has revision i+1.
type history []Item

// genHistory draws a random history.
func genHistory(t *rapid.T) history {
	n := rapid.IntRange(1, 40).Draw(t, "changes")
	h := make(history, n)
	for i := range h {
		h[i] = Item{
			Name:    fmt.Sprint("o", rapid.IntRange(0, 6).Draw(t, "object")),
			Version: uint64(i + 1),
			Removed: rapid.IntRange(0, 3).Draw(t, "removal") == 0,
		}
	}
	return h
}

// stateAt returns the latest change of each object up to a revision.
func (h history) stateAt(revision uint64) map[string]Item {
	state := map[string]Item{}
	for _, item := range h[:revision] {
		state[item.Name] = item
	}
	return state
}

// listAt returns the platform's list of objects as of a revision.
func (h history) listAt(revision uint64) platform.List {
	list := platform.List{Revision: revision}
	for name, item := range h.stateAt(revision) {
		if !item.Removed {
			list.Objects = append(list.Objects, platform.Object{Name: name, Version: item.Version})
		}
	}
	return list
}

// changesBetween returns what a watch reports after revision from and up to
// revision to.
func (h history) changesBetween(from, to uint64) platform.Changes {
	changes := platform.Changes{Revision: to}
	for _, item := range h[from:to] {
		object := platform.Object{Name: item.Name, Version: item.Version}
		changes.Changes = append(changes.Changes, platform.Change{Object: object, Deleted: item.Removed})
	}
	return changes
}

// TestCollectionsNeverRevert lets hosts list, watch, pull from each other in
// chunks and merge delayed deltas in random order. Neither the version of an
// object nor a revision may decrease, a removed object must not reappear, and
// each host has every object as of its revision.
func TestCollectionsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := genHistory(t)
		hosts := make([]*Collection, 3)
		for i := range hosts {
			hosts[i] = &Collection{}
		}
		var delayed []Delta
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			c := rapid.SampledFrom(hosts).Draw(t, "host")
			before := snapshot(c)
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				c.Replace(h.listAt(rapid.Uint64Range(0, uint64(len(h))).Draw(t, "listed")))
			case 1:
				to := rapid.Uint64Range(c.revision, uint64(len(h))).Draw(t, "watched")
				if c.complete {
					c.Merge(deltaFromChanges("", h.changesBetween(c.revision, to)))
				}
			case 2:
				from := rapid.SampledFrom(hosts).Draw(t, "source")
				if from.complete {
					c.Merge(from.Since("", c.revision, rapid.IntRange(1, 6).Draw(t, "limit")))
				}
			case 5:
				from := rapid.SampledFrom(hosts).Draw(t, "source")
				if from.complete && from != c {
					c.Replace(readPages(from, 3, func() {
						to := min(from.revision+1, uint64(len(h)))
						from.Merge(deltaFromChanges("", h.changesBetween(from.revision, to)))
					}))
				}
			case 3:
				from := rapid.SampledFrom(hosts).Draw(t, "source")
				if from.complete {
					delayed = append(delayed, from.Since("", c.revision, 1000))
				}
			case 4:
				if len(delayed) > 0 {
					c.Merge(rapid.SampledFrom(delayed).Draw(t, "delayed"))
				}
			}
			checkNoRegression(t, before, c)
			checkComplete(t, h, c)
		}
		hosts[0].Replace(h.listAt(uint64(len(h))))
		for _, c := range hosts {
			pullAll(t, c, hosts[0])
			checkComplete(t, h, c)
			if c.revision != uint64(len(h)) || !c.complete {
				t.Fatalf("revision after pulling all changes is %d, want %d", c.revision, len(h))
			}
		}
	})
}

// pullAll pulls in small chunks until there are no more changes. It reads all
// pages if the collection is incomplete or the source no longer has all
// removals.
func pullAll(t *rapid.T, c, source *Collection) {
	const maxBytes = 2 // the size of one object: the test objects consist of a name of two bytes
	for range 100 {
		d := source.Since("", c.revision, maxBytes)
		if !c.complete || d.Stale {
			c.Replace(readPages(source, maxBytes, func() {}))
			continue
		}
		c.Merge(d)
		if !d.More {
			return
		}
	}
	t.Fatalf("pulling does not terminate, last delta: %+v", source.Since("", c.revision, maxBytes))
}

// readPages collects all pages of the source and calls afterPage between
// pages.
func readPages(source *Collection, maxBytes int, afterPage func()) platform.List {
	page := source.Page("", "", maxBytes)
	list := platform.List{Revision: page.Revision}
	for {
		for _, item := range page.Items {
			list.Objects = append(list.Objects, platform.Object{Name: item.Name, Version: item.Version})
		}
		if !page.More {
			return list
		}
		afterPage()
		page = source.Page("", list.Objects[len(list.Objects)-1].Name, maxBytes)
	}
}

// snapshot returns a copy of the collection with its own map of items.
func snapshot(c *Collection) Collection {
	s := *c
	s.items = map[string]Item{}
	for name, item := range c.items {
		s.items[name] = item
	}
	return s
}

// checkNoRegression fails if a revision or a version decreased.
func checkNoRegression(t *rapid.T, before Collection, c *Collection) {
	if c.revision < before.revision || before.complete && !c.complete {
		t.Fatalf("revision decreased from %d to %d", before.revision, c.revision)
	}
	for name, old := range before.items {
		if c.items[name].Version < old.Version {
			t.Fatalf("version of %s decreased from %d to %d", name, old.Version, c.items[name].Version)
		}
	}
}

// checkComplete fails if the collection lacks an object whose last change is
// at or before its revision. Objects that change later may have any of their
// versions.
func checkComplete(t *rapid.T, h history, c *Collection) {
	for name, want := range h.stateAt(uint64(len(h))) {
		if want.Version > c.revision {
			continue
		}
		got, ok := c.Get(name)
		if ok == want.Removed || ok && got.Version != want.Version {
			t.Fatalf("at revision %d: %s is %+v (present: %v), want %+v", c.revision, name, got, ok, want)
		}
	}
	for name, item := range c.items {
		if !item.Removed && h[item.Version-1].Name != name {
			t.Fatalf("%s has a version of another object: %+v", name, item)
		}
	}
}

// TestDeltaHoldsOnlyChangedObjects checks that the size of a delta depends on
// the number of changes and not on the number of objects.
func TestDeltaHoldsOnlyChangedObjects(t *testing.T) {
	c := &Collection{}
	const objects = 1000
	list := platform.List{Revision: objects}
	for i := range objects {
		list.Objects = append(list.Objects, platform.Object{Name: fmt.Sprint(i), Version: uint64(i + 1)})
	}
	c.Replace(list)
	c.Merge(Delta{From: objects, To: objects + 1, Items: []Item{{Name: "7", Version: objects + 1}}})
	if d := c.Since("", objects, 1<<20); len(d.Items) != 1 || d.More || d.Stale {
		t.Fatalf("delta of one change has %d items, more: %v, stale: %v", len(d.Items), d.More, d.Stale)
	}
}

// TestDiscardedTombstonesMakeOldRevisionsStale checks that a delta from before
// discarded tombstones is marked stale, and that the memory for tombstones and
// index entries stays bounded.
func TestDiscardedTombstonesMakeOldRevisionsStale(t *testing.T) {
	c := &Collection{}
	c.Replace(platform.List{})
	for i := range uint64(2*maxTombstones + 2) {
		c.Merge(Delta{From: i, To: i + 1, Items: []Item{{Name: fmt.Sprint(i), Version: i + 1, Removed: true}}})
	}
	if d := c.Since("", 5, 1000); !d.Stale {
		t.Fatalf("delta from before the discarded tombstones is not stale: %+v", d)
	}
	if c.tombstones > 2*maxTombstones || len(c.byVersion) > 2*maxTombstones+64 {
		t.Fatalf("collection keeps %d tombstones and %d index entries", c.tombstones, len(c.byVersion))
	}
}
