package promotion

import (
	"strings"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/steady/steadytest"
)

// unseenJoinHistories is the number of histories with targets that join unseen.
const unseenJoinHistories = 300

// unseenJoinOutcome counts histories with targets that join unseen.
type unseenJoinOutcome struct {
	lost              int // with a promotion that lost a commit that callers had heard of
	promoted          int // with promotions
	recovered         int // with a leader in the end
	heard             int // commits that callers heard of, of all histories
	firstLost, report string
}

// runUnseenJoins runs the histories, with or without voters that record commits before
// callers hear of them. The plans are the same.
func runUnseenJoins(t *testing.T, confirmed bool) (o unseenJoinOutcome) {
	plans := rapid.Custom(func(t *rapid.T) []fault {
		plan := drawPlan(t, []faultKind{unseenJoin, cutFromHolder, targetCrash, plannedLeave, holderChange, lateRequest})
		joins := drawTime(t, "joins", firstFault, lastFault)
		plan = append(plan, fault{kind: unseenJoin, at: joins, lasts: faultsEnd - joins})
		sortPlan(plan)
		return plan
	})
	for seed := range unseenJoinHistories {
		var c *cluster
		var recovered bool
		synctest.Test(t, func(t *testing.T) {
			steadytest.FollowBubble(t)
			c = newCluster()
			c.checksHeard = true
			if confirmed {
				c.voters = &clusterVoters{}
			}
			recovered = c.runPlan(plans.Example(seed))
		})
		o.heard += len(c.heard)
		if c.promotions > 0 {
			o.promoted++
		}
		if recovered {
			o.recovered++
		}
		if c.lost != "" {
			o.lost++
			if o.firstLost == "" {
				o.firstLost, o.report = c.lost, strings.Join(c.trace, "\n")
			}
		}
	}
	t.Logf("%d histories: %d with promotions, %d with lost commits, a leader in the end of %d, %d commits heard of", unseenJoinHistories, o.promoted, o.lost, o.recovered, o.heard)
	return o
}

// A target that nobody has heard of acknowledges commits. Callers hear of them once voters
// have recorded them.
func TestUnseenJoinLosesNoCommitThatCallersHeardOf(t *testing.T) {
	o := runUnseenJoins(t, true)
	if o.lost > 0 {
		t.Errorf("%s\n%s", o.firstLost, o.report)
	}
	if o.promoted < unseenJoinHistories/2 {
		t.Errorf("only %d histories have promotions", o.promoted)
	}
}

// Without voters the same histories lose commits, so they do put the voters to the test.
func TestUnseenJoinLosesCommitsWithoutConfirmation(t *testing.T) {
	if o := runUnseenJoins(t, false); o.lost == 0 {
		t.Error("no history has lost a commit")
	}
}
