package customer

import (
	"encoding/json"
	"strings"
)

const maxDescription = 1000 // bytes

// Template is what customers of one kind have in common.
type Template struct {
	Description string
	Parameters  Parameters
}

// ParseTemplate reads a template's JSON. The error is Faults with one entry
// for each bad field.
func ParseTemplate(data json.RawMessage) (*Template, error) {
	var faults Faults
	f := readFields("", data, &faults)
	t := &Template{Description: description(f), Parameters: optionalParameters(f)}
	f.finish()
	return t, faults.err()
}

func description(f *fields) string {
	text := field(f, "description", "up to 1000 bytes of text", func(s string) bool { return len(s) <= maxDescription })
	if text == nil {
		return ""
	}
	return strings.Clone(*text)
}

func optionalParameters(f *fields) Parameters {
	raw, ok := f.take("parameters")
	if !ok {
		return Parameters{}
	}
	return parseParameters(f.path+"parameters.", raw, f.faults)
}
