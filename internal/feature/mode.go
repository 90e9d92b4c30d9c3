// Package feature has the mode of features that most deployments don't need: on, off, or
// enabled by what the configuration contains.
package feature

import "github.com/cockroachdb/errors"

// Mode tells where a feature is enabled. The zero value is Off.
type Mode string

// The modes.
const (
	Auto Mode = "auto" // where the configuration has customers
	On   Mode = "on"
	Off  Mode = "off"
)

// ParseMode returns the mode with the name, or an error for an unknown name.
func ParseMode(name string) (Mode, error) {
	switch m := Mode(name); m {
	case Auto, On, Off:
		return m, nil
	}
	return Off, errors.Newf("%q is not one of on, off and auto", name)
}

// Enabled reports whether the feature is enabled.
func (m Mode) Enabled(hasCustomers bool) bool { return m == On || m == Auto && hasCustomers }
