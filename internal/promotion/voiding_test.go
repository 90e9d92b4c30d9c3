package promotion

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/steady/steadytest"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// forgetfulVoters are the voters of a group that have restarted: an earlier holder may have sent
// a request. They are opened by a settled proof.
type forgetfulVoters struct {
	mu        sync.Mutex
	announced []topology.TargetID
	opened    confirm.Proof // zero until they are
	refusing  bool          // they don't accept that a request is announced
}

func (v *forgetfulVoters) Seal(context.Context, topology.GroupID, uint64) confirm.Sealing {
	return confirm.Sealing{Closed: true}
}

func (v *forgetfulVoters) Order(_ context.Context, _ topology.GroupID, target topology.TargetID) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.announced = append(v.announced, target)
	return !v.refusing
}

func (v *forgetfulVoters) Dropped(topology.GroupID) []topology.TargetID { return nil }

func (v *forgetfulVoters) Maintain(_ context.Context, _ topology.GroupID, leader confirm.Proof) (needsSettled bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.opened.SentAt.IsZero() && leader.Settled {
		v.opened = leader
	}
	return v.opened.SentAt.IsZero()
}

func (v *forgetfulVoters) state() (announced int, opened confirm.Proof) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.announced), v.opened
}

// laterDuty is a duty that this host took over from another holder.
type laterDuty struct {
	permanentDuty
	mu    sync.Mutex
	token uint64
}

func (d *laterDuty) Token(topology.GroupID) (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.token, true
}

func (d *laterDuty) Renew(context.Context, topology.GroupID) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.token++
	return nil
}

// takeOver runs a holder whose voters have forgotten what earlier holders requested, until play
// returns, in a bubble.
func (g *testGroup) takeOver(t *testing.T, voters *forgetfulVoters, d *laterDuty, play func(t *testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		steadytest.FollowBubble(t)
		g.watch(t, d, func(o *Options) { o.Commits = voters })
		play(t)
	})
}

// awaitOpened waits until the voters are opened, and returns the proof.
func (v *forgetfulVoters) awaitOpened(t *testing.T, within time.Duration) confirm.Proof {
	t.Helper()
	for deadline := time.Now().Add(within); ; time.Sleep(5 * time.Millisecond) {
		if _, opened := v.state(); opened.Settled {
			return opened
		}
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the voters are not opened"))
	}
}

// Guards against a promotion that an earlier holder requested, and that is carried out after
// commits of the old leader have reached callers: no host remembers it.
func TestNewHolderVoidsRequestsThatNobodyRemembers(t *testing.T) {
	g, voters := newTestGroup("a", "b", "c"), &forgetfulVoters{}
	var answeredAt time.Time
	g.onRequest = func(topology.TargetID) Reply { answeredAt = steady.Now(); return Reply{Outcome: Accepted} }
	g.takeOver(t, voters, &laterDuty{token: 7}, func(t *testing.T) {
		opened := voters.awaitOpened(t, unresolvedWindow/2)
		qt.Check(t, g.requests(), qt.DeepEquals, []topology.TargetID{"a"}) // it leads already
		qt.Check(t, opened.SentAt.Sub(answeredAt) > maxEffectDelay, qt.IsTrue, qt.Commentf("%s", opened.SentAt.Sub(answeredAt)))
		qt.Check(t, voters.announced, qt.DeepEquals, []topology.TargetID{"a"})
	})
}

// The voters stay closed while the platform doesn't answer, up to the time after which earlier
// requests can't be carried out any more.
func TestVotersStayClosedWhileNoVoidingRequestIsAnswered(t *testing.T) {
	for _, outcome := range []Outcome{Unanswered, NotDone, Refused} {
		t.Run(outcomeNames[outcome], func(t *testing.T) {
			g, voters, d := newTestGroup("a", "b", "c"), &forgetfulVoters{}, &laterDuty{token: 7}
			var acceptedAt time.Time
			requests := 0
			g.onRequest = func(topology.TargetID) Reply {
				requests++
				if requests < 5 {
					return Reply{Outcome: outcome}
				}
				acceptedAt = steady.Now()
				return Reply{Outcome: Accepted}
			}
			g.takeOver(t, voters, d, func(t *testing.T) {
				opened := voters.awaitOpened(t, unresolvedWindow-time.Second)
				qt.Check(t, opened.SentAt.Sub(acceptedAt) > maxEffectDelay, qt.IsTrue, qt.Commentf("%s", opened.SentAt.Sub(acceptedAt)))
			})
			token, _ := d.Token("g")
			if outcome == Refused {
				qt.Check(t, token, qt.Equals, uint64(11)) // no token is used again after a refusal
			} else {
				qt.Check(t, token, qt.Equals, uint64(7))
			}
		})
	}
}

func TestVotersAreOpenedAfterUnresolvedWindowWithoutAnyAnswer(t *testing.T) {
	g, voters := newTestGroup("a", "b", "c"), &forgetfulVoters{}
	g.onRequest = func(topology.TargetID) Reply { return Reply{Outcome: Unanswered} }
	g.takeOver(t, voters, &laterDuty{token: 7}, func(t *testing.T) {
		began := steady.Now()
		opened := voters.awaitOpened(t, unresolvedWindow+time.Second)
		qt.Check(t, opened.SentAt.Sub(began) >= unresolvedWindow, qt.IsTrue, qt.Commentf("%s", opened.SentAt.Sub(began)))
	})
}

