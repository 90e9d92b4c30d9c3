package adminclient

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/result"
)

// newNoResponseError returns the failure for a request without a valid response.
// If the connection failed, nothing was sent and nothing changed. Otherwise an
// edit may have taken effect, so that its outcome is unknown.
func newNoResponseError(method string, err error) error {
	code := result.UnknownOutcome
	if method == http.MethodGet || isDialError(err) {
		code = result.HostUnreachable
	}
	return &admin.Failure{Code: code, Group: code.Group(), Message: err.Error()}
}

func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
