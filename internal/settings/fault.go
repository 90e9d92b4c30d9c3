package settings

import (
	"fmt"
	"strings"
)

// Fault is one bad line of a settings file.
type Fault struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"` // hidden for secrets
	Allowed string `json:"allowed"`
	Reason  string `json:"reason"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s = %q: %s; allowed: %s", f.Section, f.Key, f.Value, f.Reason, f.Allowed)
}

// Faults is every bad line of a file.
type Faults struct{ List []Fault }

// Error implements error, one fault a line.
func (f *Faults) Error() string {
	lines := make([]string, len(f.List))
	for i, fault := range f.List {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
