package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/admin"
	"nettlewalk.example/nettlewalk/internal/adminclient"
	"nettlewalk.example/nettlewalk/internal/result"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
	"nettlewalk.example/nettlewalk/test/testbed"
)

// Operators at every host edit one version of a template at once, while the
// platform loses answers. One of them wins, the others learn of its version,
// and the winner's edit is in force everywhere.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	plan := testbed.Small()
	plan.HostsPerDomain = 2
	bed, ctx := start(t, plan)
	name := string(customerOf(bed))
	v := &versions{bed: bed, name: name, highest: map[string]uint64{}}
	const races, lostAnswers = 5, 2
	for race := range races {
		object, err := operatorOf(bed.Hosts[0]).Get(ctx, adminclient.Templates, name)
		qt.Assert(t, err, qt.IsNil)
		v.wait(t, ctx, object.Version, bed.Hosts...)
		qt.Assert(t, bed.Platform.SetFaults(ctx, standin.Faults{DropAnswers: lostAnswers}), qt.IsNil)
		won := raceOperators(t, ctx, bed, object, race)
		v.wait(t, ctx, won, bed.Hosts...)
	}
	qt.Check(t, v.reverted, qt.HasLen, 0)
}

// raceOperators makes one edit at each host and returns the winner's version.
func raceOperators(t *testing.T, ctx context.Context, bed *testbed.Bed, object *admin.Object, race int) uint64 {
	t.Helper()
	versions := make([]uint64, len(bed.Hosts))
	errs := make([]error, len(bed.Hosts))
	var group sync.WaitGroup
	for i, host := range bed.Hosts {
		value, err := adminclient.Assign(object.Value, []string{fmt.Sprintf("parameters.queue=%d", 1000+100*race+i)})
		qt.Assert(t, err, qt.IsNil)
		group.Go(func() {
			edited, err := operatorOf(host).Put(ctx, adminclient.Templates, object.Name, object.Version, value)
			versions[i], errs[i] = edited.Version, err
		})
	}
	group.Wait()
	won := uint64(0)
	for i, err := range errs {
		if err == nil {
			qt.Check(t, won, qt.Equals, uint64(0), qt.Commentf("two winners"))
			won = versions[i]
			continue
		}
		var failure *admin.Failure
		qt.Assert(t, errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, failure.Code, qt.Equals, result.VersionConflict, qt.Commentf("%v", err))
	}
	qt.Assert(t, won > 0, qt.IsTrue, qt.Commentf("nobody won: %v", errs))
	return won
}
