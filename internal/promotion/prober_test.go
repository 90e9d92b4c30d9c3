package promotion

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// failingDialer fails every dial with the same error.
type failingDialer struct{ failure statement.DialError }

func (d *failingDialer) Dial(context.Context, topology.Target, topology.CustomerID) (statement.Conn, error) {
	return nil, &d.failure
}

// unreachedByAll is the evidence of hosts none of which reaches a target in domain b.
func unreachedByAll(context.Context, topology.Target) *EndEvidence {
	return &EndEvidence{AskedAt: steady.Now(), Domains: []topology.Domain{"a", "b"}, Answers: []HostAnswer{
		{Host: "a1", Domain: "a", Result: TargetSilent}, {Host: "b1", Domain: "b", Result: TargetSilent},
	}}
}

// probeWithEvidence probes a target, asks other hosts if need be and takes up their
// answers. ask may be nil.
func probeWithEvidence(pr *prober, ask AskHosts) Reach {
	pr.target.Domain = "b"
	pr.endCheck.ask, pr.endCheck.leaderDomain = ask, "a"
	_, reach := pr.command(context.Background(), statement.Status, 0)
	for pr.endCheck.result != nil && len(pr.endCheck.result) == 0 {
		time.Sleep(time.Millisecond) // until the answers have arrived
	}
	pr.takeUpEvidence(steady.Now(), "g", logr.Discard())
	return reach
}

// Guards against this failure: a leaving replica refused connections for three
// seconds, but acknowledged commits until the registry dropped it. A network
// partition may refuse connections, too. A position that the leader reports after
// such a refusal is therefore not an upper bound of the replica's log. Nor does it prove anything
// that no host reaches the target: it is presumed to have ended, and counts.
func TestConnectionRefusalAloneIsNoDeath(t *testing.T) {
	for _, test := range []struct {
		name            string
		outcome         statement.DialOutcome
		leaving         bool
		unregisteredFor time.Duration
		presumed        bool
		proved          bool
	}{
		{"refused while registered", statement.DialRefused, false, 0, false, false},
		{"refused while leaving", statement.DialRefused, true, 0, false, false},
		{"refused after it left", statement.DialRefused, true, time.Millisecond, false, false},
		{"refused long after it left", statement.DialRefused, true, unregisteredDeadAfter + 1, true, false},
		{"refused and recently unregistered", statement.DialRefused, false, unregisteredDeadAfter, false, false},
		{"refused and unregistered for long", statement.DialRefused, false, unregisteredDeadAfter + 1, true, false},
		{"unresponsive after it left", statement.DialTimedOut, true, time.Millisecond, false, false},
		{"unresponsive while leaving", statement.DialTimedOut, true, unregisteredDeadAfter, false, false},
		{"unresponsive and unregistered for long", statement.DialTimedOut, false, unregisteredDeadAfter + 1, true, false},
		{"accepted without an answer and unregistered for long", statement.DialNoHandshake, false, unregisteredDeadAfter + 1, false, false},
	} {
		dialer := &failingDialer{statement.DialError{Outcome: test.outcome, Cause: context.DeadlineExceeded}}
		pr := &prober{dialer: dialer, target: topology.Target{ID: "r", Leaving: test.leaving}, unregisteredFor: test.unregisteredFor}
		reach := probeWithEvidence(pr, unreachedByAll)
		qt.Check(t, reach, qt.Not(qt.Equals), Answered, qt.Commentf(test.name))
		qt.Check(t, !pr.presumedSince.IsZero(), qt.Equals, test.presumed, qt.Commentf(test.name))
		qt.Check(t, !pr.endedSince.IsZero(), qt.Equals, test.proved, qt.Commentf(test.name))
		pr.notePosition(pos(1, 9), steady.Now())
		qt.Check(t, !pr.logUpperBound.IsZero(), qt.Equals, test.proved, qt.Commentf(test.name))
	}
}

