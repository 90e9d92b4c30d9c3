// Command nettlewalk is the database proxy: one process on each entry host,
// and the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// Exit codes.
const (
	exitFailure  = 1 // the command failed
	exitBadInput = 2 // bad settings or arguments
)

const exitHelp = "Exit codes: 0 done, 1 failed, 2 bad settings or arguments."

// version is set by the linker for releases.
var version = "dev"

// command is one subcommand with the function that runs it.
type command struct {
	*flaggy.Subcommand
	run func() error
}

func main() {
	flaggy.SetName("nettlewalk")
	flaggy.SetDescription("Database proxy with session consistency")
	flaggy.SetVersion(version)
	flaggy.DefaultParser.AdditionalHelpAppend = exitHelp
	commands := allCommands()
	for _, c := range commands {
		flaggy.AttachSubcommand(c.Subcommand, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.Used {
			exit(c.run())
		}
	}
	flaggy.ShowHelpAndExit("name a command")
}

func allCommands() []command {
	return []command{serveCommand(), checkCommand(), exampleCommand(), versionCommand()}
}

func exit(err error) {
	if err == nil {
		os.Exit(0)
	}
	fmt.Fprintln(os.Stderr, err)
	os.Exit(exitCode(err))
}
