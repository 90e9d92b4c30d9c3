package session

import (
	"strconv"
	"strings"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
)

// Names of the settings that the session itself keeps.
const (
	settingMaxStaleness      = "nettlewalk.max_staleness"
	settingSession           = "nettlewalk.session"
	settingToken             = "nettlewalk.token"
	settingDeadline          = "nettlewalk.deadline"
	settingIdempotent        = "nettlewalk.idempotent"
	settingDefaultTxReadOnly = "default_transaction_read_only"
	settingTxReadOnly        = "transaction_read_only"
	settingStatementTimeout  = "statement_timeout"
	settingServedBy          = "nettlewalk.served_by" // read-only, for SHOW

	settingPrefix = "nettlewalk."
)

const (
	maxSessionNameBytes   = 128       // bytes of nettlewalk.session
	maxBatchDeadline      = time.Hour // limit for the deadline of a batch
	maxDriverSettingBytes = 256       // bytes of a driver setting with free text
)

// settings holds the settings that a client can change for its session.
type settings struct {
	maxStaleness *time.Duration // nil: the limit from the customer's template
	session      string         // name of the session, empty if none
	token        string         // last token received from or sent to the client
	deadline     time.Duration  // of a batch; 0: the host's default
	idempotent   bool
	readOnly     bool
	servedBy     string            // target of the last batch, with its role
	driverValues map[string]string // values of driver settings by lower-case name
}

