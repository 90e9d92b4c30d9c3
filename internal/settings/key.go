package settings

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"
)

// key describes one setting: its place in the file, its default and allowed values,
// and the function that stores its value.
type key struct {
	section      string
	name         string
	defaultValue string // default value as it would stand in the file
	required     bool   // a file without this key is rejected
	allowed      string // description of the allowed values, for the documentation and faults
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
		return fmt.Errorf("a name must not be empty or contain blanks, slashes, dots or commas")
	}
	return nil
}

func checkAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("want IP:PORT")
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an IP address", host)
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q is not a port number", port)
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
			return fmt.Errorf("too short: %d bytes", len(value))
		}
		return nil
	}
}

func durationSetter(dst func(*Settings) *time.Duration, low, high time.Duration) func(*Settings, string) error {
	return func(s *Settings, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("not a duration")
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
			return fmt.Errorf("not an integer")
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
			return fmt.Errorf("not a number")
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

// isSecret reports whether the setting's value must not be shown.
func (k key) isSecret() bool {
	return strings.HasSuffix(k.name, "key") || k.name == "password"
}

// redacted returns the value as faults show it, with secrets hidden.
func (k key) redacted(value string) string {
	if k.isSecret() {
		return "(hidden)"
	}
	return value
}
