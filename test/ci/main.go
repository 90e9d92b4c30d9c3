// Command ci runs `go test ./...`, lets pass only the failures that
// KNOWN-RED.txt lists, and prints each test package's verdict.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"strings"
)

const knownRedFile = "KNOWN-RED.txt"

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

func main() {
	red, err := readKnownRed(knownRedFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	failed, err := runTests(red)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if failed > 0 {
		fmt.Printf("%d failures that %s does not list\n", failed, knownRedFile)
		os.Exit(1)
	}
}

// readKnownRed returns the names of the listed tests: the first field of each
// line that is no comment, without the colon after it.
func readKnownRed(path string) (map[string]bool, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	red := map[string]bool{}
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > 0 && !strings.HasPrefix(fields[0], "#") {
			red[strings.TrimSuffix(fields[0], ":")] = true
		}
	}
	return red, lines.Err()
}

// runTests runs every package's tests and returns how many failures are not in red.
func runTests(red map[string]bool) (int, error) {
	cmd := exec.Command("go", "test", "-json", "-race", "-count=1", "-timeout", "30m", "./...")
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return 0, err
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	v := newVerdict(red)
	decoder := json.NewDecoder(out)
	for decoder.More() {
		var e event
		if err := decoder.Decode(&e); err != nil {
			return 0, err
		}
		v.add(e)
	}
	err = cmd.Wait()
	unlisted := v.unlisted()
	if err != nil && unlisted == 0 && v.listed == 0 {
		return 1, nil
	}
	return unlisted, nil
}
