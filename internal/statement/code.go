package statement

import "nettlewalk.example/nettlewalk/internal/result"

// Code classifies the outcome of a statement: success, or why it failed.
type Code uint8

// The codes. HadNoEffect and NotRun tell what a caller may conclude from each.
const (
	OK                 Code = iota
	Busy                    // not run: overloaded, or no target can serve it now
	Aborted                 // not kept: the transaction was rolled back
	Lagging                 // not run: the target's log doesn't reach the requested position
	ReadOnly                // not run: a write sent to a target that isn't the leader
	Misrouted               // not run: a different target answers at that address
	TooManyConnections      // not run: the target has reached its connection limit
	UnknownPrepared         // not run: no such prepared statement
	NoDatabase              // not run: no route with that database name
	Malformed               // not run: unreadable or out of sequence
	RunFailed               // run, but without effect
	TimedOut                // the time limit passed; the statement may have run
	InDoubt                 // sent, but no answer arrived; the statement may have run
	Unrecognized            // a code that this version doesn't know; it guarantees nothing
	NoAuth                  // not run: no customer holds the caller's key
	codeCount               // hosts send each other the numbers: new codes come before this one only
)

// HadNoEffect reports whether the code guarantees that nothing of the caller's
// attempt is kept.
func (c Code) HadNoEffect() bool {
	switch c {
	case Busy, Aborted, Lagging, ReadOnly, Misrouted, TooManyConnections, NoAuth:
		return true
	}
	return false
}

// NotRun reports whether a target that answers with the code ran nothing, so
// that the statement may be retried on another target.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, UnknownPrepared, Misrouted, TooManyConnections, NoAuth:
		return true
	}
	return false
}

var resultCodes = [...]result.Code{
	OK: result.OK, Busy: result.QueueFull, Aborted: result.TransactionLost, Lagging: result.BehindFloor,
	ReadOnly: result.NotPrimary, Misrouted: result.TargetDown, TooManyConnections: result.TooManyConnections,
	UnknownPrepared: result.BadSetting, NoDatabase: result.UnknownCustomer, Malformed: result.BadProtocol,
	RunFailed: result.TargetError, TimedOut: result.UnknownOutcome, InDoubt: result.UnknownOutcome,
	NoAuth: result.UnknownKey, Unrecognized: result.UnknownOutcome,
}

// Result returns the numbered result code of the same outcome.
func (c Code) Result() result.Code {
	if int(c) < len(resultCodes) {
		return resultCodes[c]
	}
	return result.UnknownOutcome
}

var codeNames = [...]string{
	OK: "ok", Busy: "busy", Aborted: "aborted", Lagging: "lagging", ReadOnly: "read_only",
	Misrouted: "misrouted", TooManyConnections: "too_many", UnknownPrepared: "unknown_name", NoDatabase: "no_database",
	Malformed: "malformed", RunFailed: "failed", TimedOut: "timed_out", InDoubt: "in_doubt",
	NoAuth: "no_auth", Unrecognized: "unrecognized",
}

// String returns the name used in logs and metrics.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unrecognized"
}
