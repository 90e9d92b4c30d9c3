package admin

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
)

// Failure is the body of every unsuccessful response.
type Failure struct {
	Code       result.Code      `json:"code"`
	Group      result.Group     `json:"group"` // what the caller may conclude about the outcome
	Message    string           `json:"message"`
	Faults     []customer.Fault `json:"faults,omitempty"`      // one per invalid field
	Current    *Object          `json:"current,omitempty"`     // current object, after a version conflict
	RetryAfter float64          `json:"retry_after,omitempty"` // seconds
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("nettlewalk %d (%s): %s", f.Code, f.Group, f.Message)
}

// writeFailure logs err and writes it as a Failure.
func (s *Server) writeFailure(w http.ResponseWriter, r *http.Request, operator string, err error) {
	f := newFailure(err)
	s.opts.Log.V(1).Info("operator request refused", "operator", operator, "path", r.URL.Path, "code", f.Code, "message", f.Message)
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(math.Ceil(f.RetryAfter)))
	}
	writeJSON(w, httpStatus(f.Code), f)
}

func newFailure(err error) *Failure {
	var conflict *platform.ErrConflict
	if errors.As(err, &conflict) {
		f := newFailure(result.New(result.VersionConflict, "%s", conflict.Error()))
		if conflict.Current != nil && !platform.IsDeleted(conflict.Current.Value) {
			f.Current = newObject(*conflict.Current, 0)
		}
		return f
	}
	var faults customer.Faults
	if errors.As(err, &faults) {
		f := newFailure(result.New(result.BadConfiguration, "%s", faults.Error()))
		f.Faults = faults
		return f
	}
	resultErr := result.As(err, result.BadConfiguration)
	return &Failure{Code: resultErr.Code, Group: resultErr.Code.Group(), Message: resultErr.Detail, RetryAfter: resultErr.RetryAfter.Seconds()}
}

// httpStatus returns the HTTP status for a result code.
func httpStatus(code result.Code) int {
	switch code {
	case result.BadPassword:
		return http.StatusUnauthorized
	case result.Forbidden:
		return http.StatusForbidden
	case result.NotFound:
		return http.StatusNotFound
	case result.VersionConflict:
		return http.StatusConflict
	case result.MessageTooLarge:
		return http.StatusRequestEntityTooLarge
	case result.LimitReached:
		return http.StatusTooManyRequests
	}
	switch code.Group() {
	case result.GroupUnknown:
		return http.StatusGatewayTimeout
	case result.GroupNotRun:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(`{"message":"response could not be encoded as JSON"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n'))
}

const requestTimeout = 10 * time.Second // limit for an edit, including retries at the platform
