package settings

import (
	"fmt"
	"strings"
)

// Fault describes one invalid or missing setting of a settings file.
type Fault struct {
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"` // "(hidden)" for secrets
	Allowed string `json:"allowed"`
	Reason  string `json:"reason"`
}

// String formats the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("[%s] %s = %q: %s; allowed: %s", f.Section, f.Key, f.Value, f.Reason, f.Allowed)
}

// Faults is the error that lists all faults of a settings file.
type Faults struct{ List []Fault }

// Error implements error. The text has one line for each fault.
func (f *Faults) Error() string {
	lines := make([]string, len(f.List))
	for i, fault := range f.List {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}
