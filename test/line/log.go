package line

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

// checkLogFields fails the test if a log line contains the same field twice,
// because most JSON parsers keep only one of the two values. It skips lines that
// are not valid JSON: a killed process may leave a truncated last line.
func checkLogFields(tb testing.TB, path string) {
	tb.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		tb.Errorf("read log: %v", err)
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if !json.Valid([]byte(line)) {
			continue
		}
		if field := duplicateField(line); field != "" {
			tb.Errorf("duplicate field %q in log line %s", field, line)
			return
		}
	}
}

// duplicateField returns a top-level field that occurs twice in a JSON object,
// or "" if there is none.
func duplicateField(object string) string {
	d := json.NewDecoder(strings.NewReader(object))
	if first, err := d.Token(); err != nil || first != json.Delim('{') {
		return ""
	}
	seen := map[string]bool{}
	for d.More() {
		token, _ := d.Token() // cannot fail: the caller checked that the object is valid JSON
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

// logWithoutStatements returns the log without the lines that the relay writes
// for each statement.
func logWithoutStatements(path string) string {
	text, _ := os.ReadFile(path)
	var kept []string
	for line := range strings.SplitSeq(string(text), "\n") {
		if !strings.Contains(line, `"logger":"relay"`) {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}
