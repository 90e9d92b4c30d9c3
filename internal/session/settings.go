package session

import (
	"strconv"
	"strings"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
)

// Names of the settings that the session keeps.
const (
	setStaleness  = "nettlewalk.max_staleness"
	setSession    = "nettlewalk.session"
	setToken      = "nettlewalk.token"
	setDeadline   = "nettlewalk.deadline"
	setIdempotent = "nettlewalk.idempotent"
	setReadOnly   = "default_transaction_read_only"
	setTxReadOnly = "transaction_read_only"
	setTimeout    = "statement_timeout"
	setServedBy   = "nettlewalk.served_by" // shown only

	settingPrefix = "nettlewalk."
)

const (
	maxSessionName = 128       // bytes of a session's identity
	maxDeadline    = time.Hour // of one batch
	maxTextSetting = 256       // bytes of a driver's setting
)

// settings are what a caller can set for its session.
type settings struct {
	maxStaleness *time.Duration // nil: as the customer's template says
	session      string
	token        string        // last token given by or to the caller
	deadline     time.Duration // of a batch, 0: the host's default
	idempotent   bool
	readOnly     bool
	servedBy     string            // target of the last batch, and its role
	driver       map[string]string // what drivers set for themselves, by lower-case name
}

// driverSettings are sent by drivers at start-up. Targets have one fixed value
// each; another value is refused.
var driverSettings = map[string]func(value string) bool{
	"application_name":            func(v string) bool { return len(v) <= maxTextSetting },
	"client_encoding":             isUTF8,
	"extra_float_digits":          func(v string) bool { return v == "1" || v == "2" || v == "3" },
	"datestyle":                   func(v string) bool { return strings.HasPrefix(strings.ToUpper(v), "ISO") },
	"intervalstyle":               func(v string) bool { return strings.EqualFold(v, "postgres") },
	"timezone":                    isUTC,
	"standard_conforming_strings": func(v string) bool { return strings.EqualFold(v, "on") },
	"client_min_messages":         func(v string) bool { return len(v) <= maxTextSetting },
	"bytea_output":                func(v string) bool { return strings.EqualFold(v, "hex") },
}

func isUTF8(value string) bool {
	switch strings.ToUpper(strings.Trim(value, "'")) {
	case "UTF8", "UTF-8", "UNICODE":
		return true
	}
	return false
}

func isUTC(value string) bool {
	switch strings.ToUpper(value) {
	case "UTC", "GMT", "ETC/UTC", "Z", "0":
		return true
	}
	return false
}

// keptBySession tells whether SHOW of the name is answered by the session.
func keptBySession(name string) bool {
	if strings.HasPrefix(name, settingPrefix) || name == setReadOnly || name == setTxReadOnly || name == setTimeout {
		return true
	}
	_, ok := driverSettings[name]
	return ok
}

// set changes one setting. The name is in lower case. It returns BadSetting for
// a bad value or an unknown nettlewalk.* name, UnsupportedFeature for a setting
// that would reach other callers over a shared connection. The token is only
// stored; the caller checks it.
func (s *settings) set(name, value string) error {
	switch name {
	case setStaleness:
		return s.setStaleness(value)
	case setSession:
		return s.setSession(value)
	case setToken:
		s.token = value
		return nil
	case setDeadline, setTimeout:
		return s.setDeadline(name, value)
	case setIdempotent:
		return setBool(&s.idempotent, name, value)
	case setReadOnly:
		return setBool(&s.readOnly, name, value)
	}
	if accepts, ok := driverSettings[name]; ok {
		return s.setDriver(name, value, accepts)
	}
	if strings.HasPrefix(name, settingPrefix) {
		return result.New(result.BadSetting, "no setting %q", name)
	}
	return result.New(result.UnsupportedFeature,
		"SET %s would reach other sessions on a shared connection; use SET LOCAL in a transaction", name)
}

