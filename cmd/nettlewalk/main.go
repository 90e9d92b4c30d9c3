// Command nettlewalk is the database proxy, which runs as one process on each
// host, and the command-line client for operators.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/adminclient"
)

// version is overridden by the linker in release builds.
var version = "dev"

// command is a subcommand with either the function that runs it or nested
// subcommands.
type command struct {
	*flaggy.Subcommand
	run      func() error
	children []command
}

func main() {
	flaggy.SetName("nettlewalk")
	flaggy.SetDescription("Database proxy with session consistency")
	flaggy.SetVersion(version)
	flaggy.DefaultParser.AdditionalHelpAppend = exitHelp
	flaggy.DefaultParser.ShowCompletion = false
	commands := allCommands()
	for _, c := range commands {
		flaggy.AttachSubcommand(c.attachChildren(), 1)
	}
	if err := flaggy.DefaultParser.ParseArgs(withFeatureValues(os.Args[1:])); err != nil {
		exit(&usageError{"invalid flag: " + err.Error()})
	}
	if run := selectedCommand(commands); run != nil {
		exit(run())
	}
	flaggy.ShowHelpAndExit("A command is required.")
}

func allCommands() []command {
	return []command{
		serveCommand(),
		checkCommand(),
		configCommand(),
		exampleCommand(),
		versionCommand(),
		statusCommand(),
		dumpCommand(),
		inspectCommand(),
		usageCommand(),
		objectCommand("template", adminclient.Templates),
		objectCommand("customer", adminclient.Customers),
		verifierCommand(),
	}
}

func (c *command) attachChildren() *flaggy.Subcommand {
	for _, child := range c.children {
		c.AttachSubcommand(child.Subcommand, 1)
	}
	return c.Subcommand
}

// selectedCommand returns the function of the command selected by the arguments,
// or nil if no command was selected.
func selectedCommand(commands []command) func() error {
	for _, c := range commands {
		if !c.Used {
			continue
		}
		if c.children != nil {
			return selectedCommand(c.children)
		}
		return c.run
	}
	return nil
}

func exit(err error) {
	if err == nil {
		os.Exit(0)
	}
	var failure *admin.Failure
	if errors.As(err, &failure) {
		_ = adminclient.PrintFailure(os.Stderr, failure)
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(exitCode(err))
}
