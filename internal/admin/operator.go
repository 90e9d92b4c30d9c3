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

// Operator is the owner of one bearer token.
type Operator struct {
	Name      string
	Token     string
	Customers []topology.CustomerID // empty: all, and templates and hosts too
}

// all tells whether the operator isn't limited to some customers.
func (o *Operator) all() bool { return len(o.Customers) == 0 }

// mayUse tells whether the operator sees and edits the customer.
func (o *Operator) mayUse(id topology.CustomerID) bool {
	return o.all() || slices.Contains(o.Customers, id)
}

// authenticate returns the operator whose token the request bears.
func authenticate(operators []Operator, r *http.Request) (*Operator, error) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || token == "" {
		return nil, result.New(result.BadPassword, "a bearer token is needed")
	}
	given := sha256.Sum256([]byte(token))
	var match *Operator
	for i := range operators { // all of them, so that the time tells nothing
		known := sha256.Sum256([]byte(operators[i].Token))
		if operators[i].Token != "" && subtle.ConstantTimeCompare(given[:], known[:]) == 1 {
			match = &operators[i]
		}
	}
	if match == nil {
		return nil, result.New(result.BadPassword, "no operator has this token")
	}
	return match, nil
}

// handler answers one request of an operator.
type handler func(op *Operator, r *http.Request) (answer any, err error)

// route adds an answer in JSON that needs a token.
func (s *Server) route(mux *http.ServeMux, pattern string, h handler) {
	mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		op, err := authenticate(s.opts.Operators, r)
		if err != nil {
			s.fail(w, r, "", err)
			return
		}
		answer, err := h(op, r)
		if err != nil {
			s.fail(w, r, op.Name, err)
			return
		}
		if r.Method != http.MethodGet {
			s.opts.Log.Info("operator's edit", "operator", op.Name, "method", r.Method, "path", r.URL.Path)
		}
		write(w, http.StatusOK, answer)
	})
}

func forbidden(format string, args ...any) error {
	return result.New(result.Forbidden, format, args...)
}