// reset returns one setting to its default.
func (s *settings) reset(name string) error {
	switch name {
	case setStaleness:
		s.maxStaleness = nil
	case setSession:
		s.session = ""
	case setToken:
		return result.New(result.BadSetting, "%s can't be reset: a floor never falls", name)
	case setDeadline, setTimeout:
		s.deadline = 0
	case setIdempotent:
		s.idempotent = false
	case setReadOnly:
		s.readOnly = false
	default:
		return s.resetDriver(name)
	}
	return nil
}

func (s *settings) resetDriver(name string) error {
	if _, ok := driverSettings[name]; ok {
		delete(s.driver, name)
		return nil
	}
	if name == "all" || !strings.HasPrefix(name, settingPrefix) {
		return result.New(result.UnsupportedFeature, "RESET %s would reach other sessions on a shared connection", name)
	}
	return result.New(result.BadSetting, "no setting %q", name)
}

func (s *settings) setStaleness(value string) error {
	d, err := parseSpan(value)
	if err != nil || d < 0 {
		return result.New(result.BadSetting, "%s %q: want milliseconds or a duration such as 2s", setStaleness, clip(value))
	}
	s.maxStaleness = &d
	return nil
}

func (s *settings) setSession(value string) error {
	if len(value) > maxSessionName || strings.ContainsFunc(value, isControl) {
		return result.New(result.BadSetting, "%s: want at most %d bytes without control characters", setSession, maxSessionName)
	}
	s.session = value
	return nil
}

func (s *settings) setDeadline(name, value string) error {
	d, err := parseSpan(value)
	if err != nil || d < 0 || d > maxDeadline {
		return result.New(result.BadSetting, "%s %q: want milliseconds or a duration, 0 to %v", name, clip(value), maxDeadline)
	}
	s.deadline = d
	return nil
}

func (s *settings) setDriver(name, value string, accepts func(string) bool) error {
	if !accepts(value) {
		return result.New(result.UnsupportedFeature, "%s = %q isn't offered", name, clip(value))
	}
	if s.driver == nil {
		s.driver = map[string]string{}
	}
	s.driver[name] = value
	return nil
}

// show returns the text of a setting that the session keeps.
func (s *settings) show(name string) (string, error) {
	switch name {
	case setStaleness:
		if s.maxStaleness == nil {
			return "default", nil
		}
		return s.maxStaleness.String(), nil
	case setSession:
		return s.session, nil
	case setToken:
		return s.token, nil
	case setServedBy:
		return s.servedBy, nil
	case setDeadline, setTimeout:
		return s.deadline.String(), nil
	case setIdempotent:
		return onOff(s.idempotent), nil
	case setReadOnly:
		return onOff(s.readOnly), nil
	}
	if _, ok := driverSettings[name]; ok {
		return s.showDriver(name), nil
	}
	return "", result.New(result.BadSetting, "no setting %q", name)
}

func (s *settings) showDriver(name string) string {
	if value, ok := s.driver[name]; ok {
		return value
	}
	return driverDefaults[name]
}

// driverDefaults are the values in force at every target.
var driverDefaults = map[string]string{
	"client_encoding":             "UTF8",
	"extra_float_digits":          "1",
	"datestyle":                   "ISO, MDY",
	"intervalstyle":               "postgres",
	"timezone":                    "UTC",
	"standard_conforming_strings": "on",
	"client_min_messages":         "notice",
	"bytea_output":                "hex",
}

// parseSpan reads milliseconds or a Go duration.
func parseSpan(value string) (time.Duration, error) {
	if ms, err := strconv.ParseInt(value, 10, 32); err == nil {
		return time.Duration(ms) * time.Millisecond, nil
	}
	return time.ParseDuration(value)
}

func setBool(to *bool, name, value string) error {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1", "t", "y":
		*to = true
	case "off", "false", "no", "0", "f", "n":
		*to = false
	default:
		return result.New(result.BadSetting, "%s %q: want on or off", name, clip(value))
	}
	return nil
}

func onOff(b bool) string {
	if b {
		return "on"
	}
	return "off"
}

func isControl(r rune) bool { return r < 0x20 || r == 0x7f }

// clip bounds what an error repeats of a caller's text.
func clip(text string) string {
	const most = 64 // bytes
	if len(text) > most {
		return text[:most] + "..."
	}
	return text
}
