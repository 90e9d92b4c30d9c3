package customer

import (
	"encoding/json"
	"strings"
)

const maxDescriptionBytes = 1000

// Template holds the parameters that a class of customers shares.
type Template struct {
	Description string
	Parameters  Parameters
}

// ParseTemplate parses a template object. The error is a Faults with one entry
// for each invalid field.
func ParseTemplate(data json.RawMessage) (*Template, error) {
	var faults Faults
	f := newFieldReader("", data, &faults)
	t := &Template{Description: readDescription(f), Parameters: readParameters(f)}
	f.reportUnknown()
	return t, faults.err()
}

// readDescription returns the optional description. The copy does not keep the
// parsed JSON in memory.
func readDescription(f *fieldReader) string {
	text := optionalField(f, "description", "up to 1000 bytes of text", func(s string) bool { return len(s) <= maxDescriptionBytes })
	if text == nil {
		return ""
	}
	return strings.Clone(*text)
}

// readParameters returns the optional parameters object.
func readParameters(f *fieldReader) Parameters {
	raw, ok := f.take("parameters")
	if !ok {
		return Parameters{}
	}
	return parseParameters(f.path+"parameters.", raw, f.faults)
}
