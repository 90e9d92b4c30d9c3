package promotion

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// failingDialer fails every dial with one outcome.
type failingDialer struct{ failure statement.DialError }

func (d *failingDialer) Dial(context.Context, topology.Target) (statement.Conn, error) {
	return nil, &d.failure
}

// A leaving replica refused connections for three seconds and acknowledged
// commits until the register dropped it; a cut may refuse, too. What the leader
// had after such a refusal says nothing of the replica's log.
func TestARefusalIsNoEndOfALog(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcome  statement.DialOutcome
		leaving  bool
		vanished time.Duration
		ended    bool
	}{
		{"refused while registered", statement.DialRefused, false, 0, false},
		{"refused while leaving", statement.DialRefused, true, 0, false},
		{"refused after it left", statement.DialRefused, true, time.Millisecond, true},
		{"refused and vanished a moment ago", statement.DialRefused, false, goneAfter, false},
		{"refused and vanished for long", statement.DialRefused, false, goneAfter + 1, true},
		{"silent while leaving", statement.DialSilent, true, goneAfter, false},
		{"silent and vanished for long", statement.DialSilent, false, goneAfter + 1, true},
		{"without a word", statement.DialMute, false, goneAfter + 1, false},
	} {
		dialer := &failingDialer{statement.DialError{Outcome: test.outcome, Cause: context.DeadlineExceeded}}
		e := &prober{dialer: dialer, target: topology.Target{ID: "r", Leaving: test.leaving}, vanished: test.vanished}
		_, reach := e.command(context.Background(), statement.Status, 0)
		qt.Check(t, reach, qt.Not(qt.Equals), Answered, qt.Commentf(test.name))
		qt.Check(t, !e.endedSince.IsZero(), qt.Equals, test.ended, qt.Commentf(test.name))
	}
}

// An entry that expired with the store comes back if its target lives. Its log
// may have grown, though it is silent here.
func TestAnEndIsVoidOnceTheTargetIsRegisteredAgain(t *testing.T) {
	for _, outcome := range []statement.DialOutcome{statement.DialRefused, statement.DialSilent} {
		dialer := &failingDialer{statement.DialError{Outcome: outcome, Cause: context.DeadlineExceeded}}
		e := &prober{dialer: dialer, target: topology.Target{ID: "r"}}
		e.registered(goneAfter+1, false)
		e.command(context.Background(), statement.Status, 0)
		qt.Assert(t, e.endedSince.IsZero(), qt.IsFalse)
		e.logSince = at(1, 5)
		e.registered(0, false)
		qt.Check(t, e.endedSince.IsZero(), qt.IsTrue)
		qt.Check(t, e.logSince.IsZero(), qt.IsTrue)
		_, reach := e.command(context.Background(), statement.Status, 0)
		qt.Check(t, reach == Dead, qt.Equals, outcome == statement.DialRefused)
	}
}

// A new target at the address is known by the register, or it isn't.
func TestWhoAnswersAtAnAddress(t *testing.T) {
	dialer := &failingDialer{statement.DialError{Outcome: statement.DialRejected, Code: statement.Misrouted, Cause: context.DeadlineExceeded}}
	e := &prober{dialer: dialer, target: topology.Target{ID: "r"}}
	_, reach := e.command(context.Background(), statement.Status, 0)
	qt.Check(t, reach, qt.Equals, Replaced)
	e.replaced = true
	_, reach = e.command(context.Background(), statement.Status, 0)
	qt.Check(t, reach, qt.Equals, Gone)
}
