package promotion

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// failingDialer fails every dial with the same error.
type failingDialer struct{ failure statement.DialError }

func (d *failingDialer) Dial(context.Context, topology.Target, topology.CustomerID) (statement.Conn, error) {
	return nil, &d.failure
}

// Guards against this failure: a leaving replica refused connections for three
// seconds, but acknowledged commits until the registry dropped it. A network
// partition may refuse connections, too. A position that the leader reports after
// such a refusal is therefore not an upper bound of the replica's log.
func TestConnectionRefusalAloneIsNoDeath(t *testing.T) {
	for _, test := range []struct {
		name            string
		outcome         statement.DialOutcome
		leaving         bool
		unregisteredFor time.Duration
		ended           bool
	}{
		{"refused while registered", statement.DialRefused, false, 0, false},
		{"refused while leaving", statement.DialRefused, true, 0, false},
		{"refused after it left", statement.DialRefused, true, time.Millisecond, true},
		{"refused and recently unregistered", statement.DialRefused, false, unregisteredDeadAfter, false},
		{"refused and unregistered for long", statement.DialRefused, false, unregisteredDeadAfter + 1, true},
		{"unresponsive while leaving", statement.DialTimedOut, true, unregisteredDeadAfter, false},
		{"unresponsive and unregistered for long", statement.DialTimedOut, false, unregisteredDeadAfter + 1, true},
		{"accepted without an answer and unregistered for long", statement.DialNoHandshake, false, unregisteredDeadAfter + 1, false},
	} {
		dialer := &failingDialer{statement.DialError{Outcome: test.outcome, Cause: context.DeadlineExceeded}}
		pr := &prober{dialer: dialer, target: topology.Target{ID: "r", Leaving: test.leaving}, unregisteredFor: test.unregisteredFor}
		_, reach := pr.command(context.Background(), statement.Status, 0)
		qt.Check(t, reach, qt.Not(qt.Equals), Answered, qt.Commentf(test.name))
		qt.Check(t, !pr.endedSince.IsZero(), qt.Equals, test.ended, qt.Commentf(test.name))
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
		pr.command(context.Background(), statement.Status, 0)
		qt.Assert(t, pr.endedSince.IsZero(), qt.IsFalse)
		pr.logUpperBound = pos(1, 5)
		pr.updateRegistration(0, ownAddress)
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
