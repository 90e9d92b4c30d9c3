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

// Failure is the body of every answer that is no success.
type Failure struct {
	Code       result.Code      `json:"code"`
	Group      result.Group     `json:"group"` // what may be concluded
	Message    string           `json:"message"`
	Faults     []customer.Fault `json:"faults,omitempty"`      // one for each bad field
	Current    *Object          `json:"current,omitempty"`     // after a conflict
	RetryAfter float64          `json:"retry_after,omitempty"` // seconds
}

// Error implements error.
func (f *Failure) Error() string {
	return fmt.Sprintf("nettlewalk %d (%s): %s", f.Code, f.Group, f.Message)
}

// fail answers with an error's code.
func (s *Server) fail(w http.ResponseWriter, r *http.Request, operator string, err error) {
	f := failureOf(err)
	s.opts.Log.V(1).Info("operator's request refused", "operator", operator, "path", r.URL.Path, "code", f.Code, "message", f.Message)
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(math.Ceil(f.RetryAfter)))
	}
	write(w, statusOf(f.Code), f)
}

func failureOf(err error) *Failure {
	var conflict *platform.ErrConflict
	if errors.As(err, &conflict) {
		f := failureOf(result.New(result.VersionConflict, "%s", conflict.Error()))
		if conflict.Current != nil && !platform.IsDeleted(conflict.Current.Value) {
			f.Current = objectOf(*conflict.Current, 0)
		}
		return f
	}
	var faults customer.Faults
	if errors.As(err, &faults) {
		f := failureOf(result.New(result.BadConfiguration, "%s", faults.Error()))
		f.Faults = faults
		return f
	}
	e := result.As(err, result.BadConfiguration)
	return &Failure{Code: e.Code, Group: e.Code.Group(), Message: e.Detail, RetryAfter: e.RetryAfter.Seconds()}
}

// statusOf gives a result code its HTTP status.
func statusOf(code result.Code) int {
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

func write(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		status, raw = http.StatusInternalServerError, []byte(`{"message":"the answer has no JSON form"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n'))
}

const requestTimeout = 10 * time.Second // of an edit, retries at the platform included