// driverSettingValidators checks the values of settings that drivers send at
// startup. Targets have one fixed value for each setting, so that values with a
// different effect are refused.
var driverSettingValidators = map[string]func(value string) bool{
	"application_name":            func(v string) bool { return len(v) <= maxDriverSettingBytes },
	"client_encoding":             isUTF8,
	"extra_float_digits":          func(v string) bool { return v == "1" || v == "2" || v == "3" },
	"datestyle":                   func(v string) bool { return strings.HasPrefix(strings.ToUpper(v), "ISO") },
	"intervalstyle":               func(v string) bool { return strings.EqualFold(v, "postgres") },
	"timezone":                    isUTC,
	"standard_conforming_strings": func(v string) bool { return strings.EqualFold(v, "on") },
	"client_min_messages":         func(v string) bool { return len(v) <= maxDriverSettingBytes },
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

// isSessionSetting reports whether the session answers SHOW of the setting.
func isSessionSetting(name string) bool {
	if strings.HasPrefix(name, settingPrefix) || name == settingDefaultTxReadOnly || name == settingTxReadOnly || name == settingStatementTimeout {
		return true
	}
	_, ok := driverSettingValidators[name]
	return ok
}

// set changes one setting. The name must be in lower case. It returns BadSetting
// for an invalid value or an unknown nettlewalk.* name, and UnsupportedFeature for
// a setting that would affect other sessions on a shared target connection. It
// stores a token without verifying it.
func (s *settings) set(name, value string) error {
	switch name {
	case settingMaxStaleness:
		return s.setMaxStaleness(value)
	case settingSession:
		return s.setSession(value)
	case settingToken:
		s.token = value
		return nil
	case settingDeadline, settingStatementTimeout:
		return s.setDeadline(name, value)
	case settingIdempotent:
		return setBool(&s.idempotent, name, value)
	case settingDefaultTxReadOnly:
		return setBool(&s.readOnly, name, value)
	}
	if isAccepted, ok := driverSettingValidators[name]; ok {
		return s.setDriverSetting(name, value, isAccepted)
	}
	if strings.HasPrefix(name, settingPrefix) {
		return result.New(result.BadSetting, "unknown setting %q", name)
	}
	return result.New(result.UnsupportedFeature,
		"SET %s would affect other sessions on a shared target connection; use SET LOCAL in a transaction", name)
}

// reset restores the default of one setting.
func (s *settings) reset(name string) error {
	switch name {
	case settingMaxStaleness:
		s.maxStaleness = nil
	case settingSession:
		s.session = ""
	case settingToken:
		return result.New(result.BadSetting, "%s cannot be reset: the floor of a session never decreases", name)
	case settingDeadline, settingStatementTimeout:
		s.deadline = 0
	case settingIdempotent:
		s.idempotent = false
	case settingDefaultTxReadOnly:
		s.readOnly = false
	default:
		return s.resetDriverSetting(name)
	}
	return nil
}

func (s *settings) resetDriverSetting(name string) error {
	if _, ok := driverSettingValidators[name]; ok {
		delete(s.driverValues, name)
		return nil
	}
	if name == "all" || !strings.HasPrefix(name, settingPrefix) {
		return result.New(result.UnsupportedFeature, "RESET %s would affect other sessions on a shared target connection", name)
	}
	return result.New(result.BadSetting, "unknown setting %q", name)
}

func (s *settings) setMaxStaleness(value string) error {
	d, err := parseMillisOrDuration(value)
	if err != nil || d < 0 {
		return result.New(result.BadSetting, "%s %q: expected milliseconds or a duration such as 2s", settingMaxStaleness, truncate(value))
	}
	s.maxStaleness = &d
	return nil
}

func (s *settings) setSession(value string) error {
	if len(value) > maxSessionNameBytes || strings.ContainsFunc(value, isControl) {
		return result.New(result.BadSetting, "%s: expected at most %d bytes without control characters", settingSession, maxSessionNameBytes)
	}
	s.session = value
	return nil
}

func (s *settings) setDeadline(name, value string) error {
	d, err := parseMillisOrDuration(value)
	if err != nil || d < 0 || d > maxBatchDeadline {
		return result.New(result.BadSetting, "%s %q: expected milliseconds or a duration from 0 to %v", name, truncate(value), maxBatchDeadline)
	}
	s.deadline = d
	return nil
}

func (s *settings) setDriverSetting(name, value string, isAccepted func(string) bool) error {
	if !isAccepted(value) {
		return result.New(result.UnsupportedFeature, "%s = %q is not supported", name, truncate(value))
	}
	if s.driverValues == nil {
		s.driverValues = map[string]string{}
	}
	s.driverValues[name] = value
	return nil
}

// show returns the value of a setting that the session keeps.
func (s *settings) show(name string) (string, error) {
	switch name {
	case settingMaxStaleness:
		if s.maxStaleness == nil {
			return "default", nil
		}
		return s.maxStaleness.String(), nil
	case settingSession:
		return s.session, nil
	case settingToken:
		return s.token, nil
	case settingServedBy:
		return s.servedBy, nil
	case settingDeadline, settingStatementTimeout:
		return s.deadline.String(), nil
	case settingIdempotent:
		return onOff(s.idempotent), nil
	case settingDefaultTxReadOnly:
		return onOff(s.readOnly), nil
	}
	if _, ok := driverSettingValidators[name]; ok {
		return s.showDriverSetting(name), nil
	}
	return "", result.New(result.BadSetting, "unknown setting %q", name)
}

func (s *settings) showDriverSetting(name string) string {
	if value, ok := s.driverValues[name]; ok {
		return value
	}
	return driverDefaults[name]
}

// driverDefaults holds the values of driver settings on every target.
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

// parseMillisOrDuration parses a number of milliseconds or a Go duration.
func parseMillisOrDuration(value string) (time.Duration, error) {
	if ms, err := strconv.ParseInt(value, 10, 32); err == nil {
		return time.Duration(ms) * time.Millisecond, nil
	}
	return time.ParseDuration(value)
}

func setBool(dst *bool, name, value string) error {
	switch strings.ToLower(value) {
	case "on", "true", "yes", "1", "t", "y":
		*dst = true
	case "off", "false", "no", "0", "f", "n":
		*dst = false
	default:
		return result.New(result.BadSetting, "%s %q: expected on or off", name, truncate(value))
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

// truncate shortens client text for use in an error message.
func truncate(text string) string {
	const maxBytes = 64
	if len(text) > maxBytes {
		return text[:maxBytes] + "..."
	}
	return text
}
