package main

import (
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/adminclient"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/settings"
)

// Exit codes of every command.
const (
	exitFailure  = 1 // the command failed
	exitBadInput = 2 // bad arguments, settings or fields, no such object, or not allowed
	exitConflict = 3 // version conflict with another edit; nothing was changed
	exitUnknown  = 4 // outcome unknown: the edit may have taken effect
	exitNotRun   = 5 // nothing was changed; a retry may succeed
)

const exitHelp = `Exit codes:
  0  done
  1  failed
  2  bad arguments, settings or fields, no such object, or not allowed
  3  conflict: another edit won, nothing was changed; the current version is printed
  4  outcome unknown: look at the object before you repeat the edit
  5  not run: nothing was changed; a later try, or another host, may succeed`

// usageError reports missing or invalid command-line arguments or input.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// exitCode returns the process exit code for a non-nil error.
func exitCode(err error) int {
	var faults *settings.Faults
	var usage *usageError
	var assignment *adminclient.AssignmentError
	if errors.As(err, &faults) || errors.As(err, &usage) || errors.As(err, &assignment) {
		return exitBadInput
	}
	var failure *admin.Failure
	if errors.As(err, &failure) {
		return exitCodeForResult(failure.Code)
	}
	return exitFailure
}

func exitCodeForResult(code result.Code) int {
	if code == result.VersionConflict {
		return exitConflict
	}
	switch code.Group() {
	case result.GroupBadInput:
		return exitBadInput
	case result.GroupUnknown:
		return exitUnknown
	case result.GroupNotRun:
		return exitNotRun
	}
	return exitFailure
}
