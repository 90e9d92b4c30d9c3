package customer

import (
	"fmt"
	"strings"
)

// Fault is one bad field of a template, customer or group.
type Fault struct {
	Field   string `json:"field"` // path, such as parameters.rate
	Value   string `json:"value"` // as given, shortened; never a secret
	Allowed string `json:"allowed"`
}

// String returns the fault as one line.
func (f Fault) String() string { return fmt.Sprintf("%s = %s: want %s", f.Field, f.Value, f.Allowed) }

// Faults lists every bad field of one object. It is an error when not empty.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "; ")
}

// maxShownValue is how many bytes of a bad value a fault repeats.
const maxShownValue = 60

func (f *Faults) add(field, value, allowed string) {
	if len(value) > maxShownValue {
		value = value[:maxShownValue] + "..."
	}
	*f = append(*f, Fault{Field: field, Value: value, Allowed: allowed})
}

// err returns nil without faults.
func (f Faults) err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
