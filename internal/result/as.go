package result

import "github.com/cockroachdb/errors"

// As returns err as an Error. An error of another kind becomes fallback with
// its text as detail; nil stays nil.
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
