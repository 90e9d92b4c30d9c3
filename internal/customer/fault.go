package customer

import (
	"fmt"
	"strings"
)

// Fault describes one invalid field of a template, customer or group.
type Fault struct {
	Field   string `json:"field"`   // path, such as parameters.rate
	Value   string `json:"value"`   // the rejected value, truncated; never a secret
	Allowed string `json:"allowed"` // description of the accepted values
}

// String formats the fault on one line.
func (f Fault) String() string { return fmt.Sprintf("%s = %s: want %s", f.Field, f.Value, f.Allowed) }

// Faults lists the invalid fields of one object. A non-empty list is an error.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "; ")
}

// maxShownValueBytes is the length to which a fault truncates the rejected
// value.
const maxShownValueBytes = 60

// add appends a fault and truncates its value.
func (f *Faults) add(field, value, allowed string) {
	if len(value) > maxShownValueBytes {
		value = value[:maxShownValueBytes] + "..."
	}
	*f = append(*f, Fault{Field: field, Value: value, Allowed: allowed})
}

// err returns the faults as an error, or nil if there are none.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
