package customer

import (
	"bytes"
	"encoding/json"
	"sort"
	"strings"
	"time"
)

// fieldReader parses a JSON object field by field, so that each invalid field
// is reported as a separate fault.
type fieldReader struct {
	path   string                     // prefix of field names: empty, or ends with a dot
	raw    map[string]json.RawMessage // fields that were not read yet
	known  []string                   // names of the fields that the parser asked for
	faults *Faults
}

// newFieldReader parses the outer JSON object.
func newFieldReader(path string, data json.RawMessage, faults *Faults) *fieldReader {
	f := &fieldReader{path: path, faults: faults}
	if err := json.Unmarshal(data, &f.raw); err != nil || f.raw == nil {
		name := strings.TrimSuffix(path, ".")
		if name == "" {
			name = "value"
		}
		faults.add(name, string(data), "a JSON object")
	}
	return f
}

// take returns the raw value of a field and removes the field from the unread
// ones.
func (f *fieldReader) take(name string) (json.RawMessage, bool) {
	f.known = append(f.known, name)
	raw, ok := f.raw[name]
	delete(f.raw, name)
	return raw, ok
}

// reportUnknown adds a fault for each field that was not read.
func (f *fieldReader) reportUnknown() {
	unknown := make([]string, 0, len(f.raw))
	for name := range f.raw {
		unknown = append(unknown, name)
	}
	sort.Strings(unknown)
	for _, name := range unknown {
		f.faults.add(f.path+name, string(f.raw[name]), "unknown field; known fields: "+strings.Join(f.known, ", "))
	}
}

// optionalField returns the value of a field, or nil if the field is missing
// or invalid. An invalid field is reported together with the allowed values.
func optionalField[T any](f *fieldReader, name, allowed string, valid func(T) bool) *T {
	raw, ok := f.take(name)
	if !ok {
		return nil
	}
	var value T
	if bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, &value) != nil || !valid(value) {
		f.faults.add(f.path+name, string(raw), allowed)
		return nil
	}
	return &value
}

// durationField returns an optional field that holds a duration, such as
// "1.5s".
func durationField(f *fieldReader, name, allowed string, lower, upper time.Duration) *time.Duration {
	var d time.Duration
	text := optionalField(f, name, allowed, func(text string) bool {
		var err error
		d, err = time.ParseDuration(text)
		return err == nil && d >= lower && d <= upper
	})
	if text == nil {
		return nil
	}
	return &d
}

// reportIfMissing adds a fault if a required field is missing. It must be
// called before the field is read.
func (f *fieldReader) reportIfMissing(name, allowed string) {
	if _, ok := f.raw[name]; !ok {
		f.faults.add(f.path+name, "(missing)", allowed)
	}
}

// inRange returns a check for lower <= v <= upper.
func inRange[T int | float64](lower, upper T) func(T) bool {
	return func(v T) bool { return v >= lower && v <= upper }
}

// anyValue accepts every value of the type.
func anyValue[T any](T) bool { return true }
