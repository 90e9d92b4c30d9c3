package adminclient

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/result"
)

// unanswered tells what may be concluded from a request without an answer. A
// connection that wasn't made carried nothing; after that an edit may have
// taken effect.
func unanswered(method string, err error) error {
	code := result.UnknownOutcome
	if method == http.MethodGet || notConnected(err) {
		code = result.HostUnreachable
	}
	return &admin.Failure{Code: code, Group: code.Group(), Message: err.Error()}
}

func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
