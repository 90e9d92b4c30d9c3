package customer

import (
	"sort"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// removalsKept is how many removed objects a collection remembers for deltas.
const removalsKept = 10_000

// reference places an object's version in the order of versions.
type reference struct {
	version uint64
	name    string
}

// Collection is this host's state of one kind. Once it is whole, every object
// whose latest version is at most the revision is in it. Neither the revision
// nor an object's version ever falls. The zero value is empty and not whole.
type Collection struct {
	whole     bool
	revision  uint64
	items     map[string]Item
	order     []reference // by version unless unsorted; an outdated one is skipped
	unsorted  bool
	removals  int
	forgotten uint64   // not all removals up to this version are remembered
	names     []string // sorted, nil when it has to be built again
}

// Whole tells whether the collection was complete at least once.
func (c *Collection) Whole() bool { return c.whole }

// Revision returns the revision up to which the collection is complete.
func (c *Collection) Revision() uint64 { return c.revision }

// Get returns an object that isn't removed.
func (c *Collection) Get(name string) (Item, bool) {
	item, ok := c.items[name]
	return item, ok && !item.Removed
}

// Len returns the number of objects.
func (c *Collection) Len() int { return len(c.items) - c.removals }

// Merge takes in what the delta has that is newer and returns what changed. A delta that begins after the collection's revision is ignored, and
// so is any before the collection is whole.
func (c *Collection) Merge(d Delta) []Update {
	if !c.whole || d.Stale || d.From > c.revision {
		return nil
	}
	return c.merge(d)
}

func (c *Collection) merge(d Delta) []Update {
	var changed []Update
	for _, item := range d.Items {
		previous := c.items[item.Name]
		if item.Version > c.revision && c.put(item) {
			changed = append(changed, Update{Item: item, Previous: previous})
		}
	}
	c.revision = max(c.revision, d.To)
	c.tidy()
	return changed
}

// Replace takes in a complete list as of a revision: objects that it lacks are
// gone. A list older than the collection is ignored.
func (c *Collection) Replace(list platform.List) []Update {
	if list.Revision < c.revision || c.whole && list.Revision == c.revision {
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
	c.whole = true
	c.forgotten = list.Revision // objects that came and went before it were never seen
	return c.merge(d)
}

// put stores a newer version and tells whether it was newer.
func (c *Collection) put(item Item) bool {
	old, exists := c.items[item.Name]
	if item.Version <= old.Version {
		return false
	}
	if c.items == nil {
		c.items = map[string]Item{}
	}
	if exists && old.Removed {
		c.removals--
	}
	if item.Removed {
		c.removals++
	}
	wasThere := exists && !old.Removed
	if wasThere == item.Removed {
		c.names = nil
	}
	c.items[item.Name] = item
	if n := len(c.order); n > 0 && c.order[n-1].version > item.Version {
		c.unsorted = true
	}
	c.order = append(c.order, reference{item.Version, item.Name})
	return true
}

// Since returns what changed after a revision, of about limit bytes at most.
func (c *Collection) Since(kind string, from uint64, limit int) Delta {
	d := Delta{Kind: kind, From: from, To: max(from, c.revision)}
	if from < c.forgotten {
		d.Stale = true
		return d
	}
	size := 0
	first := sort.Search(len(c.order), func(i int) bool { return c.order[i].version > from })
	for _, ref := range c.order[first:] {
		item := c.items[ref.name]
		if ref.version > c.revision {
			break
		}
		if item.Version != ref.version {
			continue
		}
		if size >= limit {
			d.To, d.More = d.Items[len(d.Items)-1].Version, true
			return d
		}
		d.Items = append(d.Items, item)
		size += len(item.Name) + len(item.Value)
	}
	return d
}

// Page returns the objects whose names follow after, of about limit bytes.
func (c *Collection) Page(kind, after string, limit int) Page {
	if c.names == nil {
		c.names = c.sortedNames()
	}
	page := Page{Kind: kind, Revision: c.revision}
	size := 0
	first := sort.Search(len(c.names), func(i int) bool { return c.names[i] > after })
	for _, name := range c.names[first:] {
		if size >= limit {
			page.More = true
			return page
		}
		item := c.items[name]
		page.Items = append(page.Items, item)
		size += len(item.Name) + len(item.Value)
	}
	return page
}

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

// tidy restores the order of versions, drops outdated references once they
// are the majority, and forgets the oldest removals above the limit.
func (c *Collection) tidy() {
	if c.unsorted {
		sort.Slice(c.order, func(i, j int) bool { return c.order[i].version < c.order[j].version })
		c.unsorted = false
	}
	excess := c.removals - removalsKept
	if excess < removalsKept/10 && len(c.order) <= 2*len(c.items)+64 {
		return
	}
	kept := c.order[:0]
	for _, ref := range c.order {
		item := c.items[ref.name]
		switch {
		case item.Version != ref.version:
		case item.Removed && excess > 0:
			excess--
			c.removals--
			c.forgotten = ref.version
			delete(c.items, ref.name)
		default:
			kept = append(kept, ref)
		}
	}
	c.order = kept
}
