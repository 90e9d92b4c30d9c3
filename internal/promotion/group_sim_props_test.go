package promotion

import (
	"cmp"
	"flag"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/steady/steadytest"
)

// runPlan runs one history and reports whether the group has a leader again in the end.
func (c *cluster) runPlan(plan []fault) (recovered bool) {
	type ending struct {
		at  time.Duration
		end func()
	}
	var endings []ending
	c.tick() // the targets register
	c.startHost(0)
	time.Sleep(300 * time.Microsecond) // ticks never coincide with the host's timers
	for at := time.Duration(0); at < faultsEnd+recoveryLimit && c.lost == ""; at += clusterTick {
		for len(plan) > 0 && plan[0].at <= at {
			f := plan[0]
			plan = plan[1:]
			endings = append(endings, ending{f.at + f.lasts, c.begin(f)})
			slices.SortStableFunc(endings, func(a, b ending) int { return cmp.Compare(a.at, b.at) })
		}
		for len(endings) > 0 && endings[0].at <= at {
			c.mu.Lock()
			endings[0].end()
			c.mu.Unlock()
			endings = endings[1:]
		}
		c.tick()
		if c.host != nil && c.ticks%4 == 0 {
			c.host.hear()
		}
		if at > faultsEnd && c.leads() {
			recovered = true
			break
		}
		time.Sleep(clusterTick)
	}
	c.stopHost()
	c.watchers.Wait() // a bubble's time stands still once its first goroutine has ended
	return recovered
}

// leads reports whether the group has a leader that receives.
func (c *cluster) leads() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader.running
}

// runHistory runs one history in a bubble of its own.
func runHistory(t *testing.T, plan []fault) (c *cluster, recovered bool) {
	synctest.Test(t, func(t *testing.T) {
		steadytest.FollowBubble(t)
		c = newCluster()
		recovered = c.runPlan(plan)
	})
	return c, recovered
}

// checkHistory runs one given history.
func checkHistory(t *testing.T, plan ...fault) {
	c, recovered := runHistory(t, plan)
	switch {
	case c.lost != "":
		t.Fatalf("%s\n%s", c.lost, strings.Join(c.trace, "\n"))
	case c.promotions == 0 || !recovered:
		t.Fatalf("%d promotions, a leader in the end: %v\n%s", c.promotions, recovered, strings.Join(c.trace, "\n"))
	}
}

// checkHistories runs histories with faults of the given kinds and fails if a promotion
// loses an acknowledged commit.
func checkHistories(t *testing.T, kinds ...faultKind) {
	fixSeed(t)
	histories, promotions, recovered := 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, kinds)
		histories++
		c, leads := runHistory(t, plan)
		promotions += c.promotions
		if leads {
			recovered++
		}
		if c.lost != "" {
			rt.Logf("%s", strings.Join(c.trace, "\n"))
			rt.Fatalf("%s", c.lost)
		}
	})
	t.Logf("%d histories, %d promotions, a leader in the end of %d", histories, promotions, recovered)
}

// fixSeed makes a run without -rapid.seed repeatable. The failing history is in the
// test's output, so that it is kept in no file.
func fixSeed(t *testing.T) {
	for name, value := range map[string]string{"rapid.seed": "33", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"} {
		f := flag.Lookup(name)
		if f.Value.String() != f.DefValue {
			continue // set by hand
		}
		if err := f.Value.Set(value); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := f.Value.Set(f.DefValue); err != nil {
				t.Error(err)
			}
		})
	}
}

// A primary crashes while a replica lacks commits.
func TestCrashedPrimaryLosesNoAcknowledgedCommit(t *testing.T) { checkHistories(t) }

// A replica that starts again isn't paused any more.
func TestRestartedTargetLosesNoAcknowledgedCommit(t *testing.T) { checkHistories(t, targetCrash) }

// A replica that starts again may have lost its log.
func TestEmptiedReplicaLosesNoAcknowledgedCommit(t *testing.T) { checkHistories(t, emptyRestart) }

// A target whose registration has expired may receive commits.
func TestTargetCutFromStoreLosesNoAcknowledgedCommit(t *testing.T) { checkHistories(t, cutFromStore) }

// A target that the holder doesn't reach can't be paused.
func TestTargetCutFromHolderLosesNoAcknowledgedCommit(t *testing.T) { checkHistories(t, cutFromHolder) }

// A target that neither the holder nor the store hears of may receive commits.
func TestTargetCutFromBothLosesNoAcknowledgedCommit(t *testing.T) { checkHistories(t, cutFromBoth) }

// A replica leaves, and its log with it, while a new one catches up.
func TestPlannedLeaveLosesNoAcknowledgedCommit(t *testing.T) { checkHistories(t, plannedLeave) }

// A new holder has seen only the present register.
func TestRestartedHolderLosesNoAcknowledgedCommit(t *testing.T) { checkHistories(t, holderChange) }

// A request is carried out seconds after its answer was lost.
func TestLateRequestLosesNoAcknowledgedCommit(t *testing.T) { checkHistories(t, lateRequest) }

// All kinds of faults overlap.
func TestFaultsTogetherLoseNoAcknowledgedCommit(t *testing.T) {
	checkHistories(t, targetCrash, emptyRestart, cutFromStore, cutFromHolder, cutFromBoth, plannedLeave, holderChange, lateRequest)
}

// The registration of a replica expires, because it is cut off from the store, and then
// another host takes the duty, which has never heard of that replica.
func TestReplicaUnknownToNewHolderLosesNoAcknowledgedCommit(t *testing.T) {
	checkHistory(t,
		fault{kind: cutFromStore, target: 1, at: 5 * time.Second, lasts: 15 * time.Second},
		fault{kind: holderChange, at: 9 * time.Second, lasts: 2 * time.Second},
		fault{kind: starvation, target: 1, at: 12 * time.Second, lasts: 10 * time.Second}, // t2
		fault{kind: primaryCrash, at: 14 * time.Second, lasts: 12 * time.Second},
	)
}

// A replica is paused for a request that gets no answer. The old primary returns, and
// the replica starts again before the request is carried out.
func TestReplicaRestartedBeforeLateRequestLosesNoAcknowledgedCommit(t *testing.T) {
	checkHistory(t,
		fault{kind: lateRequest, at: 4 * time.Second, lasts: 3 * time.Second, delay: 8 * time.Second},
		fault{kind: primaryCrash, at: 5 * time.Second, lasts: 700 * time.Millisecond, silent: true},
		fault{kind: targetCrash, target: 1, at: 8 * time.Second, lasts: time.Second},
		fault{kind: starvation, target: 1, at: 12 * time.Second, lasts: 3 * time.Second}, // t2, the request's target
	)
}
