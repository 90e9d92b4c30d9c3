package admin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Object is a template or customer as the API returns it.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	InForce uint64          `json:"in_force"` // version in force at the answering host, 0: none
	Value   json.RawMessage `json:"value"`
}

// Objects is a list of objects.
type Objects struct {
	Objects []*Object `json:"objects"`
}

// EditResult is the answer to an edit that took effect.
type EditResult struct {
	Version    uint64 `json:"version"`
	Superseded bool   `json:"superseded,omitempty"` // a later edit has already replaced this version
}

// kindsByCollection maps the collection name in a path to the kind of object.
var kindsByCollection = map[string]string{
	"templates": platform.KindTemplate,
	"customers": platform.KindCustomer,
}

func newObject(o platform.Object, inForce uint64) *Object {
	body, _, err := platform.SplitEdits(o.Value)
	if err != nil {
		body = o.Value
	}
	return &Object{Kind: o.Kind, Name: o.Name, Version: o.Version, InForce: inForce, Value: body}
}

// kindFromPath returns the kind of object that the request path names.
func kindFromPath(r *http.Request) (string, error) {
	kind, ok := kindsByCollection[r.PathValue("kind")]
	if !ok {
		return "", result.New(result.NotFound, "no such collection; valid collections are templates and customers")
	}
	return kind, nil
}

// objectFromPath returns the kind and the validated name of the object in the
// request path.
func objectFromPath(r *http.Request) (kind, name string, err error) {
	if kind, err = kindFromPath(r); err != nil {
		return "", "", err
	}
	name = r.PathValue("name")
	return kind, name, customer.CheckName("name", name)
}

// canRead reports whether the operator may read an object. A restricted operator
// may read its own customers and the templates that they use.
func (s *Server) canRead(op *Operator, kind, name string) bool {
	if op.unrestricted() {
		return true
	}
	if kind == platform.KindCustomer {
		return op.canAccessCustomer(topology.CustomerID(name))
	}
	for _, id := range op.Customers {
		if c, ok := s.opts.Store.Customer(id); ok && c.Template == name {
			return true
		}
	}
	return false
}

func (s *Server) list(op *Operator, r *http.Request) (any, error) {
	kind, err := kindFromPath(r)
	if err != nil {
		return nil, err
	}
	list := &Objects{Objects: []*Object{}}
	for _, o := range s.opts.Store.Objects(kind) {
		if s.canRead(op, kind, o.Name) {
			_, inForce, _ := s.opts.Store.Object(kind, o.Name)
			list.Objects = append(list.Objects, newObject(o, inForce))
		}
	}
	return list, nil
}

func (s *Server) get(op *Operator, r *http.Request) (any, error) {
	kind, name, err := objectFromPath(r)
	if err != nil {
		return nil, err
	}
	if !s.canRead(op, kind, name) {
		return nil, newForbiddenError("operator %s is not allowed to read %s %s", op.Name, kind, name)
	}
	o, inForce, ok := s.opts.Store.Object(kind, name)
	if !ok {
		return nil, result.New(result.NotFound, "%s %s is not known to this host", kind, name)
	}
	return newObject(o, inForce), nil
}

// expectedVersion returns the version that an edit expects the object to have.
func expectedVersion(r *http.Request) (uint64, error) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return 0, result.New(result.BadConfiguration, "version: must be the version to replace or delete, or 0 to create an object")
	}
	return version, nil
}

func readBody(r *http.Request) (json.RawMessage, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, platform.MaxValueBytes/2))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.MessageTooLarge, "object exceeds the limit of %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, result.New(result.BadConfiguration, "read request body: %s", err.Error())
	}
	return body, nil
}
