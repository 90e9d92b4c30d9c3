package customer

import (
	"bytes"
	"encoding/json"
	"sort"
	"strings"
	"time"
)

// fields reads a JSON object field by field, so that each bad field gives a
// fault of its own.
type fields struct {
	path   string // prefix of field names, empty or with a dot at its end
	raw    map[string]json.RawMessage
	known  []string
	faults *Faults
}

func readFields(path string, data json.RawMessage, faults *Faults) *fields {
	f := &fields{path: path, faults: faults}
	if err := json.Unmarshal(data, &f.raw); err != nil || f.raw == nil {
		name := strings.TrimSuffix(path, ".")
		if name == "" {
			name = "value"
		}
		faults.add(name, string(data), "a JSON object")
	}
	return f
}

// take returns the raw field, once.
func (f *fields) take(name string) (json.RawMessage, bool) {
	f.known = append(f.known, name)
	raw, ok := f.raw[name]
	delete(f.raw, name)
	return raw, ok
}

// finish reports the fields that nobody took.
func (f *fields) finish() {
	unknown := make([]string, 0, len(f.raw))
	for name := range f.raw {
		unknown = append(unknown, name)
	}
	sort.Strings(unknown)
	for _, name := range unknown {
		f.faults.add(f.path+name, string(f.raw[name]), "no such field; fields: "+strings.Join(f.known, ", "))
	}
}

// field returns a field's value if it is given and fits; nil otherwise. A bad
// one is reported with what is allowed.
func field[T any](f *fields, name, allowed string, fits func(T) bool) *T {
	raw, ok := f.take(name)
	if !ok {
		return nil
	}
	var value T
	if bytes.Equal(raw, []byte("null")) || json.Unmarshal(raw, &value) != nil || !fits(value) {
		f.faults.add(f.path+name, string(raw), allowed)
		return nil
	}
	return &value
}

// duration returns a field such as "1.5s".
func duration(f *fields, name, allowed string, least, most time.Duration) *time.Duration {
	var d time.Duration
	text := field(f, name, allowed, func(text string) bool {
		var err error
		d, err = time.ParseDuration(text)
		return err == nil && d >= least && d <= most
	})
	if text == nil {
		return nil
	}
	return &d
}

// required reports a field that is missing without being reported as bad.
func (f *fields) required(name, allowed string) {
	if _, ok := f.raw[name]; !ok {
		f.faults.add(f.path+name, "(missing)", allowed)
	}
}

func within[T int | float64](least, most T) func(T) bool {
	return func(v T) bool { return v >= least && v <= most }
}

func anyValue[T any](T) bool { return true }
