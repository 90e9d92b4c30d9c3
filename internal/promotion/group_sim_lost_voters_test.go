package promotion

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/steady/steadytest"
)

// runWithVoters runs one history of a group whose callers hear of what voters recorded.
func runWithVoters(t *testing.T, plan []fault) (c *cluster, recovered bool) {
	synctest.Test(t, func(t *testing.T) {
		steadytest.FollowBubble(t)
		c = newCluster()
		c.checksHeard, c.voters = true, &clusterVoters{}
		recovered = c.runPlan(plan)
	})
	return c, recovered
}

// checkHeardOf plays histories of the given faults, each with more of its own. It fails if a commit
// that callers heard of is lost, or if no target leads in the end.
func checkHeardOf(t *testing.T, faults []fault, histories map[string][]fault) map[string]*cluster {
	t.Helper()
	clusters := map[string]*cluster{}
	for name, more := range histories {
		plan := slices.Concat(faults, more)
		sortPlan(plan)
		c, recovered := runWithVoters(t, plan)
		if c.lost != "" || !recovered {
			t.Errorf("%s: %s; a leader in the end: %v\n%s", name, c.lost, recovered, strings.Join(c.trace, "\n"))
		}
		clusters[name] = c
	}
	return clusters
}

// changesOfHolder are histories in which another host takes the duty beside the voters' end at the given
// time, or before.
func changesOfHolder(end, before time.Duration) map[string][]fault {
	return map[string][]fault{
		"one holder":         nil,
		"the holder changes": {{kind: holderChange, at: end, lasts: time.Second}},
		"it changes before":  {{kind: holderChange, at: before, lasts: time.Second}},
	}
}

// replicaThatOnlyTheLeaderReaches is a history in which t1 receives alone, unseen by all hosts
// and the store, what callers hear of, until the voters and the primary end.
func replicaThatOnlyTheLeaderReaches(more ...fault) []fault {
	return append([]fault{
		{kind: cutFromAll, target: 1, at: 5 * time.Second, lasts: 25 * time.Second},
		{kind: starvation, target: 1, at: 18 * time.Second, lasts: 20 * time.Second}, // t2
		{kind: votersEnd, at: 19 * time.Second},
		{kind: primaryCrash, at: 19 * time.Second, lasts: 16 * time.Second},
	}, more...)
}

// Guards against this failure: a replica that only the leader reached was taken for ended, and
// once the leader and the voters had ended another one was promoted without its commits.
func TestReplicaThatOnlyTheLeaderReachesLosesNoCommitThatCallersHeardOf(t *testing.T) {
	for name, plan := range map[string][]fault{
		"one holder":           replicaThatOnlyTheLeaderReaches(),
		"the holder changes":   replicaThatOnlyTheLeaderReaches(fault{kind: holderChange, at: 19 * time.Second, lasts: time.Second}),
		"it changes before":    replicaThatOnlyTheLeaderReaches(fault{kind: holderChange, at: 9 * time.Second, lasts: time.Second}),
		"a target joins":       replicaThatOnlyTheLeaderReaches(fault{kind: plannedLeave, at: 10 * time.Second, lasts: 20 * time.Second}),
		"the leader is silent": {{kind: cutFromAll, target: 1, at: 5 * time.Second, lasts: 25 * time.Second}, {kind: starvation, target: 1, at: 18 * time.Second, lasts: 20 * time.Second}, {kind: votersEnd, at: 19 * time.Second}, {kind: primaryCrash, silent: true, at: 19 * time.Second, lasts: 16 * time.Second}},
	} {
		sortPlan(plan)
		c, recovered := runWithVoters(t, plan)
		if c.lost != "" || !recovered {
			t.Errorf("%s: %s; a leader in the end: %v\n%s", name, c.lost, recovered, strings.Join(c.trace, "\n"))
		}
	}
}

