// Command page writes the generated settings documentation to the given file.
package main

import (
	"fmt"
	"os"

	"nettlewalk.example/nettlewalk/internal/settings"
)

const pageMode = 0o644

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: page FILE")
		os.Exit(2)
	}
	if err := os.WriteFile(os.Args[1], []byte(settings.Markdown()), pageMode); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
