package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Call is one request to the platform as HTTP carries it.
type Call struct {
	Method string
	Path   string // with its query
	Body   []byte
}

// Dialect spells the platform's object API. The client's decisions (retries,
// budget, what a lost answer means) are the same for all dialects.
type Dialect interface {
	// Get reads an object. A stale answer is cheaper and may be seconds old.
	Get(kind, name string, stale bool) Call
	// List reads a page of a kind that begins behind the object named after.
	List(kind, after string, stale bool) Call
	// Watch waits for changes after a revision.
	Watch(kind string, after uint64, wait time.Duration) Call
	// Put writes an object if it has the object's version, 0: if there is none.
	Put(object Object) Call
	// Delete removes an object if it has the object's version.
	Delete(object Object) Call

	DecodeObject(kind string, body []byte) (Object, error)
	DecodeList(kind string, body []byte) (List, error)
	DecodeChanges(kind string, body []byte) (Changes, error)
	// DecodeFailure reads the body of an answer that is no success.
	DecodeFailure(kind string, body []byte) Failure
	// NothingDone tells whether a status of 500 or above is a promise that the
	// request had no effect.
	NothingDone(status int) bool
}

// native is the dialect of the product's own platform API.
type native struct{}

func (native) Get(kind, name string, _ bool) Call {
	return Call{Method: http.MethodGet, Path: objectPath(kind, name)}
}

func (native) List(kind, after string, _ bool) Call {
	query := url.Values{"limit": {strconv.Itoa(listPage)}, "page": {after}}
	return Call{Method: http.MethodGet, Path: "/v1/objects/" + url.PathEscape(kind) + "?" + query.Encode()}
}

func (native) Watch(kind string, after uint64, wait time.Duration) Call {
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {wait.String()}}
	return Call{Method: http.MethodGet, Path: "/v1/watch/" + url.PathEscape(kind) + "?" + query.Encode()}
}

func (native) Put(o Object) Call {
	return Call{Method: http.MethodPut, Path: conditionalPath(o), Body: o.Value}
}

func (native) Delete(o Object) Call {
	return Call{Method: http.MethodDelete, Path: conditionalPath(o)}
}

func (native) DecodeObject(_ string, body []byte) (o Object, err error) {
	return o, json.Unmarshal(body, &o)
}

func (native) DecodeList(_ string, body []byte) (l List, err error) {
	return l, json.Unmarshal(body, &l)
}

func (native) DecodeChanges(_ string, body []byte) (c Changes, err error) {
	return c, json.Unmarshal(body, &c)
}

func (native) DecodeFailure(_ string, body []byte) (f Failure) {
	_ = json.Unmarshal(body, &f) // the status alone decides
	return f
}

func (native) NothingDone(int) bool { return false }

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func conditionalPath(o Object) string {
	query := url.Values{"if_version": {strconv.FormatUint(o.Version, 10)}}
	return objectPath(o.Kind, o.Name) + "?" + query.Encode()
}
