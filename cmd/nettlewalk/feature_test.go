package main

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
)

// A feature must be off in deployments without customers unless it is enabled, and can be
// turned off in the others.
func TestFeatureIsAutoByCustomers(t *testing.T) {
	with := &catalog.Configuration{}
	with.SetCustomers([]catalog.Customer{{ID: "acme"}})
	for _, c := range []*catalog.Configuration{nil, {}} {
		qt.Check(t, featureAuto.enabled(c), qt.IsFalse)
		qt.Check(t, featureOn.enabled(c), qt.IsTrue)
	}
	qt.Check(t, featureAuto.enabled(with), qt.IsTrue)
	qt.Check(t, featureOff.enabled(with), qt.IsFalse)
	qt.Check(t, feature("yes").validate("--retry-budget"), qt.IsNotNil)
	qt.Check(t, featureAuto.validate("--retry-budget"), qt.IsNil)
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