// Guards against this failure: a replica that was waited for no more, since nothing had been heard of it
// for long, acknowledged alone what callers then heard of.
func TestDroppedReplicaThatOnlyTheLeaderReachesLosesNoCommitThatCallersHeardOf(t *testing.T) {
	faults := []fault{
		{kind: starvation, target: 1, at: 25 * time.Second, lasts: 20 * time.Second}, // t2
		{kind: votersEnd, at: 26 * time.Second},
		{kind: primaryCrash, at: 26 * time.Second, lasts: 16 * time.Second},
	}
	cut := func(lasts time.Duration) fault {
		return fault{kind: cutFromAll, target: 1, at: 5 * time.Second, lasts: lasts}
	}
	clusters := checkHeardOf(t, faults, map[string][]fault{
		"one holder":         {cut(40 * time.Second)},
		"the holder changes": {cut(40 * time.Second), {kind: holderChange, at: 26 * time.Second, lasts: time.Second}},
		"it returns":         {cut(19500 * time.Millisecond)},
	})
	for name, c := range clusters {
		if !strings.Contains(strings.Join(c.trace, "\n"), "dropped targets: [t1]") {
			t.Errorf("%s: t1 isn't dropped", name)
		}
	}
}

// Guards against this failure: a leaving replica whose entry had expired and that refused hosts was
// taken for ended, though the leader reached it and acknowledged commits by it alone.
func TestLeavingReplicaThatOnlyTheLeaderReachesLosesNoCommitThatCallersHeardOf(t *testing.T) {
	announced := fault{kind: announceLeave, target: 1, at: 4500 * time.Millisecond}
	checkHeardOf(t, replicaThatOnlyTheLeaderReaches(announced), changesOfHolder(19*time.Second, 9*time.Second))
}

// Guards against this failure: a replica left, and its successor, which no host had heard of,
// acknowledged alone; once the leader and the voters had ended another one was promoted.
func TestUnseenSuccessorLosesNoCommitThatCallersHeardOf(t *testing.T) {
	faults := []fault{
		{kind: announceLeave, target: 1, at: 5 * time.Second},
		{kind: handOver, target: 1, at: 10 * time.Second, lasts: 15 * time.Second},
		{kind: starvation, target: 0, at: 18 * time.Second, lasts: 20 * time.Second}, // t2
		{kind: votersEnd, at: 19 * time.Second},
		{kind: primaryCrash, at: 19 * time.Second, lasts: 16 * time.Second},
	}
	for name, c := range checkHeardOf(t, faults, changesOfHolder(19*time.Second, 12*time.Second)) {
		if c.promotions == 0 {
			t.Errorf("%s: no promotion", name)
		}
	}
}

// Guards against this failure: a target whose promotion was requested without an answer started
// again empty, and was waited for until the request was carried out.
func TestRequestedTargetThatStartsAgainEmptyLosesNoCommitThatCallersHeardOf(t *testing.T) {
	behindCut := []fault{ // of t1, which is requested: both replicas have received the same
		{kind: lateRequest, at: 4 * time.Second, lasts: 1200 * time.Millisecond, delay: 4 * time.Second},
		{kind: cutFromStore, target: 1, at: 4900 * time.Millisecond, lasts: 8 * time.Second},
		{kind: emptyRestart, target: 0, at: 5200 * time.Millisecond, lasts: 300 * time.Millisecond},
	}
	crash := func(lasts time.Duration) fault {
		return fault{kind: primaryCrash, at: 5050 * time.Millisecond, lasts: lasts}
	}
	checkHeardOf(t, behindCut, map[string][]fault{
		"the leader stays away":    {crash(7 * time.Second)},
		"the leader returns":       {crash(time.Second)},
		"no other replica has all": {crash(time.Second), {kind: starvation, target: 1, at: 4800 * time.Millisecond, lasts: 20 * time.Second}},
	})
}

