package confirm

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/steady/steadytest"
)

// action is one step of a history.
type action struct {
	kind     string
	host     int
	other    int           // host or target
	wait     time.Duration // until the next action, or the effect of an order
	answered bool
}

var actionKinds = []string{"commit", "commit", "commit", "learn", "learn", "maintain", "maintain", "maintain", "promote", "promote", "duty", "restart", "restart all", "down", "cut", "heal", "store", "answers", "late calls", "late calls", "follow", "wait"}

func drawAction(hosts int, kinds []string) *rapid.Generator[action] {
	return rapid.Custom(func(t *rapid.T) action {
		return action{
			kind: rapid.SampledFrom(kinds).Draw(t, "kind"), host: rapid.IntRange(0, hosts-1).Draw(t, "host"),
			other: rapid.IntRange(0, hosts-1).Draw(t, "other"), answered: rapid.Bool().Draw(t, "answered"),
			wait: time.Duration(rapid.IntRange(1, int(lateWindow.Milliseconds())).Draw(t, "wait ms")) * time.Millisecond,
		}
	})
}

func (f *fleet) perform(a action) {
	h := f.hosts[a.host]
	if a.kind == "maintain" || a.kind == "promote" {
		h = f.hosts[f.claim.holder]
	}
	switch a.kind {
	case "learn":
		h.learn()
	case "follow":
		h.leadsTerm = f.term
	case "duty":
		h.takeDuty()
	case "restart":
		h.start()
		f.tracef("h%d restarts", h.index)
	case "restart all":
		for _, other := range f.hosts {
			other.start()
		}
		f.tracef("all hosts restart")
	case "down":
		f.mu.Lock()
		h.down, h.token = true, 0
		f.mu.Unlock()
		f.tracef("h%d is down", h.index)
	case "cut":
		f.mu.Lock()
		f.cut[[2]int{min(a.host, a.other), max(a.host, a.other)}] = true
		f.mu.Unlock()
	case "heal":
		f.heal()
	case "late calls":
		f.mu.Lock()
		f.lateCalls = !f.lateCalls
		f.mu.Unlock()
	case "store":
		f.storeDown = !f.storeDown
	case "answers":
		f.loseAnswers = !f.loseAnswers
	case "wait":
		time.Sleep(a.wait)
	}
	if h.down {
		return
	}
	switch a.kind {
	case "commit":
		h.commit()
	case "maintain":
		h.maintain(a.wait, a.answered)
	case "promote":
		h.promote(a.other%3, a.wait, a.answered)
	}
}

func (f *fleet) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.cut)
}

// play performs the actions in a bubble.
func (f *fleet) play(plan []action) {
	f.hosts[0].maintain(0, true)
	for _, h := range f.hosts {
		h.learn()
	}
	for _, a := range plan {
		f.perform(a)
		f.takeEffect()
		if f.lost != "" {
			break
		}
	}
	f.heal()
	f.mu.Lock()
	f.lateCalls = false
	f.mu.Unlock()
	time.Sleep(lateWindow) // rounds end
}

// Whatever hosts, the store and the network do, a promotion keeps every commit that a host
// has passed on, also one that no known replica has.
func TestPromotionKeepsCommitsThatCallersHeardOf(t *testing.T) {
	checkHistories(t, func(t *rapid.T, hosts int) []action {
		return rapid.SliceOfN(drawAction(hosts, actionKinds), 10, 120).Draw(t, "plan")
	})
}

// Guards against commits that are lost to a request without an answer which is carried out
// after every host, or most voters, have restarted: no host remembers it.
func TestRequestThatNoHostRemembersLosesNoCommit(t *testing.T) {
	checkHistories(t, drawForgottenRequests)
}

// drawForgottenRequests draws histories in which hosts restart after requests that are carried
// out late.
func drawForgottenRequests(t *rapid.T, hosts int) []action {
	plan := rapid.SliceOfN(drawAction(hosts, actionKinds), 0, 20).Draw(t, "before")
	for range rapid.IntRange(1, 4).Draw(t, "rounds") {
		for range rapid.IntRange(1, 2).Draw(t, "requests") {
			request := drawAction(hosts, []string{"promote"}).Draw(t, "request")
			request.answered = rapid.IntRange(0, 3).Draw(t, "answered") == 0
			plan = append(plan, request)
			plan = append(plan, rapid.SliceOfN(drawAction(hosts, actionKinds), 0, 2).Draw(t, "between")...)
		}
		restarts := []string{"restart", "restart all"}
		plan = append(plan, rapid.SliceOfN(drawAction(hosts, restarts), 1, 4).Draw(t, "restarts")...)
		plan = append(plan, drawAction(hosts, []string{"duty"}).Draw(t, "duty"))
		after := []string{"maintain", "maintain", "maintain", "learn", "commit", "commit", "wait", "follow", "duty", "promote"}
		plan = append(plan, rapid.SliceOfN(drawAction(hosts, after), 10, 50).Draw(t, "after")...)
	}
	return plan
}

// checkHistories fails if a promotion loses a commit that a host has passed on.
func checkHistories(t *testing.T, draw func(t *rapid.T, hosts int) []action) {
	passed, terms := 0, uint64(0)
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(2, 7).Draw(rt, "hosts")
		plan := draw(rt, hosts)
		var f *fleet
		synctest.Test(t, func(t *testing.T) {
			steadytest.FollowBubble(t)
			f = newFleet(hosts)
			f.play(plan)
		})
		passed, terms = passed+len(f.passed), terms+f.term-1
		if f.lost != "" {
			rt.Fatalf("%s\n%s", f.lost, strings.Join(f.trace, "\n"))
		}
	})
	t.Logf("%d commits passed on, %d promotions", passed, terms)
}
