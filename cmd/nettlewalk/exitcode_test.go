package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/adminclient"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/settings"
)

func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		err  error
		want int
	}{
		{fmt.Errorf("listen: %w", os.ErrPermission), exitFailure},
		{&settings.Faults{}, exitBadInput},
		{&usageError{"no token"}, exitBadInput},
		{&adminclient.AssignmentError{}, exitBadInput},
		{&admin.Failure{Code: result.NotFound}, exitBadInput},
		{&admin.Failure{Code: result.VersionConflict}, exitConflict},
		{&admin.Failure{Code: result.PlatformUnknown}, exitUnknown},
		{&admin.Failure{Code: result.UnknownOutcome}, exitUnknown},
		{&admin.Failure{Code: result.PlatformDown}, exitNotRun},
		{&admin.Failure{Code: result.TargetError}, exitFailure},
	} {
		qt.Check(t, exitCode(fmt.Errorf("wrapped: %w", test.err)), qt.Equals, test.want, qt.Commentf("%v", test.err))
	}
}

// The help text and docs/OPERATIONS.md must list the same exit codes with the same
// descriptions.
func TestExitCodesMatchOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	lines := regexp.MustCompile(`(?m)^  (\d)  (.*)$`).FindAllStringSubmatch(exitHelp, -1)
	qt.Check(t, lines, qt.HasLen, 1+exitNotRun)
	for _, line := range lines {
		row := fmt.Sprintf("| %s | %s |", line[1], line[2])
		qt.Check(t, strings.Contains(string(page), row), qt.IsTrue, qt.Commentf("%s", row))
	}
}
