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

// Operators edit the same version of a template concurrently, one through each
// host, while the platform drops answers. Exactly one edit succeeds, the others
// fail with a version conflict, and the successful edit takes effect on all hosts.
func TestConcurrentEditsHaveOneWinner(t *testing.T) {
	plan := testbed.Small()
	plan.HostsPerDomain = 2
	bed, ctx := start(t, plan)
	name := string(customerOf(bed))
	v := &versionWatcher{bed: bed, name: name, highest: map[string]uint64{}}
	const rounds, droppedAnswers = 5, 2
	for round := range rounds {
		object, err := operatorOf(bed.Hosts[0]).Get(ctx, adminclient.Templates, name)
		qt.Assert(t, err, qt.IsNil)
		v.waitInForce(t, ctx, object.Version, bed.Hosts...)
		qt.Assert(t, bed.Platform.SetFaults(ctx, standin.Faults{DropResponses: droppedAnswers}), qt.IsNil)
		winner := editConcurrently(t, ctx, bed, object, round)
		v.waitInForce(t, ctx, winner, bed.Hosts...)
	}
	qt.Check(t, v.regressions, qt.HasLen, 0)
}

// editConcurrently makes one edit through each host at the same time and returns
// the version of the edit that succeeded.
func editConcurrently(t *testing.T, ctx context.Context, bed *testbed.Bed, object *admin.Object, round int) uint64 {
	t.Helper()
	versions := make([]uint64, len(bed.Hosts))
	errs := make([]error, len(bed.Hosts))
	var wg sync.WaitGroup
	for i, host := range bed.Hosts {
		value, err := adminclient.Assign(object.Value, []string{fmt.Sprintf("parameters.queue=%d", 1000+100*round+i)})
		qt.Assert(t, err, qt.IsNil)
		wg.Go(func() {
			edited, err := operatorOf(host).Put(ctx, adminclient.Templates, object.Name, object.Version, value)
			versions[i], errs[i] = edited.Version, err
		})
	}
	wg.Wait()
	winner := uint64(0)
	for i, err := range errs {
		if err == nil {
			qt.Check(t, winner, qt.Equals, uint64(0), qt.Commentf("two concurrent edits succeeded"))
			winner = versions[i]
			continue
		}
		var failure *admin.Failure
		qt.Assert(t, errors.As(err, &failure), qt.IsTrue, qt.Commentf("%v", err))
		qt.Check(t, failure.Code, qt.Equals, result.VersionConflict, qt.Commentf("%v", err))
	}
	qt.Assert(t, winner > 0, qt.IsTrue, qt.Commentf("no edit succeeded: %v", errs))
	return winner
}
