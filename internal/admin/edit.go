package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// put creates or replaces an object on condition of its version.
func (s *Server) put(op *Operator, r *http.Request) (any, error) {
	kind, name, version, err := s.editable(op, r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	if err := s.check(kind, body); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	edited, err := s.opts.Client.Edit(ctx, kind, name, version, body)
	if err != nil {
		return nil, err
	}
	return s.learn(edited), nil
}

// delete marks an object as deleted on condition of its version.
func (s *Server) delete(op *Operator, r *http.Request) (any, error) {
	kind, name, version, err := s.editable(op, r)
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return nil, result.New(result.BadConfiguration, "version: want the version that is deleted")
	}
	if users := s.usersOf(kind, name); len(users) > 0 {
		return nil, result.New(result.BadConfiguration, "the template is used by %s", strings.Join(users, ", "))
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	edited, err := s.opts.Client.Remove(ctx, kind, name, version)
	if err != nil {
		return nil, err
	}
	return s.learn(edited), nil
}

// learn puts an edit in force at this host at once.
func (s *Server) learn(edited platform.Edited) Edited {
	s.opts.Store.Learn(edited.Object)
	return Edited{Version: edited.Object.Version, Superseded: edited.Superseded}
}

// editable returns what an edit is about, if the operator may make it. A
// template reaches all its customers, so that editing one needs all of them.
func (s *Server) editable(op *Operator, r *http.Request) (kind, name string, version uint64, err error) {
	if kind, name, err = target(r); err != nil {
		return "", "", 0, err
	}
	if !op.all() && (kind != platform.KindCustomer || !op.mayUse(topology.CustomerID(name))) {
		return "", "", 0, forbidden("operator %s may not edit %s %s", op.Name, kind, name)
	}
	version, err = versionOf(r)
	return kind, name, version, err
}

// check reads an object as every host will, and looks whether what it names exists.
func (s *Server) check(kind string, body json.RawMessage) error {
	if kind == platform.KindTemplate {
		_, err := customer.ParseTemplate(body)
		return err
	}
	spec, err := customer.ParseSpec(body)
	if err != nil {
		return err
	}
	return s.checkReferences(spec)
}

func (s *Server) checkReferences(spec *customer.Spec) error {
	var faults customer.Faults
	if _, _, ok := s.opts.Store.Object(platform.KindTemplate, spec.Template); !ok {
		faults = append(faults, customer.Fault{Field: "template", Value: spec.Template, Allowed: "a template that exists"})
	}
	for database, group := range spec.Databases {
		if _, ok := s.opts.Store.Group(group); !ok {
			field := "databases." + database
			faults = append(faults, customer.Fault{Field: field, Value: string(group), Allowed: "a group that the platform lists"})
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// usersOf returns some of the customers that use a template.
func (s *Server) usersOf(kind, name string) []string {
	const shown = 5
	var users []string
	if kind != platform.KindTemplate {
		return nil
	}
	for _, o := range s.opts.Store.Objects(platform.KindCustomer) {
		body, _, err := platform.SplitEdits(o.Value)
		if err != nil {
			continue
		}
		if spec, err := customer.ParseSpec(body); err == nil && spec.Template == name && len(users) < shown {
			users = append(users, o.Name)
		}
	}
	return users
}