// A registry entry that expired during a store outage comes back if its target is
// alive. The target's log may have grown in between, although it didn't respond to
// this host.
func TestReregistrationClearsDeath(t *testing.T) {
	for _, outcome := range []statement.DialOutcome{statement.DialRefused, statement.DialTimedOut} {
		dialer := &failingDialer{statement.DialError{Outcome: outcome, Cause: context.DeadlineExceeded}}
		pr := &prober{dialer: dialer, target: topology.Target{ID: "r"}}
		pr.updateRegistration(unregisteredDeadAfter+1, ownAddress)
		probeWithEvidence(pr, unreachedByAll)
		qt.Assert(t, pr.presumedSince.IsZero(), qt.IsFalse)
		pr.endedSince, pr.logUpperBound = steady.Now(), pos(1, 5)
		pr.updateRegistration(0, ownAddress)
		qt.Check(t, pr.presumedSince.IsZero(), qt.IsTrue)
		qt.Check(t, pr.endedSince.IsZero(), qt.IsTrue)
		qt.Check(t, pr.logUpperBound.IsZero(), qt.IsTrue)
		_, reach := pr.command(context.Background(), statement.Status, 0)
		qt.Check(t, reach == Dead, qt.Equals, outcome == statement.DialRefused)
	}
}

// A dial is misrouted if another target answers at the address. Whether that target
// is registered decides between Reassigned and UnregisteredTarget.
func TestMisroutedDialIdentifiesOccupant(t *testing.T) {
	dialer := &failingDialer{statement.DialError{Outcome: statement.DialRejected, Code: statement.Misrouted, Cause: context.DeadlineExceeded}}
	pr := &prober{dialer: dialer, target: topology.Target{ID: "r"}}
	_, reach := pr.command(context.Background(), statement.Status, 0)
	qt.Check(t, reach, qt.Equals, UnregisteredTarget)
	pr.reassigned = true
	_, reach = pr.command(context.Background(), statement.Status, 0)
	qt.Check(t, reach, qt.Equals, Reassigned)
}

// Guards against this failure: a target that was missing in the registry for four seconds and
// didn't answer this host counted as ended, though it was only cut off from both.
func TestSilenceAloneIsNoDeath(t *testing.T) {
	reachedByOne := func(ctx context.Context, target topology.Target) *EndEvidence {
		e := unreachedByAll(ctx, target)
		e.Answers = append(e.Answers, HostAnswer{Host: "b2", Domain: "b", Result: TargetAlive})
		return e
	}
	for _, outcome := range []statement.DialOutcome{statement.DialRefused, statement.DialTimedOut} {
		for name, ask := range map[string]AskHosts{"nobody asked": nil, "reached by one": reachedByOne} {
			dialer := &failingDialer{statement.DialError{Outcome: outcome, Cause: context.DeadlineExceeded}}
			pr := &prober{dialer: dialer, target: topology.Target{ID: "r"}, unregisteredFor: unregisteredDeadAfter + 1}
			probeWithEvidence(pr, ask)
			qt.Check(t, pr.presumedSince.IsZero() && pr.endedSince.IsZero(), qt.IsTrue, qt.Commentf("%s, %s", outcome, name))
		}
	}
}

// A target that was registered again, or answered, while other hosts were asked may have received
// commits since they dialed it. The same holds for a leader in another failure domain, whose
// hosts may reach the target.
func TestOutdatedEvidenceIsDiscarded(t *testing.T) {
	for name, happens := range map[string]func(*prober){
		"registered again": func(pr *prober) {
			pr.updateRegistration(0, ownAddress)
			pr.updateRegistration(unregisteredDeadAfter+1, ownAddress)
		},
		"answered":   func(pr *prober) { pr.noteAlive() },
		"new leader": func(pr *prober) { pr.endCheck.leaderDomain = "c" },
	} {
		dialer := &failingDialer{statement.DialError{Outcome: statement.DialTimedOut, Cause: context.DeadlineExceeded}}
		pr := &prober{dialer: dialer, target: topology.Target{ID: "r", Domain: "b"}, unregisteredFor: unregisteredDeadAfter + 1, endCheck: endCheck{ask: unreachedByAll, leaderDomain: "a"}}
		pr.command(context.Background(), statement.Status, 0)
		qt.Assert(t, pr.endCheck.result, qt.IsNotNil)
		for len(pr.endCheck.result) == 0 {
			time.Sleep(time.Millisecond) // until the answers have arrived
		}
		happens(pr)
		pr.takeUpEvidence(steady.Now(), "g", logr.Discard())
		qt.Check(t, pr.presumedSince.IsZero() && pr.endedSince.IsZero(), qt.IsTrue, qt.Commentf(name))
	}
}

