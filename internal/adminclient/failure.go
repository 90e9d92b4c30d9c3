package adminclient

import (
	"fmt"
	"io"
	"time"

	"nettlewalk.example/nettlewalk/internal/admin"
)

// PrintFailure writes why the API refused a request, with one line per invalid
// field, and after a version conflict the current object.
func PrintFailure(w io.Writer, f *admin.Failure) error {
	if len(f.Faults) == 0 {
		fmt.Fprintln(w, f.Error())
	} else {
		fmt.Fprintf(w, "nettlewalk %d (%s): invalid fields:\n", f.Code, f.Group)
	}
	for _, fault := range f.Faults {
		fmt.Fprintf(w, "  %s\n", fault)
	}
	if f.RetryAfter > 0 {
		fmt.Fprintf(w, "retry after %s\n", time.Duration(f.RetryAfter*float64(time.Second)))
	}
	if f.Current == nil {
		return nil
	}
	fmt.Fprintf(w, "current version %d:\n", f.Current.Version)
	return PrintJSON(w, f.Current.Value)
}