// A later holder has to know of the request, which promotes its target again if another one has
// been promoted by then.
func TestVoidingRequestIsAnnouncedToVotersFirst(t *testing.T) {
	g, voters := newTestGroup("a", "b", "c"), &forgetfulVoters{refusing: true}
	g.takeOver(t, voters, &laterDuty{token: 7}, func(t *testing.T) {
		time.Sleep(unresolvedWindow / 2)
		announced, _ := voters.state()
		qt.Check(t, announced > 2, qt.IsTrue)
		qt.Check(t, g.requests(), qt.HasLen, 0)
	})
}

// After a restart of all hosts, the platform gets few more calls than it takes, and most groups
// get through before they would without it.
func TestVoidingOfManyGroupsLeavesThePlatformRoom(t *testing.T) {
	const groups, callsPerSecond, step = 1000, 50, 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 1))
	type group struct {
		failures int
		at       time.Duration
		done     bool
	}
	waiting := make([]group, groups)
	for i := range waiting {
		waiting[i].at = time.Duration(random.Int64N(int64(time.Second)))
	}
	done, refused, refusedLate, allowance := 0, 0, 0, 0.0
	for now := time.Duration(0); now < unresolvedWindow; now += step {
		allowance = min(allowance+callsPerSecond*step.Seconds(), callsPerSecond)
		for i := range waiting {
			g := &waiting[i]
			switch {
			case g.done || now < g.at:
			case allowance >= 1:
				allowance--
				g.done, done = true, done+1
			default:
				g.failures++
				g.at = now + voidDelay(g.failures, random.Float64())
				refused++
				if now >= unresolvedWindow/2 {
					refusedLate++
				}
			}
		}
	}
	qt.Check(t, done > groups*6/10, qt.IsTrue, qt.Commentf("%d of %d", done, groups))
	qt.Check(t, refused < 8*groups, qt.IsTrue, qt.Commentf("%d", refused)) // 17,878 with the shortest delay each time
	t.Logf("%d of %d groups got through, %d calls refused, %d of them in the second half", done, groups, refused, refusedLate)
}

func TestVoidDelayDoubles(t *testing.T) {
	for failures, longest := range []time.Duration{minVoidDelay, minVoidDelay, 2 * minVoidDelay, 4 * minVoidDelay, maxVoidDelay, maxVoidDelay} {
		qt.Check(t, voidDelay(failures, 0), qt.Equals, longest)
		qt.Check(t, voidDelay(failures, 1), qt.Equals, longest/2)
	}
	qt.Check(t, voidDelay(1<<40, 0), qt.Equals, maxVoidDelay)
}

// While primaries aren't fenced, the platform compares no tokens, and such a request would
// promote the leader again if an earlier one had replaced it.
func TestNothingIsVoidedWhereThePlatformChecksNoTokens(t *testing.T) {
	w := NewWatcher(Options{Group: "g", Duty: permanentDuty{}, Leases: newUnfencedGroup()})
	w.voidEarlierRequests(t.Context()) // without a Promoter
}

func TestUnansweredVoidingRequestMayPromoteItsTargetAgain(t *testing.T) {
	now := steady.Now()
	var v voiding
	v.noteUnanswered("a", 3, now)
	qt.Check(t, v.mayPromoteOther("a", now), qt.IsFalse) // it leads
	qt.Check(t, v.mayPromoteOther("b", now), qt.IsTrue)
	v.noteUnanswered("b", 4, now) // renewing the token alone voids nothing
	qt.Check(t, v.mayPromoteOther("b", now), qt.IsTrue)
	qt.Check(t, v.mayPromoteOther("b", now.Add(unresolvedWindow)), qt.IsFalse)
	v.noteAccepted(4)
	qt.Check(t, v.mayPromoteOther("b", now), qt.IsFalse)
	qt.Check(t, v.mayPromoteOther("a", now), qt.IsTrue) // the one for b may still be carried out
}

// An unanswered request for the leader binds the promotion of another target to a higher token.
func TestPromotionAfterUnansweredVoidingRequestNeedsToken(t *testing.T) {
	r := requestState{checksTokens: true}
	r.noteToken(7, "", time.Unix(1000, 0))
	r.noteVoiding("a", Unanswered, time.Unix(1001, 0))
	qt.Check(t, r.mayResume(time.Unix(1000, 0).Add(unresolvedWindow)), qt.IsFalse)
	r.noteVoiding("a", Accepted, time.Unix(1002, 0))
	qt.Check(t, r.mayResume(time.Unix(1002, 0).Add(maxEffectDelay)), qt.IsFalse)
	qt.Check(t, r.mayResume(time.Unix(1002, 1).Add(maxEffectDelay)), qt.IsTrue)
	qt.Check(t, r.needsToken("a"), qt.IsFalse)
	qt.Check(t, r.needsToken("b"), qt.IsTrue)
}
