package customer

import (
	"sort"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// Item is one object of a kind as of its version.
type Item struct {
	Name    string
	Version uint64
	Removed bool   // the platform no longer has the object
	Value   []byte // JSON, empty if removed
}

// Update is an object's new version and the one that it replaces, whose
// version is 0 if there is none.
type Update struct {
	Item
	Previous Item
}

// Delta holds, for one kind, the latest version of each object that changed
// after From, up to To.
type Delta struct {
	Kind  string
	From  uint64
	To    uint64
	Items []Item // by rising version
	More  bool   // there is more after To
	Stale bool   // removals since From aren't all remembered: read all pages
}

// Page holds a kind's objects in the order of their names. The revision of the
// first page is that of the whole list.
type Page struct {
	Kind     string
	Revision uint64
	Items    []Item
	More     bool // ask again after the last item's name
}

// deltaOf turns a watch's changes into a delta from the watched revision on.
func deltaOf(kind string, changes platform.Changes) Delta {
	d := Delta{Kind: kind, To: changes.Revision}
	for _, change := range changes.Changes {
		d.Items = append(d.Items, Item{
			Name:    change.Object.Name,
			Version: change.Object.Version,
			Removed: change.Deleted,
			Value:   change.Object.Value,
		})
	}
	return d
}

// sortByVersion orders items by rising version.
func sortByVersion(items []Item) {
	sort.Slice(items, func(i, j int) bool { return items[i].Version < items[j].Version })
}
