package platform

import "encoding/json"

// MaxValueBytes is the largest object value that the platform stores.
const MaxValueBytes = 1 << 20

// CallerHeader is the HTTP header that names the calling process.
const CallerHeader = "Nettlewalk-Caller"

// Object is one object of the platform. Versions increase across all objects of a
// kind and continue to increase when an object is deleted and created again.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
}

// List is one page of a kind's objects, sorted by name. Client.List returns the
// objects of all pages in one List.
type List struct {
	Revision uint64   `json:"revision"` // of the kind when the page was read
	Objects  []Object `json:"objects"`
	NextPage string   `json:"next_page,omitempty"` // empty on the last page
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
}

// Failure is the body of an unsuccessful response. Current is set after a version
// conflict if the object exists.
type Failure struct {
	Message string  `json:"message"`
	Current *Object `json:"current,omitempty"`
}
