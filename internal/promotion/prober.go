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
	// probeTimeout bounds one exchange with a target. A leadership proof takes
	// a round trip; a status query waits some tens of milliseconds for a work
	// slot.
	probeTimeout = 250 * time.Millisecond
	// probeDialTimeout bounds the dial of a probe, which takes some round trips.
	// It is shorter than the dialer's own timeout, so that an unresponsive
	// target is detected fast.
	probeDialTimeout = 200 * time.Millisecond
	// unregisteredDeadAfter is how long a target must have been missing from
	// the registry before it is presumed to have ended if it doesn't respond to any
	// host (see judgeEnd). A live target that reaches the store is registered
	// again within two seconds.
	// The registry drops a target after three missed reports. Together with
	// that time, unregisteredDeadAfter is longer than a usual network
	// partition.
	unregisteredDeadAfter = 4 * time.Second
	// deadRecheckInterval is the time between dials of an unregistered target
	// that doesn't respond. Each such dial waits for its timeout.
	deadRecheckInterval = 2 * time.Second
	// unresolvedWindow is how long a request or command without an answer may
	// still be carried out.
	unresolvedWindow = 15 * time.Second
)

// prober sends probes and control statements to one target. It uses a dedicated
// connection, so that it never waits behind client requests.
type prober struct {
	target topology.Target
	dialer statement.Dialer
	parse  statement.StatusParser
	conn   statement.Conn

	endCheck           endCheck
	presumedSince      time.Time                  // when it was found that no host reaches the target, zero while one does; proves nothing
	endedSince         time.Time                  // when the target was first proved to have ended, zero while it may be alive
	logUpperBound      topology.Position          // a position of the leader after endedSince, see Member.LogSince
	resumePendingUntil time.Time                  // an unanswered resume command may be carried out until then
	handshakes         statement.HandshakeMonitor // dials that were accepted without a protocol response
	missedProbes       int                        // consecutive unanswered probes
	unregisteredFor    time.Duration              // time since the target was last registered, 0 while it is registered
	redialAt           time.Time                  // an unresponsive, unregistered target isn't dialed before this time
	reassigned         bool                       // another target of the group is registered at this address
	replaced           bool                       // a target of another group is registered at this address

	aliveAt        time.Time // when it responded last, or when it was first known to this host
	caughtUpAt     time.Time // when it was last asked and had received what the leader had before
	logCheck       logCheck
	statusAsked    time.Time // when the latest status was asked for
	statusAnswered time.Time // when it was answered

	ownPause    uint64    // term of the latest pause that this host ordered
	pausedTerm  uint64    // term of the pause in force, as last seen; 0: not paused
	pauseSeenAt time.Time // when that pause was first seen

	incarnation  int64             // as registered, 0: not stated
	recorded     int64             // incarnation whose log counts, 0: not known
	lostLogSince time.Time         // when the target was first known to have lost its log, zero if it hasn't
	lostLogBound topology.Position // a position of the leader after lostLogSince, see Member.LostLogEnd
}

// dial opens the connection if there is none. If that fails, ok is false and reach
// tells how.
func (p *prober) dial(ctx context.Context) (reach Reach, ok bool) {
	if p.conn != nil && p.conn.Alive() {
		return Answered, true
	}
	p.closeConn()
	now := steady.Now()
	if now.Before(p.redialAt) {
		return p.silentReach(), false
	}
	ctx, cancel := context.WithTimeout(ctx, probeDialTimeout)
	defer cancel()
	conn, err := p.dialer.Dial(ctx, p.target, "")
	responsive := p.handshakes.RecordDial(err, now)
	if err == nil {
		p.conn = conn
		p.noteAlive()
		return Answered, true
	}
	var dialErr *statement.DialError
	if !errors.As(err, &dialErr) {
		return Unresponsive, false
	}
	p.checkEnd(ctx, dialErr, now)
	switch {
	case dialErr.Outcome == statement.DialRefused:
		return Dead, false
	case seemsEnded(dialErr.Outcome, p.unregisteredFor):
		p.redialAt = now.Add(deadRecheckInterval)
		return p.silentReach(), false
	case dialErr.Outcome == statement.DialTimedOut:
		return Unresponsive, false
	case !responsive:
		return Unresponsive, false
	case dialErr.Code == statement.Misrouted && p.replaced:
		return Dead, false
	case dialErr.Code == statement.Misrouted && p.reassigned:
		return Reassigned, false
	case dialErr.Code == statement.Misrouted:
		return UnregisteredTarget, false
	}
	p.noteAlive()
	return Overloaded, false
}

// silentReach returns the result for an unregistered target that doesn't respond.
func (p *prober) silentReach() Reach {
	if p.endedSince.IsZero() {
		return Unresponsive
	}
	return Dead
}

// checkEnd records whether a target that couldn't be dialed has certainly ended: a target of
// another group has its address. A refused connection and an expired entry don't prove it, also if
// it was leaving: one that is cut off from the hosts and the store goes on to receive. If it only
// seems to have ended, checkEnd makes other hosts dial it, for operators; takeUpEvidence has the result.
func (p *prober) checkEnd(ctx context.Context, dialErr *statement.DialError, now time.Time) {
	outcome := dialErr.Outcome
	switch {
	case dialErr.Code == statement.Misrouted && p.replaced:
		p.recordEnd(true, now)
	case !seemsEnded(outcome, p.unregisteredFor):
		p.recordEnd(false, now)
	case p.presumedSince.IsZero():
		p.endCheck.start(context.WithoutCancel(ctx), p.target, now)
	}
}

