package main

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The test name in an entry ends at a colon or a space; comments and empty lines
// are ignored.
func TestReadKnownFailures(t *testing.T) {
	path := filepath.Join(t.TempDir(), knownFailuresFile)
	text := "# One line each.\n\nTestA: go test ./a; seen once; issue 9\nTestB go test ./b\n"
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	knownFailures, err := readKnownFailures(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, knownFailures, qt.DeepEquals, map[string]bool{"TestA": true, "TestB": true})
}