// An unregistered target that doesn't respond isn't dialed in each step of a promotion attempt,
// whether or not it is proved to have ended: each dial takes until its timeout.
func TestUnregisteredSilentTargetIsDialedSeldom(t *testing.T) {
	for _, test := range []struct {
		ask    AskHosts
		proved bool
		want   Reach
	}{{nil, false, Unresponsive}, {unreachedByAll, false, Unresponsive}, {unreachedByAll, true, Dead}} {
		dialer := &failingDialer{statement.DialError{Outcome: statement.DialTimedOut, Cause: context.DeadlineExceeded}}
		pr := &prober{dialer: dialer, target: topology.Target{ID: "r"}, unregisteredFor: unregisteredDeadAfter + 1}
		before := steady.Now()
		probeWithEvidence(pr, test.ask)
		pr.recordEnd(test.proved, steady.Now())
		qt.Check(t, pr.redialAt.Sub(before) >= deadRecheckInterval, qt.IsTrue)
		pr.dialer = nil // a dial would panic
		_, reach := pr.command(context.Background(), statement.Status, 0)
		qt.Check(t, reach, qt.Equals, test.want)
		pr.updateRegistration(0, ownAddress)
		qt.Check(t, pr.redialAt.IsZero(), qt.IsTrue)
	}
}

// The presumed end counts from the time when all answers are in, and is no bound of the log.
func TestEndCountsFromTheAnswers(t *testing.T) {
	dialer := &failingDialer{statement.DialError{Outcome: statement.DialRefused, Cause: context.DeadlineExceeded}}
	pr := &prober{dialer: dialer, target: topology.Target{ID: "r"}, unregisteredFor: unregisteredDeadAfter + 1}
	var answeredAt time.Time
	probeWithEvidence(pr, func(ctx context.Context, target topology.Target) *EndEvidence {
		e := unreachedByAll(ctx, target)
		time.Sleep(20 * time.Millisecond)
		answeredAt = steady.Now()
		return e
	})
	qt.Check(t, pr.presumedSince.After(answeredAt), qt.IsTrue)
	since := pr.presumedSince
	probeWithEvidence(pr, unreachedByAll)
	qt.Check(t, pr.presumedSince, qt.Equals, since)
	pr.notePosition(pos(1, 9), steady.Now())
	qt.Check(t, pr.logUpperBound.IsZero(), qt.IsTrue)
}

// Guards against this failure: a target that was registered and went missing again between two looks
// at the registry was still taken for ended since its first absence. It may have received
// commits in between.
func TestRegistrationBetweenTwoLooksClearsDeath(t *testing.T) {
	dialer := &failingDialer{statement.DialError{Outcome: statement.DialTimedOut, Cause: context.DeadlineExceeded}}
	pr := &prober{dialer: dialer, target: topology.Target{ID: "r"}}
	pr.updateRegistration(2*unregisteredDeadAfter, ownAddress)
	probeWithEvidence(pr, unreachedByAll)
	pr.recordEnd(true, steady.Now())
	pr.updateRegistration(2*unregisteredDeadAfter+1, ownAddress)
	qt.Assert(t, pr.presumedSince.IsZero() || pr.endedSince.IsZero(), qt.IsFalse)
	pr.updateRegistration(time.Millisecond, ownAddress)
	qt.Check(t, pr.presumedSince.IsZero(), qt.IsTrue)
	qt.Check(t, pr.endedSince.IsZero(), qt.IsTrue)
	qt.Check(t, pr.redialAt.IsZero(), qt.IsTrue)
}
