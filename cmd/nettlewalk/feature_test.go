package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/feature"
)

// A feature must be off in deployments without customers unless it is enabled, and can be
// turned off in the others.
func TestFeatureIsAutoByCustomers(t *testing.T) {
	with := &catalog.Configuration{}
	with.SetCustomers([]catalog.Customer{{ID: "acme"}})
	for _, c := range []*catalog.Configuration{nil, {}} {
		qt.Check(t, feature.Auto.Enabled(hasCustomers(c)), qt.IsFalse)
		qt.Check(t, feature.On.Enabled(hasCustomers(c)), qt.IsTrue)
	}
	qt.Check(t, feature.Auto.Enabled(hasCustomers(with)), qt.IsTrue)
	qt.Check(t, feature.Off.Enabled(hasCustomers(with)), qt.IsFalse)
	flags := newFeatureFlags()
	var options serveOptions
	qt.Check(t, flags.apply(&options), qt.IsNil)
	qt.Check(t, options, qt.Equals, serveOptions{sharedCapacity: feature.Auto, retryBudget: feature.Auto, retryTimes: feature.Auto})
	flags[0].value = "yes"
	qt.Check(t, flags.apply(&options), qt.IsNotNil)
}

// A feature flag without a value means "on"; the flag parser would refuse it or take the next
// argument as its value.
func TestFeatureFlagWithoutValueMeansOn(t *testing.T) {
	for _, test := range []struct{ args, want []string }{
		{[]string{"serve", "--retry-budget"}, []string{"serve", "--retry-budget=on"}},
		{[]string{"serve", "--retry-budget", "off"}, []string{"serve", "--retry-budget", "off"}},
		{[]string{"serve", "--retry-budget=auto", "-c", "x"}, []string{"serve", "--retry-budget=auto", "-c", "x"}},
		{[]string{"serve", "--retry-budget", "-m", "1"}, []string{"serve", "--retry-budget=on", "-m", "1"}},
	} {
		qt.Check(t, withFeatureValues(test.args), qt.DeepEquals, test.want)
	}
}
