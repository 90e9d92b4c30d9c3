package statement

import "nettlewalk.example/nettlewalk/internal/result"

// Code tells why a statement failed.
type Code uint8

// The codes. What each promises stands in Promise.
const (
	OK           Code = iota
	Busy              // not run: overloaded, or nobody can serve it now
	Aborted           // not kept: the transaction is rolled back
	Lagging           // not run: the log lacks the position asked for
	ReadOnly          // not run: a write at a target that doesn't lead
	Misrouted         // not run: another target answers at that address
	TooMany           // not run: the target's connections are used up
	UnknownName       // not run: no such prepared statement
	NoDatabase        // not run: no route of that name
	Malformed         // not run: unreadable or out of turn
	RunFailed         // run without effect
	TimedOut          // the time limit passed; it may have run
	InDoubt           // sent, and no answer came: it may have run
	Unrecognized      // a code that this version doesn't know; nothing is promised
)

// Promise tells whether the code promises that nothing of the caller's attempt
// is kept.
func (c Code) Promise() bool {
	switch c {
	case Busy, Aborted, Lagging, ReadOnly, Misrouted, TooMany:
		return true
	}
	return false
}

// NotRun tells whether a target that answers with the code ran nothing, so
// that the statement may be tried elsewhere.
func (c Code) NotRun() bool {
	switch c {
	case Busy, Lagging, ReadOnly, UnknownName, Misrouted, TooMany:
		return true
	}
	return false
}

var results = [...]result.Code{
	OK: result.OK, Busy: result.QueueFull, Aborted: result.TransactionLost, Lagging: result.BehindFloor,
	ReadOnly: result.NotPrimary, Misrouted: result.TargetDown, TooMany: result.TooManyConnections,
	UnknownName: result.BadSetting, NoDatabase: result.UnknownCustomer, Malformed: result.BadProtocol,
	RunFailed: result.TargetError, TimedOut: result.UnknownOutcome, InDoubt: result.UnknownOutcome,
	Unrecognized: result.UnknownOutcome,
}

// Result returns the numbered code of the same outcome.
func (c Code) Result() result.Code {
	if int(c) < len(results) {
		return results[c]
	}
	return result.UnknownOutcome
}

var codeNames = [...]string{
	OK: "ok", Busy: "busy", Aborted: "aborted", Lagging: "lagging", ReadOnly: "read_only",
	Misrouted: "misrouted", TooMany: "too_many", UnknownName: "unknown_name", NoDatabase: "no_database",
	Malformed: "malformed", RunFailed: "failed", TimedOut: "timed_out", InDoubt: "in_doubt",
	Unrecognized: "unrecognized",
}

// String returns the name used in logs and metrics.
func (c Code) String() string {
	if int(c) < len(codeNames) {
		return codeNames[c]
	}
	return "unrecognized"
}
