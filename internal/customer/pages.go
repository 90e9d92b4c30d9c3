package customer

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/platform"
)

// partialListMaxAge is how long an unfinished list is kept after its latest page. Sources
// know the changes since then by deltas.
const partialListMaxAge = 5 * time.Minute

// partialList holds the pages of a kind that were read so far. Another attempt, at
// another source too, continues after them.
type partialList struct {
	list       platform.List
	after      string    // name of the last object
	lastPageAt time.Time // or when the list was begun
	pageBytes  int       // to ask for; 0: as much as the source returns at most
}

// add appends a page. The list's revision is the lowest of all pages, so that the deltas
// from there contain every change that some page lacks.
func (p *partialList) add(page Page, now time.Time) {
	if p.after == "" || page.Revision < p.list.Revision {
		p.list.Revision = page.Revision
	}
	for _, item := range page.Items {
		object := platform.Object{Kind: page.Kind, Name: item.Name, Version: item.Version, Value: item.Value}
		p.list.Objects = append(p.list.Objects, object)
		p.after = item.Name
	}
	p.lastPageAt = now
}

// notePageLate makes the next pages smaller: a page must arrive within pageTimeout.
func (p *partialList) notePageLate() {
	asked := p.pageBytes
	if asked == 0 {
		asked = maxResponseBytes
	}
	p.pageBytes = max(asked/2, minPageBytes)
}
