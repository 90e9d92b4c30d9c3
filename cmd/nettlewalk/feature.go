package main

import (
	"slices"

	"github.com/integrii/flaggy"

	"nettlewalk.example/nettlewalk/internal/feature"
	"nettlewalk.example/nettlewalk/internal/locality"
)

// serveOptions are the flags of the serve command that concern a host on the users'
// platform.
type serveOptions struct {
	prices                                  locality.Prices
	sharedCapacity, retryBudget, retryTimes feature.Mode
}

// featureFlag is a flag whose value is a feature.Mode.
type featureFlag struct {
	name, description string
	value             string
	target            func(*serveOptions) *feature.Mode
}

// featureFlagSet has the feature flags of the serve command.
type featureFlagSet []*featureFlag

func newFeatureFlags() featureFlagSet {
	flags := featureFlagSet{
		{name: "shared-capacity", description: "hosts divide the statements in flight at a target between them",
			target: func(o *serveOptions) *feature.Mode { return &o.sharedCapacity }},
		{name: "retry-budget", description: "bound retries over all hosts, send returned targets few reads at first, and route reads away from targets that fail some",
			target: func(o *serveOptions) *feature.Mode { return &o.retryBudget }},
		{name: "retry-times", description: "tell refused callers when to return",
			target: func(o *serveOptions) *feature.Mode { return &o.retryTimes }},
	}
	for _, f := range flags {
		f.value = string(feature.Auto)
	}
	return flags
}

// addTo adds the flags to a command.
func (fs featureFlagSet) addTo(cmd *flaggy.Subcommand) {
	for _, f := range fs {
		cmd.String(&f.value, "", f.name, "on the platform: "+f.description+"; on, off, or auto: where the configuration has customers")
	}
}

// apply sets the options to the values of the flags, or returns an error for an unknown one.
func (fs featureFlagSet) apply(o *serveOptions) error {
	for _, f := range fs {
		mode, err := feature.ParseMode(f.value)
		if err != nil {
			return &usageError{"--" + f.name + ": " + err.Error()}
		}
		*f.target(o) = mode
	}
	return nil
}

// contains reports whether an argument is one of the flags, without a value.
func (fs featureFlagSet) contains(arg string) bool {
	return slices.ContainsFunc(fs, func(f *featureFlag) bool { return arg == "--"+f.name })
}

// withFeatureValues adds the value "on" to feature flags without one, which the flag parser
// would take for a flag whose value is missing.
func withFeatureValues(args []string) []string {
	flags := newFeatureFlags()
	result := make([]string, 0, len(args))
	for i, arg := range args {
		hasValue := false
		if i+1 < len(args) {
			_, err := feature.ParseMode(args[i+1])
			hasValue = err == nil
		}
		if flags.contains(arg) && !hasValue {
			arg += "=" + string(feature.On)
		}
		result = append(result, arg)
	}
	return result
}
