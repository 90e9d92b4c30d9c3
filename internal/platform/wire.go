package platform

import "encoding/json"

// MaxValueBytes is the largest value that the platform keeps.
const MaxValueBytes = 1 << 20

// CallerHeader names the calling process in each request.
const CallerHeader = "Nettlewalk-Caller"

// Object is one object of the platform. Versions rise across all objects of a
// kind, also when an object is deleted and created again.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// List is one page of a kind's objects, sorted by name.
type List struct {
	Revision uint64   `json:"revision"` // of the collection when the page was read
	Objects  []Object `json:"objects"`
	NextPage string   `json:"next_page,omitempty"` // empty on the last page
}

// Change is one write or deletion. Object.Version is the revision it made.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Changes answers a watch: every change after the asked revision, in order.
type Changes struct {
	Revision uint64   `json:"revision"` // to ask for next
	Changes  []Change `json:"changes"`
}

// Failure is the body of an answer that is no success. Current is set on a
// version conflict when the object exists.
type Failure struct {
	Message string  `json:"message"`
	Current *Object `json:"current,omitempty"`
}