// seemsEnded reports whether a target that couldn't be dialed may have ended. One that is
// cut off from the hosts and from the store seems so, too, but may go on to receive
// commits.
func seemsEnded(outcome statement.DialOutcome, unregisteredFor time.Duration) bool {
	return (outcome == statement.DialRefused || outcome == statement.DialTimedOut) && unregisteredFor > unregisteredDeadAfter
}

// occupant is what the registry says of a target's address.
type occupant uint8

const (
	ownAddress  occupant = iota // no other target is registered there
	groupMember                 // another target of the same group
	otherGroup                  // a target of another group
)

// updateRegistration stores what the registry says: for how long the target has been
// missing, and which target is registered at its address. A target that
// is registered again may be alive, so earlier conclusions about its end are
// dropped.
func (p *prober) updateRegistration(missingFor time.Duration, at occupant) {
	registeredSince := missingFor < p.unregisteredFor // also between two calls
	p.unregisteredFor, p.reassigned, p.replaced = missingFor, at == groupMember, at == otherGroup
	if missingFor == 0 || registeredSince {
		p.redialAt = time.Time{}
		p.clearEnd()
	}
}

// updateIncarnation stores the registered incarnation. A target that starts again under its
// ID knows nothing of before, except for a leader, which keeps its log.
func (p *prober) updateIncarnation(incarnation int64, isLeader bool, now time.Time) {
	restarted := incarnation != p.incarnation
	p.incarnation = incarnation
	switch {
	case incarnation == 0 || incarnation == p.recorded:
	case p.recorded == 0 || isLeader:
		p.clearLostLog()
	case restarted:
		p.lostLogSince, p.lostLogBound = now, topology.Position{}
	}
}

// clearLostLog records that the log of the registered incarnation is the one that counts.
func (p *prober) clearLostLog() {
	p.recorded, p.lostLogSince, p.lostLogBound = p.incarnation, time.Time{}, topology.Position{}
}

// notePosition records a position of the leader that was asked for at the time sent.
// It bounds the logs of targets that had ended or lost their logs before.
func (p *prober) notePosition(position topology.Position, sent time.Time) {
	if !p.endedSince.IsZero() && p.logUpperBound.IsZero() && sent.After(p.endedSince) {
		p.logUpperBound = position
	}
	if !p.lostLogSince.IsZero() && p.lostLogBound.IsZero() && sent.After(p.lostLogSince) {
		p.lostLogBound = position
	}
}

// clearEnd discards the conclusion that the target has ended, and the question whether
// it has.
func (p *prober) clearEnd() {
	p.presumedSince, p.endedSince, p.logUpperBound = time.Time{}, time.Time{}, topology.Position{}
	p.endCheck.discard()
}

// recordEnd records when the target was first proved to have ended, or clears that
// time if it may be alive.
func (p *prober) recordEnd(ended bool, now time.Time) {
	switch {
	case !ended:
		p.clearEnd()
	case p.endedSince.IsZero():
		p.endedSince = now
	}
}

// notePause records the term of the pause in force, 0 if there is none.
func (p *prober) notePause(term uint64, now time.Time) {
	if term != p.pausedTerm {
		p.pausedTerm, p.pauseSeenAt = term, now
	}
}

// pausedByOther reports whether another holder of the duty ordered the pause in force.
func (p *prober) pausedByOther() bool { return p.pausedTerm > 0 && p.pausedTerm != p.ownPause }

// noteAlive records that the target responded.
func (p *prober) noteAlive() {
	p.clearEnd()
	p.missedProbes, p.aliveAt = 0, steady.Now()
}

func (p *prober) closeConn() {
	if p.conn != nil {
		p.conn.Close()
		p.conn = nil
	}
}

// proof is the result of asking a target to prove that it leads.
type proof struct {
	reach    Reach
	leads    bool
	position topology.Position
	sent     time.Time // when the request was sent
}

// proveLeadership asks the target to prove that it leads.
func (p *prober) proveLeadership(ctx context.Context, statements []statement.Statement) proof {
	reach, ok := p.dial(ctx)
	if !ok {
		return proof{reach: reach}
	}
	sent := steady.Now()
	answers, err := p.conn.Exchange(time.Now().Add(probeTimeout), statements...)
	if err != nil {
		p.closeConn()
		return proof{reach: Unresponsive}
	}
	p.noteAlive()
	return proof{reach: Answered, leads: answers[0].OK(), position: answers[0].Position, sent: sent}
}

// command sends a control statement and returns the target's status from the answer.
func (p *prober) command(ctx context.Context, kind statement.Kind, term uint64) (statement.TargetStatus, Reach) {
	return p.commandWithin(ctx, probeTimeout, kind, term)
}

// commandWithin is like command with another timeout.
func (p *prober) commandWithin(ctx context.Context, timeout time.Duration, kind statement.Kind, term uint64) (statement.TargetStatus, Reach) {
	reach, ok := p.dial(ctx)
	if !ok {
		return statement.TargetStatus{}, reach
	}
	if kind == statement.Pause {
		p.ownPause = term
	}
	answers, err := p.conn.Exchange(time.Now().Add(timeout), statement.Statement{ID: statement.ProxyRequestID, Kind: kind, Term: term})
	if err != nil {
		p.closeConn()
		return statement.TargetStatus{}, Unresponsive
	}
	p.noteAlive()
	if !answers[0].OK() || len(answers[0].Rows) == 0 {
		return statement.TargetStatus{}, Overloaded
	}
	status, err := p.parse(answers[0].Rows[0])
	if err != nil {
		return statement.TargetStatus{}, Overloaded
	}
	return status, Answered
}

// resume ends the target's pause. If it gets no answer, the command may still be
// carried out later.
func (p *prober) resume(ctx context.Context) {
	if _, reach := p.command(ctx, statement.Resume, 0); reach != Answered {
		p.resumePendingUntil = steady.Now().Add(unresolvedWindow)
	}
}
