package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// key describes one setting: where it stands, what it may hold, where it goes.
type key struct {
	section      string
	name         string
	defaultValue string // default as written in a file
	required     bool   // a file without it is refused
	allowed      string // for people
	meaning      string
	set          func(s *Settings, value string) error
}

func textSetter(dst func(*Settings) *string, check func(string) error) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		if err := check(value); err != nil {
			return err
		}
		*dst(s) = value
		return nil
	}
}

func acceptAnyText(string) error { return nil }

func checkName(value string) error {
	if value == "" || strings.ContainsAny(value, " \t/.,") {
		return fmt.Errorf("a name has no blank, slash, dot or comma and isn't empty")
	}
	return nil
}

func checkAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("want IP:PORT")
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is no IP number", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q is no port", port)
	}
	return nil
}

func checkOptionalAddress(value string) error {
	if value == "" {
		return nil
	}
	return checkAddress(value)
}

func checkMinBytes(minBytes int) func(string) error {
	return func(value string) error {
		if len(value) < minBytes {
			return fmt.Errorf("has %d bytes", len(value))
		}
		return nil
	}
}

func durationSetter(dst func(*Settings) *time.Duration, low, high time.Duration) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("no duration")
		}
		if d < low || d > high {
			return fmt.Errorf("out of range")
		}
		*dst(s) = d
		return nil
	}
}

func intSetter(dst func(*Settings) *int, low, high int) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		n, err := strconv.Atoi(value)
		if err != nil {
			return fmt.Errorf("no whole number")
		}
		if n < low || n > high {
			return fmt.Errorf("out of range")
		}
		*dst(s) = n
		return nil
	}
}

func floatSetter(dst func(*Settings) *float64, low, high float64) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		f, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("no number")
		}
		if !(f >= low && f <= high) {
			return fmt.Errorf("out of range")
		}
		*dst(s) = f
		return nil
	}
}

func boolSetter(dst func(*Settings) *bool) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		switch value {
		case "true":
			*dst(s) = true
		case "false":
			*dst(s) = false
		default:
			return fmt.Errorf("neither true nor false")
		}
		return nil
	}
}

func addressListSetter(dst func(*Settings) *[]string) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		var list []string
		for _, field := range strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' }) {
			if err := checkAddress(field); err != nil {
				return fmt.Errorf("%q: %w", field, err)
			}
			list = append(list, field)
		}
		*dst(s) = list
		return nil
	}
}

// secret tells whether the setting's value must not be shown.
func (k key) isSecret() bool {
	return strings.HasSuffix(k.name, "key") || k.name == "password"
}

// shown returns a value as faults show it.
func (k key) redacted(value string) string {
	if k.isSecret() {
		return "(hidden)"
	}
	return value
}
