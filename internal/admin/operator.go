package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"slices"
	"strings"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Operator is a user of the API, identified by a bearer token.
type Operator struct {
	Name      string
	Token     string
	Customers []topology.CustomerID // customers the operator is restricted to; empty: access to everything
}

// unrestricted reports whether the operator has access to all customers, to
// templates and to hosts.
func (o *Operator) unrestricted() bool { return len(o.Customers) == 0 }

// canAccessCustomer reports whether the operator may read and edit the customer.
func (o *Operator) canAccessCustomer(id topology.CustomerID) bool {
	return o.unrestricted() || slices.Contains(o.Customers, id)
}

// authenticate returns the operator whose bearer token the request carries.
func authenticate(operators []Operator, r *http.Request) (*Operator, error) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || token == "" {
		return nil, result.New(result.BadPassword, "bearer token required")
	}
	givenHash := sha256.Sum256([]byte(token))
	var authenticated *Operator
	for i := range operators { // no early exit, so that the response time doesn't reveal a match
		knownHash := sha256.Sum256([]byte(operators[i].Token))
		if operators[i].Token != "" && subtle.ConstantTimeCompare(givenHash[:], knownHash[:]) == 1 {
			authenticated = &operators[i]
		}
	}
	if authenticated == nil {
		return nil, result.New(result.BadPassword, "invalid bearer token")
	}
	return authenticated, nil
}

// handler handles an authenticated request of an operator.
type handler func(op *Operator, r *http.Request) (answer any, err error)

// handleAuthenticated registers a handler that requires a valid token and
// answers in JSON.
func (s *Server) handleAuthenticated(mux *http.ServeMux, pattern string, h handler) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		op, err := authenticate(s.opts.Operators, r)
		if err != nil {
			s.writeFailure(w, r, "", err)
			return
		}
		answer, err := h(op, r)
		if err != nil {
			s.writeFailure(w, r, op.Name, err)
			return
		}
		if r.Method != http.MethodGet {
			s.opts.Log.Info("operator edit applied", "operator", op.Name, "method", r.Method, "path", r.URL.Path)
		}
		writeJSON(w, http.StatusOK, answer)
	})
}

func newForbiddenError(format string, args ...any) error {
	return result.New(result.Forbidden, format, args...)
}
