package customer

import (
	"sort"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// Item is one version of an object.
type Item struct {
	Name    string
	Version uint64
	Removed bool   // the object no longer exists on the platform
	Value   []byte // JSON; empty if removed
}

// Update is a new version of an object together with the version that it
// replaces. Previous.Version is 0 for a new object.
type Update struct {
	Item
	Previous Item
}

// Delta contains, for one kind, the latest version of each object that changed
// after revision From and up to revision To.
type Delta struct {
	Kind  string
	From  uint64
	To    uint64
	Items []Item // sorted by version
	More  bool   // there are further changes after To
	Stale bool   // the source may not know all removals since From; the receiver must read all pages
}

// Page contains objects of a kind, sorted by name. The revision of the first
// page applies to the whole list.
type Page struct {
	Kind     string
	Revision uint64
	Items    []Item
	More     bool // continue after the name of the last item
}

// deltaFromChanges converts the changes of a platform watch to a delta. From
// stays 0, because a watch reports every change since the watched revision.
func deltaFromChanges(kind string, changes platform.Changes) Delta {
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

// sortByVersion sorts items by increasing version.
func sortByVersion(items []Item) {
	sort.Slice(items, func(i, j int) bool { return items[i].Version < items[j].Version })
}
