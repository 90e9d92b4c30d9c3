package customer

import (
	"sort"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// maxTombstones is the number of removed objects that a collection keeps in
// order to report the removals in deltas.
const maxTombstones = 10_000

// versionRef is an entry of the version index of a collection.
type versionRef struct {
	version uint64
	name    string
}

// Collection is the replicated state of one kind of object on this host. Once
// it is complete, it contains every object whose latest version is at most the
// revision. Neither the revision nor the version of an object ever decreases.
// The zero value is empty and incomplete.
type Collection struct {
	complete          bool
	revision          uint64
	items             map[string]Item
	byVersion         []versionRef // sorted by version unless unsorted is set; may contain superseded entries
	unsorted          bool
	tombstones        int      // number of removed objects in items
	compactedRevision uint64   // some removals up to this version may be unknown
	names             []string // sorted names of the present objects; nil: rebuild on the next use
}

// Complete reports whether a complete list was loaded at least once.
func (c *Collection) Complete() bool { return c.complete }

// Revision returns the revision up to which the collection is complete.
func (c *Collection) Revision() uint64 { return c.revision }

// Get returns the object unless the object is unknown or removed.
func (c *Collection) Get(name string) (Item, bool) {
	item, ok := c.items[name]
	return item, ok && !item.Removed
}

// Len returns the number of objects, not counting tombstones.
func (c *Collection) Len() int { return len(c.items) - c.tombstones }

// Merge applies the items of the delta that are newer and returns the changes.
// It ignores a delta that starts after the revision of the collection, because
// the changes in between are missing. It also ignores every delta while the
// collection is incomplete.
func (c *Collection) Merge(d Delta) []Update {
	if !c.complete || d.Stale || d.From > c.revision {
		return nil
	}
	return c.merge(d)
}

// merge applies a delta without checking where the delta starts.
func (c *Collection) merge(d Delta) []Update {
	var changed []Update
	for _, item := range d.Items {
		previous := c.items[item.Name]
		if item.Version > c.revision && c.put(item) {
			changed = append(changed, Update{Item: item, Previous: previous})
		}
	}
	c.revision = max(c.revision, d.To)
	c.compact()
	return changed
}

// Replace applies a complete list of the objects as of a revision and returns
// the changes. Objects that are not in the list become tombstones. A list
// older than the collection is ignored.
func (c *Collection) Replace(list platform.List) []Update {
	if list.Revision < c.revision || c.complete && list.Revision == c.revision {
		return nil
	}
	listed := make(map[string]bool, len(list.Objects))
	d := Delta{To: list.Revision}
	for _, object := range list.Objects {
		listed[object.Name] = true
		d.Items = append(d.Items, Item{Name: object.Name, Version: object.Version, Value: object.Value})
	}
	for name, item := range c.items {
		if !listed[name] && !item.Removed && item.Version <= list.Revision {
			d.Items = append(d.Items, Item{Name: name, Version: list.Revision, Removed: true})
		}
	}
	sortByVersion(d.Items)
	c.complete = true
	c.compactedRevision = list.Revision // the list does not report objects that were removed before it
	return c.merge(d)
}

// put stores the item if its version is newer, and reports whether it did.
func (c *Collection) put(item Item) bool {
	old, exists := c.items[item.Name]
	if item.Version <= old.Version {
		return false
	}
	if c.items == nil {
		c.items = map[string]Item{}
	}
	if exists && old.Removed {
		c.tombstones--
	}
	if item.Removed {
		c.tombstones++
	}
	wasPresent := exists && !old.Removed
	if wasPresent == item.Removed {
		c.names = nil
	}
	c.items[item.Name] = item
	if n := len(c.byVersion); n > 0 && c.byVersion[n-1].version > item.Version {
		c.unsorted = true
	}
	c.byVersion = append(c.byVersion, versionRef{item.Version, item.Name})
	return true
}

// Since returns the changes after revision from. The delta ends after the item
// with which its size reaches maxBytes.
func (c *Collection) Since(kind string, from uint64, maxBytes int) Delta {
	d := Delta{Kind: kind, From: from, To: max(from, c.revision)}
	if from < c.compactedRevision {
		d.Stale = true
		return d
	}
	size := 0
	first := sort.Search(len(c.byVersion), func(i int) bool { return c.byVersion[i].version > from })
	for _, ref := range c.byVersion[first:] {
		item := c.items[ref.name]
		if ref.version > c.revision {
			break
		}
		if item.Version != ref.version {
			continue
		}
		if size >= maxBytes {
			d.To, d.More = d.Items[len(d.Items)-1].Version, true
			return d
		}
		d.Items = append(d.Items, item)
		size += len(item.Name) + len(item.Value)
	}
	return d
}

// Page returns the objects whose names sort after the given name. The page
// ends after the item with which its size reaches maxBytes.
func (c *Collection) Page(kind, after string, maxBytes int) Page {
	if c.names == nil {
		c.names = c.sortedNames()
	}
	page := Page{Kind: kind, Revision: c.revision}
	size := 0
	first := sort.Search(len(c.names), func(i int) bool { return c.names[i] > after })
	for _, name := range c.names[first:] {
		if size >= maxBytes {
			page.More = true
			return page
		}
		item := c.items[name]
		page.Items = append(page.Items, item)
		size += len(item.Name) + len(item.Value)
	}
	return page
}

// sortedNames returns the names of all objects that are not removed.
func (c *Collection) sortedNames() []string {
	names := make([]string, 0, len(c.items))
	for name, item := range c.items {
		if !item.Removed {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// compact restores the order of the version index. Once most entries are
// superseded or the tombstones exceed maxTombstones by a tenth, it drops the
// superseded entries and the oldest tombstones above the limit.
func (c *Collection) compact() {
	if c.unsorted {
		sort.Slice(c.byVersion, func(i, j int) bool { return c.byVersion[i].version < c.byVersion[j].version })
		c.unsorted = false
	}
	excess := c.tombstones - maxTombstones
	if excess < maxTombstones/10 && len(c.byVersion) <= 2*len(c.items)+64 {
		return
	}
	kept := c.byVersion[:0]
	for _, ref := range c.byVersion {
		item := c.items[ref.name]
		switch {
		case item.Version != ref.version:
		case item.Removed && excess > 0:
			excess--
			c.tombstones--
			c.compactedRevision = ref.version
			delete(c.items, ref.name)
		default:
			kept = append(kept, ref)
		}
	}
	c.byVersion = kept
}
