package line

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// checkLines fails the test if a log line names a field twice, of which most
// readers keep one. What isn't a whole line of JSON is passed over: a killed
// process may have left half of one.
func checkLines(tb testing.TB, path string) {
	tb.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		tb.Errorf("log not read: %v", err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if !json.Valid([]byte(line)) {
			continue
		}
		if field := twice(line); field != "" {
			tb.Errorf("%q stands twice in %s", field, line)
			return
		}
	}
}

// twice returns a field that a JSON object has twice at its outermost level.
func twice(object string) string {
	d := json.NewDecoder(strings.NewReader(object))
	if open, err := d.Token(); err != nil || open != json.Delim('{') {
		return ""
	}
	seen := map[string]bool{}
	for d.More() {
		token, _ := d.Token() // the object is valid
		field, _ := token.(string)
		if seen[field] {
			return field
		}
		seen[field] = true
		var value json.RawMessage
		_ = d.Decode(&value)
	}
	return ""
}
