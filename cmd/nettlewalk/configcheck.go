package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/platform"
)

// configCommand has the commands for configurations of the users' platform.
func configCommand() command {
	cmd := flaggy.NewSubcommand("config")
	cmd.Description = "Work with configurations of the users' platform"
	return command{Subcommand: cmd, children: []command{configCheckCommand()}}
}

func configCheckCommand() command {
	var file, against string
	var asJSON, strict bool
	cmd := flaggy.NewSubcommand("check")
	cmd.Description = "Check a configuration before it is sent; exit code 2: errors, 1: warnings and --strict"
	cmd.AddPositionalValue(&file, "FILE", 1, false, "the configuration as JSON; default: standard input")
	cmd.String(&against, "a", "against", "file with the version in force, to list the differences")
	cmd.Bool(&asJSON, "j", "json", "print one JSON object for each finding")
	cmd.Bool(&strict, "s", "strict", "exit code 1 if there are warnings")
	return command{Subcommand: cmd, run: func() error { return checkConfiguration(os.Stdout, file, against, asJSON, strict) }}
}

// errorsFoundError reports that a configuration has errors.
type errorsFoundError struct{ summary string }

func (e *errorsFoundError) Error() string { return e.summary }

// Unwrap gives it the exit code of invalid input.
func (e *errorsFoundError) Unwrap() error { return &usageError{e.summary} }

// checkConfiguration prints the findings on a configuration, one on each line. Its error
// leads to the command's exit code.
func checkConfiguration(out io.Writer, file, against string, asJSON, strict bool) error {
	value, err := readInput(file)
	if err != nil {
		return &usageError{err.Error()}
	}
	findings := platform.CheckConfiguration(value)
	if against != "" && isReadable(value) {
		inForce, err := readInput(against)
		if err != nil {
			return &usageError{err.Error()}
		}
		differences, err := platform.CompareConfigurations(value, inForce)
		if err != nil {
			return &usageError{against + ": " + err.Error()}
		}
		findings = append(findings, differences...)
	}
	if err := printFindings(out, findings, asJSON); err != nil {
		return err
	}
	faults, warnings := countSeverity(findings, platform.ConfigError), countSeverity(findings, platform.ConfigWarning)
	summary := fmt.Sprintf("%s: %d errors, %d warnings", cmp.Or(file, "standard input"), faults, warnings)
	switch {
	case faults > 0:
		return &errorsFoundError{summary}
	case strict && warnings > 0:
		return errors.New(summary)
	}
	return nil
}

func isReadable(value []byte) bool {
	_, err := platform.DecodeConfiguration(value)
	return err == nil
}

// readInput reads a file, or standard input for "".
func readInput(file string) ([]byte, error) {
	if file == "" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(file)
}

func countSeverity(findings []platform.Finding, s platform.Severity) int {
	n := 0
	for _, f := range findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

func printFindings(out io.Writer, findings []platform.Finding, asJSON bool) error {
	encoder := json.NewEncoder(out)
	for _, f := range findings {
		if asJSON {
			if err := encoder.Encode(f); err != nil {
				return err
			}
			continue
		}
		if _, err := fmt.Fprintln(out, f); err != nil {
			return err
		}
	}
	return nil
}
