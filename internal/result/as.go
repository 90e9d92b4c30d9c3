package result

import "github.com/cockroachdb/errors"

// As returns the Error that err is or wraps. For any other error it returns an
// Error with the code fallback and err's text as detail, and for nil it returns nil.
func As(err error, fallback Code) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(fallback, "%s", err.Error())
}
