package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// A pipeline decides by the exit code, and reads one finding on each line.
func TestConfigCheckExitCodes(t *testing.T) {
	const warned = `{"Version": 2, "Routes": [{"DatabaseName": "db", "Kind": "primary", "Service": "s", "TimeoutMs": 100, "TargetLatencyMs": 200}],
		"Services": [{"Name": "s", "MaxConnections": 5}]}`
	for _, c := range []struct {
		text, against string
		strict        bool
		code, lines   int
	}{
		{text: `{"Version": 1, "Routes": [], "Services": []}`, code: 0, lines: 1},
		{text: warned, code: 0, lines: 1},
		{text: warned, strict: true, code: exitFailure, lines: 1},
		{text: warned, against: `{"Version": 1}`, code: 0, lines: 4},
		{text: warned, against: `{"Version": 2}`, code: exitBadInput, lines: 4},
		{text: warned, against: `{`, code: exitBadInput, lines: 0},
		{text: `{"Version": 0}`, against: `{"Version": 1}`, code: exitBadInput, lines: 1},
	} {
		dir := t.TempDir()
		file, against := filepath.Join(dir, "new"), ""
		qt.Assert(t, os.WriteFile(file, []byte(c.text), 0o600), qt.IsNil)
		if c.against != "" {
			against = filepath.Join(dir, "in-force")
			qt.Assert(t, os.WriteFile(against, []byte(c.against), 0o600), qt.IsNil)
		}
		for _, asJSON := range []bool{false, true} {
			var out bytes.Buffer
			code := 0
			if err := checkConfiguration(&out, file, against, asJSON, c.strict); err != nil {
				code = exitCode(err)
			}
			qt.Check(t, code, qt.Equals, c.code, qt.Commentf("%s", c.text))
			qt.Check(t, bytes.Count(out.Bytes(), []byte("\n")), qt.Equals, c.lines, qt.Commentf("%s", out.String()))
		}
	}
	qt.Check(t, exitCode(checkConfiguration(&bytes.Buffer{}, filepath.Join(t.TempDir(), "missing"), "", false, false)), qt.Equals, exitBadInput)
}

// Errors in a configuration and input that can't be read have the same exit code, but must
// stay distinguishable in the code.
func TestConfigCheckTellsFindingsFromUnreadableInput(t *testing.T) {
	file := filepath.Join(t.TempDir(), "new")
	qt.Assert(t, os.WriteFile(file, []byte(`{"Version": 0}`), 0o600), qt.IsNil)
	var found *errorsFoundError
	err := checkConfiguration(&bytes.Buffer{}, file, "", false, false)
	qt.Check(t, errors.As(err, &found), qt.IsTrue)
	qt.Check(t, err, qt.ErrorMatches, ".*/new: 1 errors, 0 warnings")
	qt.Check(t, exitCode(err), qt.Equals, exitBadInput)
	err = checkConfiguration(&bytes.Buffer{}, file+"-missing", "", false, false)
	qt.Check(t, errors.As(err, &found), qt.IsFalse)
	qt.Check(t, exitCode(err), qt.Equals, exitBadInput)
}
