package promotion

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// lookTimeout bounds one look at a target. A proof takes a round trip, a
	// status waits for a work slot, some tens of milliseconds.
	lookTimeout = 250 * time.Millisecond
	// lookDialTimeout bounds a dial of a look, some round trips; shorter than
	// the dialer's own, so that silence is noticed fast.
	lookDialTimeout = 200 * time.Millisecond
	// goneAfter is how long a target must have vanished from the register for
	// its silence to count as its death: one that lives and reaches the store
	// is registered again within two seconds. With the time until it vanishes,
	// three of its reports, that is longer than a usual cut.
	goneAfter = 4 * time.Second
	// recheckGone is the time between looks at a target that counts as dead
	// after its silence. Each waits for the dial to time out.
	recheckGone = 2 * time.Second
	// doubtFor is how long an order without an answer may still be carried out.
	doubtFor = 15 * time.Second
)

// prober asks one target about itself over a connection of its own, which requests can't
// keep busy.
type prober struct {
	target topology.Target
	dialer statement.Dialer
	parse  statement.StatusParser
	conn   statement.Conn

	endedSince time.Time // when it was first known to have ended, zero while it may live
	logSince   topology.Position
	doubtUntil time.Time // an order to resume may be carried out until then
	mute       statement.Mute
	silent     int           // looks without an answer in a row
	vanished   time.Duration // since it was last registered, 0: it is
	recheck    time.Time     // a silent one that vanished isn't dialed before
	replaced   bool          // another target is registered at its address
}

// dial opens the connection if need be. ok is false if the target didn't take
// it; reach then says how.
func (e *prober) dial(ctx context.Context) (reach Reach, ok bool) {
	if e.conn != nil && e.conn.Alive() {
		return Answered, true
	}
	e.drop()
	now := steady.Now()
	if now.Before(e.recheck) {
		return Dead, false
	}
	ctx, cancel := context.WithTimeout(ctx, lookDialTimeout)
	defer cancel()
	conn, err := e.dialer.Dial(ctx, e.target)
	serves := e.mute.Note(err, now)
	if err == nil {
		e.conn = conn
		e.lives()
		return Answered, true
	}
	var failure *statement.DialError
	if !errors.As(err, &failure) {
		return Silent, false
	}
	ended := hasEnded(failure.Outcome, e.target.Leaving, e.vanished)
	e.noteEnd(ended, now)
	switch {
	case failure.Outcome == statement.DialRefused:
		return Dead, false
	case ended:
		e.recheck = now.Add(recheckGone)
		return Dead, false
	case failure.Outcome == statement.DialSilent:
		return Silent, false
	case !serves:
		return Silent, false
	case failure.Code == statement.Misrouted && e.replaced:
		return Gone, false
	case failure.Code == statement.Misrouted:
		return Replaced, false
	}
	e.lives()
	return Overloaded, false
}

// hasEnded tells whether a target that didn't take a connection receives nothing
// any more. To be refused is not enough: a cut may refuse, and a leaving target
// stops listening before it ends and counts for acknowledgements until then. The
// end of a leaving one shows in the register at once, that of another one late.
func hasEnded(dial statement.DialOutcome, leaving bool, vanished time.Duration) bool {
	switch dial {
	case statement.DialRefused:
		return vanished > goneAfter || leaving && vanished > 0
	case statement.DialSilent:
		return vanished > goneAfter
	}
	return false
}

// registered takes what the register says: for how long the target has been
// missing, and whether another one is registered at its address. One that is
// back may live, whatever was concluded before.
func (e *prober) registered(missing time.Duration, replaced bool) {
	e.vanished, e.replaced = missing, replaced
	if missing == 0 {
		e.recheck = time.Time{}
		e.voidEnd()
	}
}

// voidEnd drops what was concluded from the target's end.
func (e *prober) voidEnd() { e.endedSince, e.logSince = time.Time{}, topology.Position{} }

// noteEnd notes since when the target is known to have ended, if it has.
func (e *prober) noteEnd(ended bool, now time.Time) {
	switch {
	case !ended:
		e.voidEnd()
	case e.endedSince.IsZero():
		e.endedSince = now
	}
}

// lives notes a sign of life.
func (e *prober) lives() {
	e.voidEnd()
	e.silent = 0
}

func (e *prober) drop() {
	if e.conn != nil {
		e.conn.Close()
		e.conn = nil
	}
}

// proof is the answer to the question whether a target leads.
type proof struct {
	reach    Reach
	leads    bool
	position topology.Position
	sent     time.Time
}

// prove asks whether the target leads.
func (e *prober) prove(ctx context.Context, ask []statement.Statement) proof {
	reach, ok := e.dial(ctx)
	if !ok {
		return proof{reach: reach}
	}
	sent := steady.Now()
	answers, err := e.conn.Exchange(time.Now().Add(lookTimeout), ask...)
	if err != nil {
		e.drop()
		return proof{reach: Silent}
	}
	e.lives()
	return proof{reach: Answered, leads: answers[0].OK(), position: answers[0].Position, sent: sent}
}

// command sends a control statement and returns the status that answers it.
func (e *prober) command(ctx context.Context, kind statement.Kind, term uint64) (statement.TargetStatus, Reach) {
	reach, ok := e.dial(ctx)
	if !ok {
		return statement.TargetStatus{}, reach
	}
	answers, err := e.conn.Exchange(time.Now().Add(lookTimeout), statement.Statement{ID: statement.OwnID, Kind: kind, Term: term})
	if err != nil {
		e.drop()
		return statement.TargetStatus{}, Silent
	}
	e.lives()
	if !answers[0].OK() || len(answers[0].Rows) == 0 {
		return statement.TargetStatus{}, Overloaded
	}
	status, err := e.parse(answers[0].Rows[0])
	if err != nil {
		return statement.TargetStatus{}, Overloaded
	}
	return status, Answered
}

// resume ends a pause. Without an answer the order may still be on its way.
func (e *prober) resume(ctx context.Context) {
	if _, reach := e.command(ctx, statement.Resume, 0); reach != Answered {
		e.doubtUntil = steady.Now().Add(doubtFor)
	}
}
