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

// put creates an object, or replaces it if it has the expected version.
func (s *Server) put(op *Operator, r *http.Request) (any, error) {
	kind, name, version, err := s.authorizeEdit(op, r)
	if err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	if err := s.validate(kind, body); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	edited, err := s.opts.Platform.Edit(ctx, kind, name, version, body)
	if err != nil {
		return nil, err
	}
	return s.applyLocally(edited), nil
}

// delete marks an object as deleted if it has the expected version.
func (s *Server) delete(op *Operator, r *http.Request) (any, error) {
	kind, name, version, err := s.authorizeEdit(op, r)
	if err != nil {
		return nil, err
	}
	if version == 0 {
		return nil, result.New(result.BadConfiguration, "version: must be the version to delete")
	}
	if users := s.templateUsers(kind, name); len(users) > 0 {
		return nil, result.New(result.BadConfiguration, "the template is used by %s", strings.Join(users, ", "))
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	edited, err := s.opts.Platform.Remove(ctx, kind, name, version)
	if err != nil {
		return nil, err
	}
	return s.applyLocally(edited), nil
}

// applyLocally applies an edit at this host without waiting for it to arrive
// from the platform.
func (s *Server) applyLocally(edited platform.EditResult) EditResult {
	s.opts.Store.MergeObject(edited.Object)
	return EditResult{Version: edited.Object.Version, Superseded: edited.Superseded}
}

// authorizeEdit returns the object and expected version of an edit, or an error
// if the operator isn't allowed to make it. A template affects all customers
// that use it, so that only unrestricted operators may edit templates.
func (s *Server) authorizeEdit(op *Operator, r *http.Request) (kind, name string, version uint64, err error) {
	if kind, name, err = objectFromPath(r); err != nil {
		return "", "", 0, err
	}
	if !op.unrestricted() && (kind != platform.KindCustomer || !op.canAccessCustomer(topology.CustomerID(name))) {
		return "", "", 0, newForbiddenError("operator %s is not allowed to edit %s %s", op.Name, kind, name)
	}
	version, err = expectedVersion(r)
	return kind, name, version, err
}

// validate parses an object with the same code as every host and checks that the
// template and groups it refers to exist.
func (s *Server) validate(kind string, body json.RawMessage) error {
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
		faults = append(faults, customer.Fault{Field: "template", Value: spec.Template, Allowed: "an existing template"})
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

// templateUsers returns up to maxShown customers that use a template.
func (s *Server) templateUsers(kind, name string) []string {
	const maxShown = 5
	var users []string
	if kind != platform.KindTemplate {
		return nil
	}
	for _, o := range s.opts.Store.Objects(platform.KindCustomer) {
		body, _, err := platform.SplitEdits(o.Value)
		if err != nil {
			continue
		}
		if spec, err := customer.ParseSpec(body); err == nil && spec.Template == name && len(users) < maxShown {
			users = append(users, o.Name)
		}
	}
	return users
}
