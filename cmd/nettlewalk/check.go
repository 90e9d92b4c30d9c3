package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/settings"
	"nettlewalk.example/nettlewalk/platform"
)

func checkCommand() command {
	var path string
	var asJSON bool
	cmd := flaggy.NewSubcommand("check")
	cmd.Description = "Check a settings file and list all faults"
	cmd.String(&path, "c", "config", "settings file; default: the file named by "+platform.ConfigPathEnv+", in the platform's format")
	cmd.Bool(&asJSON, "j", "json", "print faults as JSON")
	return command{Subcommand: cmd, run: func() error { return check(path, asJSON) }}
}

// loadSettings reads a settings file. It returns each error as *usageError or
// *settings.Faults, since the operator must correct it.
func loadSettings(path string) (*settings.Settings, error) {
	if path == "" {
		return nil, &usageError{"--config FILE is required"}
	}
	s, err := settings.Load(path)
	var faults *settings.Faults
	if err != nil && !errors.As(err, &faults) {
		return nil, &usageError{err.Error()}
	}
	return s, err
}

// checkFile validates the settings file at path. If onPlatform(path) is true, it
// validates the platform's settings file instead.
func checkFile(path string) error {
	if onPlatform(path) {
		_, err := platform.LoadSettings(os.Getenv(platform.ConfigPathEnv))
		return err
	}
	_, err := loadSettings(path)
	return err
}

func check(path string, asJSON bool) error {
	err := checkFile(path)
	if err == nil {
		fmt.Println("no faults")
		return nil
	}
	var faults *settings.Faults
	if asJSON && errors.As(err, &faults) {
		if err := json.NewEncoder(os.Stdout).Encode(faults.List); err != nil {
			return err
		}
	}
	return err
}

func exampleCommand() command {
	cmd := flaggy.NewSubcommand("example")
	cmd.Description = "Print a commented settings file"
	return command{Subcommand: cmd, run: func() error {
		_, err := fmt.Print(settings.Example)
		return err
	}}
}

func versionCommand() command {
	cmd := flaggy.NewSubcommand("version")
	cmd.Description = "Print the version"
	return command{Subcommand: cmd, run: func() error {
		_, err := fmt.Println(version)
		return err
	}}
}
