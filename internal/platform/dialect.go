package platform

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Call is the HTTP request of one call to the platform.
type Call struct {
	Method string
	Path   string // including the query
	Body   []byte
}

// Dialect maps the client's calls to the HTTP requests and JSON bodies of one
// platform API. Retries, the call budget and the handling of lost answers are the
// same for all dialects.
type Dialect interface {
	// Get reads an object. A stale read costs less and may be seconds old.
	Get(kind, name string, stale bool) Call
	// List reads the page of a kind that starts after the object named after.
	List(kind, after string, stale bool) Call
	// Watch waits for changes after a revision.
	Watch(kind string, after uint64, wait time.Duration) Call
	// Put writes an object if the stored version equals object.Version; version 0
	// means that the object must not exist.
	Put(object Object) Call
	// Delete removes an object if the stored version equals object.Version.
	Delete(object Object) Call

	DecodeObject(kind string, body []byte) (Object, error)
	DecodeList(kind string, body []byte) (List, error)
	DecodeChanges(kind string, body []byte) (Changes, error)
	// DecodeFailure parses the body of an unsuccessful response.
	DecodeFailure(kind string, body []byte) Failure
	// HadNoEffect reports whether a status of 500 or above guarantees that
	// the request had no effect.
	HadNoEffect(status int) bool
	// EraHeader returns the name of the header that holds the platform's era.
	EraHeader() string
}

// native is the dialect of the proxy's own platform API.
type native struct{}

func (native) Get(kind, name string, _ bool) Call {
	return Call{Method: http.MethodGet, Path: objectPath(kind, name)}
}

func (native) List(kind, after string, _ bool) Call {
	query := url.Values{"limit": {strconv.Itoa(listPageSize)}, "page": {after}}
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

func (native) DecodeObject(_ string, body []byte) (Object, error) { return decodeNative(body) }

// decodeNative decodes an object. If its value isn't valid, it is left to whoever decodes
// the value to reject it.
func decodeNative(body []byte) (o Object, err error) {
	if json.Unmarshal(body, &o) == nil {
		return o, nil
	}
	o = Object{Value: Member(body, "value")}
	err = DecodeMembers(body, map[string]any{"kind": &o.Kind, "name": &o.Name, "version": &o.Version})
	if err != nil || o.Name == "" {
		return o, ErrUnreadable
	}
	return o, nil
}

func (native) DecodeList(_ string, body []byte) (l List, err error) {
	elements, err := DecodePage(body, "objects", &l)
	for _, element := range elements {
		o, objectErr := decodeNative(element)
		l.Add(o, objectErr)
	}
	return l, err
}

func (native) DecodeChanges(_ string, body []byte) (c Changes, err error) {
	elements, err := DecodePage(body, "changes", &c)
	for _, element := range elements {
		var change Change
		flagErr := DecodeMembers(element, map[string]any{"deleted": &change.Deleted})
		var objectErr error
		change.Object, objectErr = decodeNative(Member(element, "object"))
		c.Add(change, errors.CombineErrors(flagErr, objectErr))
	}
	return c, err
}

func (native) DecodeFailure(_ string, body []byte) (f Failure) {
	_ = json.Unmarshal(body, &f) // the error's kind depends on the status alone; the body is optional
	return f
}

func (native) HadNoEffect(int) bool { return false }

func (native) EraHeader() string { return EraHeader }

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func conditionalPath(o Object) string {
	query := url.Values{"if_version": {strconv.FormatUint(o.Version, 10)}}
	return objectPath(o.Kind, o.Name) + "?" + query.Encode()
}
