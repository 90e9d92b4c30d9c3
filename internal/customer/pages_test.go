package customer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// sourceAt returns the collection of a source that has seen the history up to a revision.
func (h history) sourceAt(revision int) *Collection {
	c := &Collection{}
	c.Replace(platform.List{})
	for _, item := range h[:revision] {
		c.Merge(Delta{From: c.Revision(), To: item.Version, Items: []Item{item}})
	}
	return c
}

// present returns the versions of the objects that aren't removed.
func present(c *Collection) map[string]uint64 {
	versions := map[string]uint64{}
	for name, item := range c.items {
		if !item.Removed {
			versions[name] = item.Version
		}
	}
	return versions
}

// A list whose pages come from sources that are behind or ahead of each other must not
// lose, keep or revert an object once the deltas since its revision are merged.
func TestPagesOfSeveralSourcesMissNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := genHistory(t)
		revisions := rapid.IntRange(1, len(h))
		child := &Collection{}
		if rapid.Bool().Draw(t, "has older objects") {
			child = h.sourceAt(revisions.Draw(t, "child"))
		}
		partial := &partialList{}
		for more := true; more; {
			source := h.sourceAt(revisions.Draw(t, "source"))
			page := source.Page("customer", partial.after, rapid.IntRange(1, 12).Draw(t, "bytes"))
			partial.add(page, time.Time{})
			more = page.More
		}
		child.Replace(partial.list)
		newest := h.sourceAt(len(h))
		delta := newest.Since("customer", child.Revision(), maxResponseBytes)
		child.Merge(delta)
		if fmt.Sprint(present(child)) != fmt.Sprint(present(newest)) {
			t.Fatalf("%v, want %v", present(child), present(newest))
		}
	})
}

// A page that comes too late must make the next ones smaller, but not without limit.
func TestPagesShrinkWhenLate(t *testing.T) {
	partial := &partialList{}
	qt.Check(t, (&PageArgs{MaxBytes: partial.pageBytes}).pageBytes(), qt.Equals, maxResponseBytes)
	partial.notePageLate()
	qt.Check(t, (&PageArgs{MaxBytes: partial.pageBytes}).pageBytes(), qt.Equals, maxResponseBytes/2)
	for range 20 {
		partial.notePageLate()
	}
	qt.Check(t, (&PageArgs{MaxBytes: partial.pageBytes}).pageBytes(), qt.Equals, minPageBytes)
	qt.Check(t, (&PageArgs{MaxBytes: 1 << 30}).pageBytes(), qt.Equals, maxResponseBytes)
}

// After a late page the next ones are smaller, down to a limit.
func TestLatePageMakesTheNextOnesSmaller(t *testing.T) {
	p := &partialList{}
	p.notePageLate()
	qt.Check(t, p.pageBytes, qt.Equals, maxResponseBytes/2)
	p.notePageLate()
	qt.Check(t, p.pageBytes, qt.Equals, maxResponseBytes/4)
	for range 10 {
		p.notePageLate()
	}
	qt.Check(t, p.pageBytes, qt.Equals, minPageBytes)
}

// Sources know the changes since an old page no longer: the list begins again.
func TestOldPartialListIsNotContinued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &puller{partial: map[string]*partialList{}}
		begun := p.partialList("customer")
		begun.add(Page{Kind: "customer", Revision: 5, Items: []Item{{Name: "a", Version: 3}}}, time.Now())
		time.Sleep(partialListMaxAge)
		qt.Check(t, p.partialList("customer"), qt.Equals, begun)
		time.Sleep(time.Second)
		qt.Check(t, p.partialList("customer").after, qt.Equals, "")
	})
}
