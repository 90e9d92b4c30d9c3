package main

import (
	"fmt"
	"strings"
)

// testResults counts test results and prints failed and skipped tests, the output
// of unlisted failures, and the packages that passed.
type testResults struct {
	knownFailures     map[string]bool
	output            map[string]*strings.Builder
	unlistedByPackage map[string]int // number of failures not in knownFailures, by package
	knownByPackage    map[string]int // number of failures in knownFailures, by package
	failedPackages    []string
	knownFailed       int
	passed            int
	skipped           int
}

func newTestResults(knownFailures map[string]bool) *testResults {
	return &testResults{
		knownFailures:     knownFailures,
		output:            map[string]*strings.Builder{},
		unlistedByPackage: map[string]int{},
		knownByPackage:    map[string]int{},
	}
}

func (r *testResults) add(e testEvent) {
	key := e.Package + " " + e.Test
	switch e.Action {
	case "output", "build-output":
		r.appendOutput(key, e.Output)
	case "pass", "skip":
		r.recordSuccess(e)
		delete(r.output, key)
	case "fail":
		r.recordFailure(e, key)
	}
}

func (r *testResults) appendOutput(key, text string) {
	b := r.output[key]
	if b == nil {
		b = &strings.Builder{}
		r.output[key] = b
	}
	b.WriteString(text)
}

func (r *testResults) recordSuccess(e testEvent) {
	switch {
	case e.Test == "":
		fmt.Printf("ok   %s\n", e.Package)
	case e.Action == "skip":
		r.skipped++
		fmt.Printf("skip %s %s\n", e.Package, e.Test)
	default:
		r.passed++
		r.reportUnexpectedPass(e.Test)
	}
}

func (r *testResults) reportUnexpectedPass(test string) {
	if r.knownFailures[test] {
		fmt.Printf("listed as known red, but passed: %s\n", test)
	}
}

func (r *testResults) recordFailure(e testEvent, key string) {
	if e.Test == "" {
		r.failedPackages = append(r.failedPackages, e.Package)
		return
	}
	if r.knownFailures[topLevelTest(e.Test)] {
		r.knownFailed++
		r.knownByPackage[e.Package]++
		fmt.Printf("known red: %s %s\n", e.Package, e.Test)
		return
	}
	r.unlistedByPackage[e.Package]++
	fmt.Printf("FAIL %s %s\n", e.Package, e.Test)
	if b := r.output[key]; b != nil {
		fmt.Print(b.String())
	}
}

// countUnlisted returns the number of failures that are not known, and prints the
// totals. A package that failed without a failing test counts as one failure.
func (r *testResults) countUnlisted() int {
	count := 0
	for _, pkg := range r.failedPackages {
		count += r.unlistedByPackage[pkg]
		if r.unlistedByPackage[pkg] == 0 && r.knownByPackage[pkg] == 0 {
			count++
			fmt.Printf("FAIL %s (no failing test)\n", pkg)
			if b := r.output[pkg+" "]; b != nil {
				fmt.Print(b.String())
			}
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, count+r.knownFailed, r.skipped)
	return count
}

// topLevelTest returns the name of the top-level test that contains the subtest.
func topLevelTest(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}
