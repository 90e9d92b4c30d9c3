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

// Object is a template or customer as operators see it.
type Object struct {
	Kind    string          `json:"kind"`
	Name    string          `json:"name"`
	Version uint64          `json:"version"`
	InForce uint64          `json:"in_force"` // version in force at the answering host, 0: none
	Value   json.RawMessage `json:"value"`
}

// Objects lists objects by name.
type Objects struct {
	Objects []*Object `json:"objects"`
}

// Edited answers an edit that took effect.
type Edited struct {
	Version    uint64 `json:"version"`
	Superseded bool   `json:"superseded,omitempty"` // a later edit already came on top
}

// kinds maps the plural in a path to the kind of object.
var kinds = map[string]string{
	"templates": platform.KindTemplate,
	"customers": platform.KindCustomer,
}

func objectOf(o platform.Object, inForce uint64) *Object {
	body, _, err := platform.SplitEdits(o.Value)
	if err != nil {
		body = o.Value
	}
	return &Object{Kind: o.Kind, Name: o.Name, Version: o.Version, InForce: inForce, Value: body}
}

// kindOf returns the kind that the path names.
func kindOf(r *http.Request) (string, error) {
	kind, ok := kinds[r.PathValue("kind")]
	if !ok {
		return "", result.New(result.NotFound, "no such collection; there are templates and customers")
	}
	return kind, nil
}

// target returns the kind and name in the path, checked.
func target(r *http.Request) (kind, name string, err error) {
	if kind, err = kindOf(r); err != nil {
		return "", "", err
	}
	name = r.PathValue("name")
	return kind, name, customer.CheckName("name", name)
}

// maySee tells whether the operator may read an object: its own customers and
// the templates that they use.
func (s *Server) maySee(op *Operator, kind, name string) bool {
	if op.all() {
		return true
	}
	if kind == platform.KindCustomer {
		return op.mayUse(topology.CustomerID(name))
	}
	for _, id := range op.Customers {
		if c, ok := s.opts.Store.Customer(id); ok && c.Template == name {
			return true
		}
	}
	return false
}

func (s *Server) list(op *Operator, r *http.Request) (any, error) {
	kind, err := kindOf(r)
	if err != nil {
		return nil, err
	}
	list := &Objects{Objects: []*Object{}}
	for _, o := range s.opts.Store.Objects(kind) {
		if s.maySee(op, kind, o.Name) {
			_, inForce, _ := s.opts.Store.Object(kind, o.Name)
			list.Objects = append(list.Objects, objectOf(o, inForce))
		}
	}
	return list, nil
}

func (s *Server) get(op *Operator, r *http.Request) (any, error) {
	kind, name, err := target(r)
	if err != nil {
		return nil, err
	}
	if !s.maySee(op, kind, name) {
		return nil, forbidden("operator %s may not see %s %s", op.Name, kind, name)
	}
	o, inForce, ok := s.opts.Store.Object(kind, name)
	if !ok {
		return nil, result.New(result.NotFound, "no %s %s is known at this host", kind, name)
	}
	return objectOf(o, inForce), nil
}

// versionOf returns the version on which an edit is conditional.
func versionOf(r *http.Request) (uint64, error) {
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return 0, result.New(result.BadConfiguration, "version: want the version that is replaced, 0 to create")
	}
	return version, nil
}

func readBody(r *http.Request) (json.RawMessage, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, platform.MaxValueBytes/2))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.MessageTooLarge, "an object has at most %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, result.New(result.BadConfiguration, "the body can't be read: %s", err.Error())
	}
	return body, nil
}
