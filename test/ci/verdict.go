package main

import (
	"fmt"
	"strings"
)

// verdict gathers the outcome of each test and prints what matters.
type verdict struct {
	red      map[string]bool
	output   map[string]*strings.Builder
	failures map[string]int // unlisted failures by package
	redIn    map[string]int // listed failures by package
	packages []string       // that failed
	listed   int
	passed   int
	skipped  int
}

func newVerdict(red map[string]bool) *verdict {
	return &verdict{
		red:      red,
		output:   map[string]*strings.Builder{},
		failures: map[string]int{},
		redIn:    map[string]int{},
	}
}

func (v *verdict) add(e event) {
	key := e.Package + " " + e.Test
	switch e.Action {
	case "output", "build-output":
		v.keep(key, e.Output)
	case "pass", "skip":
		v.succeed(e)
		delete(v.output, key)
	case "fail":
		v.fail(e, key)
	}
}

func (v *verdict) keep(key, text string) {
	b := v.output[key]
	if b == nil {
		b = &strings.Builder{}
		v.output[key] = b
	}
	b.WriteString(text)
}

func (v *verdict) succeed(e event) {
	switch {
	case e.Test == "":
		fmt.Printf("ok   %s\n", e.Package)
	case e.Action == "skip":
		v.skipped++
		fmt.Printf("skip %s %s\n", e.Package, e.Test)
	default:
		v.passed++
		v.noteGreen(e.Test)
	}
}

func (v *verdict) noteGreen(test string) {
	if v.red[test] {
		fmt.Printf("listed as known red, but passed: %s\n", test)
	}
}

func (v *verdict) fail(e event, key string) {
	if e.Test == "" {
		v.packages = append(v.packages, e.Package)
		return
	}
	if v.red[root(e.Test)] {
		v.listed++
		v.redIn[e.Package]++
		fmt.Printf("known red: %s %s\n", e.Package, e.Test)
		return
	}
	v.failures[e.Package]++
	fmt.Printf("FAIL %s %s\n", e.Package, e.Test)
	if b := v.output[key]; b != nil {
		fmt.Print(b.String())
	}
}

// unlisted counts the failures that are not known, a package that failed
// without a failing test among them, and prints the sum.
func (v *verdict) unlisted() int {
	n := 0
	for _, pkg := range v.packages {
		n += v.failures[pkg]
		if v.failures[pkg] == 0 && v.redIn[pkg] == 0 {
			n++
			fmt.Printf("FAIL %s (no single test)\n", pkg)
			if b := v.output[pkg+" "]; b != nil {
				fmt.Print(b.String())
			}
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", v.passed, n+v.listed, v.skipped)
	return n
}

// root returns the top-level test of a subtest.
func root(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}