// Guards against this failure: a replica that had acknowledged alone started again empty, cut from
// the store, and counted with its empty log as long as its former entry stood.
func TestReplicaThatStartsAgainEmptyBehindCutLosesNoCommitThatCallersHeardOf(t *testing.T) {
	faults := []fault{
		{kind: starvation, target: 1, at: 18 * time.Second, lasts: 10 * time.Second}, // t2
		{kind: cutFromStore, target: 1, at: 18900 * time.Millisecond, lasts: 8 * time.Second},
		{kind: emptyRestart, target: 0, at: 18950 * time.Millisecond, lasts: 300 * time.Millisecond}, // t1
		{kind: votersEnd, at: 19 * time.Second},
		{kind: primaryCrash, at: 19 * time.Second, lasts: 10 * time.Second},
	}
	checkHeardOf(t, faults, map[string][]fault{
		"one holder":         nil,
		"the holder changes": {{kind: holderChange, at: 19 * time.Second, lasts: 500 * time.Millisecond}},
	})
}

// A replica that is gone for good, without a word, doesn't keep a leader that leaves from being
// replaced, whether or not the voters remember: the leader tells what it has.
func TestReplicaThatIsGoneDoesNotBlockPlannedChange(t *testing.T) {
	for name, plan := range map[string][]fault{
		"voters answer": {{kind: targetCrash, target: 1, at: 5 * time.Second, lasts: 200 * time.Second}},
		"voters end":    {{kind: targetCrash, target: 1, at: 5 * time.Second, lasts: 200 * time.Second}, {kind: votersEnd, at: 12 * time.Second}},
	} {
		plan = append(plan, fault{kind: plannedLeave, at: 12 * time.Second, lasts: 10 * time.Second}) // the leader
		c, recovered := runWithVoters(t, plan)
		if c.lost != "" || !recovered || c.promotions == 0 {
			t.Errorf("%s: %s; %d promotions; a leader in the end: %v\n%s", name, c.lost, c.promotions, recovered, strings.Join(c.trace, "\n"))
		}
	}
}

// Guards against this failure: a promotion waited for good for a replica that was gone, though another
// one had received everything for long, once the leader and the voters had ended.
func TestReplicaThatIsGoneDoesNotBlockPromotionByLogs(t *testing.T) {
	const forGood = 200 * time.Second
	faults := []fault{
		{kind: targetCrash, target: 1, at: 5 * time.Second, lasts: forGood}, // t1
		{kind: votersEnd, at: 32 * time.Second},
		{kind: primaryCrash, at: 32 * time.Second, lasts: forGood},
	}
	for name, c := range checkHeardOf(t, faults, changesOfHolder(32*time.Second, 10*time.Second)) {
		if c.promotions == 0 {
			t.Errorf("%s: no promotion", name)
		}
	}
}

// Voters end at any moment before the leader, beside cuts, restarts, departures and changes of the
// holder, while a replica is out of sight and another one receives nothing.
func TestLostVotersLoseNoCommitThatCallersHeardOf(t *testing.T) {
	fixSeed(t)
	histories, promotions, recovered, heard := 0, 0, 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		crash := drawTime(rt, "leader ends", 13*time.Second, lastFault)
		plan := append(drawPlan(rt, []faultKind{cutFromAll, cutFromBoth, cutFromHolder, targetCrash, plannedLeave, holderChange, lateRequest, votersEnd}),
			fault{kind: cutFromAll, target: 1, at: firstFault, lasts: drawTime(rt, "cut lasts", 5*time.Second, 30*time.Second)},
			fault{kind: starvation, target: 1, at: crash - drawTime(rt, "starved before", 0, 2*time.Second), lasts: drawTime(rt, "starved for", 2*time.Second, 10*time.Second)},
			fault{kind: votersEnd, at: crash - drawTime(rt, "voters end before", 0, 2*time.Second)},
			fault{kind: primaryCrash, at: crash, lasts: drawTime(rt, "crash lasts", 2*time.Second, 10*time.Second), silent: rapid.Bool().Draw(rt, "silent")},
		)
		sortPlan(plan)
		histories++
		c, leads := runWithVoters(t, plan)
		promotions, heard = promotions+c.promotions, heard+len(c.heard)
		if leads {
			recovered++
		}
		if c.lost != "" {
			rt.Logf("%s", strings.Join(c.trace, "\n"))
			rt.Fatalf("%s", c.lost)
		}
	})
	t.Logf("%d histories, %d promotions, a leader in the end of %d, %d commits heard of", histories, promotions, recovered, heard)
}
