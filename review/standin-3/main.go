// Command standin-3 runs the cases of the review that are scripts: it stands in for the
// platform, the backends and the clients, and starts the hosts as processes.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(recordPath string, trouble bool) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0"))
}
