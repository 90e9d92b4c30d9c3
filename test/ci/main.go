// Command ci runs `go test ./...` and prints the result of each test package. It
// fails on every test failure except those listed in KNOWN-RED.txt.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
)

const knownFailuresFile = "KNOWN-RED.txt"

// testEvent is one line of the output of `go test -json`.
type testEvent struct {
	Action  string
	Package string
	Test    string
	Output  string
}

func main() {
	knownFailures, err := readKnownFailures(knownFailuresFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	failed, err := runTests(knownFailures)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if failed > 0 {
		fmt.Printf("%d failures that %s does not list\n", failed, knownFailuresFile)
		os.Exit(1)
	}
}

// readKnownFailures returns the names of the tests listed in the file: the first
// field of each line that is not a comment, without a trailing colon.
func readKnownFailures(path string) (map[string]bool, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	knownFailures := map[string]bool{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 0 && !strings.HasPrefix(fields[0], "#") {
			knownFailures[strings.TrimSuffix(fields[0], ":")] = true
		}
	}
	return knownFailures, lines.Err()
}

// runTests runs the tests of every package and returns the number of failures that
// are not in knownFailures.
func runTests(knownFailures map[string]bool) (int, error) {
	cmd := exec.Command("go", "test", "-json", "-race", "-count=1", "-timeout", "30m", "./...")
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return 0, err
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	results := newTestResults(knownFailures)
	decoder := json.NewDecoder(out)
	for decoder.More() {
		var e testEvent
		if err := decoder.Decode(&e); err != nil {
			return 0, err
		}
		results.add(e)
	}
	err = cmd.Wait()
	unlistedFailures := results.countUnlisted()
	if err != nil && unlistedFailures == 0 && results.knownFailed == 0 {
		return 1, nil
	}
	return unlistedFailures, nil
}
