package main

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// An entry names its test before a colon or a space.
func TestKnownRedNamesTests(t *testing.T) {
	path := filepath.Join(t.TempDir(), knownRedFile)
	text := "# One line each.\n\nTestA: go test ./a; seen once; issue 9\nTestB go test ./b\n"
	qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
	red, err := readKnownRed(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, red, qt.DeepEquals, map[string]bool{"TestA": true, "TestB": true})
}
