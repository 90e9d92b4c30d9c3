package main

import (
	"slices"

	"nettlewalk.example/nettlewalk/internal/catalog"
)

// feature is the value of a flag that enables a feature on the users' platform.
type feature string

const (
	featureOn   feature = "on"
	featureOff  feature = "off"
	featureAuto feature = "auto" // where the configuration has customers
)

// validate returns an error for an unknown value of the named flag.
func (f feature) validate(flag string) error {
	if !slices.Contains([]feature{featureOn, featureOff, featureAuto}, f) {
		return &usageError{flag + " " + string(f) + ": must be on, off or auto"}
	}
	return nil
}

// enabled reports whether the feature is enabled with the configuration, which may be nil.
func (f feature) enabled(c *catalog.Configuration) bool {
	return f == featureOn || f == featureAuto && hasCustomers(c)
}

// featureFlags are the flags that mean "on" if they have no value.
var featureFlags = []string{"--retry-budget"}

// withFeatureValues adds the value "on" to feature flags without one, which the flag parser
// would take for a flag whose value is missing.
func withFeatureValues(args []string) []string {
	result := make([]string, 0, len(args))
	for i, arg := range args {
		values := []feature{featureOn, featureOff, featureAuto}
		hasValue := i+1 < len(args) && slices.Contains(values, feature(args[i+1]))
		if slices.Contains(featureFlags, arg) && !hasValue {
			arg += "=" + string(featureOn)
		}
		result = append(result, arg)
	}
	return result
}
