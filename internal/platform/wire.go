package platform

import "encoding/json"

// MaxValueBytes is the largest object value that the platform stores.
const MaxValueBytes = 1 << 20

// CallerHeader is the HTTP header that names the calling process.
const CallerHeader = "Nettlewalk-Caller"

// EraHeader is the HTTP header in all answers that tells how often the platform came
// back from an older copy of its objects. Without it the era is 0.
const EraHeader = "Nettlewalk-Platform-Era"

// Object is one object of the platform. Versions increase across all objects of a
// kind and continue to increase when an object is deleted and created again.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Era is the platform's era when the object was read; versions compare within
	// one era only. It isn't part of the body.
	Era uint64 `json:"-"`
}

// List is one page of a kind's objects, sorted by name. Client.List returns the
// objects of all pages in one List.
type List struct {
	Revision uint64   `json:"revision"` // of the kind when the page was read
	Objects  []Object `json:"objects"`
	NextPage string   `json:"next_page,omitempty"` // empty on the last page
	Era      uint64   `json:"-"`                   // in which all pages were read
	// Unreadable counts the objects that were left out because of ErrUnreadable.
	Unreadable int `json:"-"`
}

// Add appends an object that was decoded by itself, or counts one that couldn't be.
func (l *List) Add(o Object, err error) {
	if err != nil {
		l.Unreadable++
		return
	}
	l.Objects = append(l.Objects, o)
}

// Change is one write or deletion. Object.Version is the revision that it created.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Changes is the response to a watch: all changes after the requested revision, in
// order.
type Changes struct {
	Revision uint64   `json:"revision"` // from which to watch next
	Changes  []Change `json:"changes"`
	Era      uint64   `json:"-"` // of Revision
	// Unreadable counts the changes that were left out because of ErrUnreadable.
	Unreadable int `json:"-"`
}

// Add appends a change that was decoded by itself, or counts one that couldn't be.
func (c *Changes) Add(change Change, err error) {
	if err != nil {
		c.Unreadable++
		return
	}
	c.Changes = append(c.Changes, change)
}

// Failure is the body of an unsuccessful response. Current is set after a version
// conflict if the object exists.
type Failure struct {
	Message string  `json:"message"`
	Current *Object `json:"current,omitempty"`
}
