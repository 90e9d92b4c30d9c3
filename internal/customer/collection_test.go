package customer

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// history is what the platform did with one kind: change i made revision i+1.
type history []Item

func drawHistory(t *rapid.T) history {
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

// at returns each object's latest change up to a revision.
func (h history) at(revision uint64) map[string]Item {
	state := map[string]Item{}
	for _, item := range h[:revision] {
		state[item.Name] = item
	}
	return state
}

func (h history) list(revision uint64) platform.List {
	list := platform.List{Revision: revision}
	for name, item := range h.at(revision) {
		if !item.Removed {
			list.Objects = append(list.Objects, platform.Object{Name: name, Version: item.Version})
		}
	}
	return list
}

func (h history) watch(from, to uint64) platform.Changes {
	changes := platform.Changes{Revision: to}
	for _, item := range h[from:to] {
		object := platform.Object{Name: item.Name, Version: item.Version}
		changes.Changes = append(changes.Changes, platform.Change{Object: object, Deleted: item.Removed})
	}
	return changes
}

// TestCollectionsNeverRevert lets hosts list, watch, pull from each other in
// chunks and take in delayed deltas in any order. No object's version and no
// revision may fall, a removed object may not come back, and each host has
// every object as of its revision.
func TestCollectionsNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
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
				c.Replace(h.list(rapid.Uint64Range(0, uint64(len(h))).Draw(t, "listed")))
			case 1:
				to := rapid.Uint64Range(c.revision, uint64(len(h))).Draw(t, "watched")
				if c.whole {
					c.Merge(deltaOf("", h.watch(c.revision, to)))
				}
			case 2:
				from := rapid.SampledFrom(hosts).Draw(t, "source")
				if from.whole {
					c.Merge(from.Since("", c.revision, rapid.IntRange(1, 6).Draw(t, "limit")))
				}
			case 5:
				from := rapid.SampledFrom(hosts).Draw(t, "source")
				if from.whole && from != c {
					c.Replace(readPages(from, 3, func() {
						to := min(from.revision+1, uint64(len(h)))
						from.Merge(deltaOf("", h.watch(from.revision, to)))
					}))
				}
			case 3:
				from := rapid.SampledFrom(hosts).Draw(t, "source")
				if from.whole {
					delayed = append(delayed, from.Since("", c.revision, 1000))
				}
			case 4:
				if len(delayed) > 0 {
					c.Merge(rapid.SampledFrom(delayed).Draw(t, "delayed"))
				}
			}
			checkNoReturn(t, before, c)
			checkComplete(t, h, c)
		}
		hosts[0].Replace(h.list(uint64(len(h))))
		for _, c := range hosts {
			pullAll(t, c, hosts[0])
			checkComplete(t, h, c)
			if c.revision != uint64(len(h)) || !c.whole {
				t.Fatalf("after pulling everything the revision is %d of %d", c.revision, len(h))
			}
		}
	})
}

// pullAll pulls as a host does: small chunks of deltas, all pages where the
// source doesn't remember enough.
func pullAll(t *rapid.T, c, source *Collection) {
	const chunk = 2 // bytes, one object's name
	for range 100 {
		d := source.Since("", c.revision, chunk)
		if !c.whole || d.Stale {
			c.Replace(readPages(source, chunk, func() {}))
			continue
		}
		c.Merge(d)
		if !d.More {
			return
		}
	}
	t.Fatalf("pulling doesn't end: %+v", source.Since("", c.revision, chunk))
}

// readPages gathers a source's pages; between runs after each page.
func readPages(source *Collection, limit int, between func()) platform.List {
	page := source.Page("", "", limit)
	list := platform.List{Revision: page.Revision}
	for {
		for _, item := range page.Items {
			list.Objects = append(list.Objects, platform.Object{Name: item.Name, Version: item.Version})
		}
		if !page.More {
			return list
		}
		between()
		page = source.Page("", list.Objects[len(list.Objects)-1].Name, limit)
	}
}

func snapshot(c *Collection) Collection {
	s := *c
	s.items = map[string]Item{}
	for name, item := range c.items {
		s.items[name] = item
	}
	return s
}

func checkNoReturn(t *rapid.T, before Collection, c *Collection) {
	if c.revision < before.revision || before.whole && !c.whole {
		t.Fatalf("revision fell from %d to %d", before.revision, c.revision)
	}
	for name, old := range before.items {
		if c.items[name].Version < old.Version {
			t.Fatalf("%s fell from version %d to %d", name, old.Version, c.items[name].Version)
		}
	}
}

// checkComplete looks for each object that the platform changed last at or
// before the host's revision. Later ones may be there in any version.
func checkComplete(t *rapid.T, h history, c *Collection) {
	for name, want := range h.at(uint64(len(h))) {
		if want.Version > c.revision {
			continue
		}
		got, ok := c.Get(name)
		if ok == want.Removed || ok && got.Version != want.Version {
			t.Fatalf("at revision %d %s is %+v (%v), want %+v", c.revision, name, got, ok, want)
		}
	}
	for name, item := range c.items {
		if !item.Removed && h[item.Version-1].Name != name {
			t.Fatalf("%s has a version that it never had: %+v", name, item)
		}
	}
}

func TestDeltaCostFollowsTheChange(t *testing.T) {
	c := &Collection{}
	const objects = 1000
	list := platform.List{Revision: objects}
	for i := range objects {
		list.Objects = append(list.Objects, platform.Object{Name: fmt.Sprint(i), Version: uint64(i + 1)})
	}
	c.Replace(list)
	c.Merge(Delta{From: objects, To: objects + 1, Items: []Item{{Name: "7", Version: objects + 1}}})
	if d := c.Since("", objects, 1<<20); len(d.Items) != 1 || d.More || d.Stale {
		t.Fatalf("one change gives %d items, more %v, stale %v", len(d.Items), d.More, d.Stale)
	}
}

func TestForgottenRemovalsMakeOldRevisionsStale(t *testing.T) {
	c := &Collection{}
	c.Replace(platform.List{})
	for i := range uint64(2*removalsKept + 2) {
		c.Merge(Delta{From: i, To: i + 1, Items: []Item{{Name: fmt.Sprint(i), Version: i + 1, Removed: true}}})
	}
	if d := c.Since("", 5, 1000); !d.Stale {
		t.Fatalf("a revision before the forgotten removals isn't stale: %+v", d)
	}
	if c.removals > 2*removalsKept || len(c.order) > 2*removalsKept+64 {
		t.Fatalf("%d removals and %d references kept", c.removals, len(c.order))
	}
}
