package retryafter

import "github.com/cockroachdb/errors"

// Mode tells whether refusals state times.
type Mode string

// The modes.
const (
	Auto Mode = "auto" // where the configuration has customers
	On   Mode = "on"
	Off  Mode = "off"
)

// ParseMode returns the mode with the name.
func ParseMode(name string) (Mode, error) {
	switch m := Mode(name); m {
	case Auto, On, Off:
		return m, nil
	}
	return Off, errors.Newf("%q is not one of auto, on and off", name)
}

// Enabled reports whether refusals state times.
func (m Mode) Enabled(hasCustomers bool) bool { return m == On || m == Auto && hasCustomers }
