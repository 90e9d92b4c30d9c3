package routing

import "nettlewalk.example/nettlewalk/internal/result"

// Reason tells why a read ran at the primary.
type Reason string

// The reasons.
const (
	BehindFloor Reason = "floor"        // no replica had applied the session's last write
	TooStale    Reason = "staleness"    // every replica was older than the reader allows
	Unhealthy   Reason = "health"       // replicas failed or left
	NotDeclared Reason = "not-declared" // nothing said that the statement only reads
	NoReplica   Reason = "no-replica"   // the group has no replica with a live holder
)

var reasons = []Reason{BehindFloor, TooStale, Unhealthy, NotDeclared, NoReplica}

// reasonFor returns why a replica's refusal sends a read on to the primary.
func reasonFor(code result.Code) Reason {
	switch code {
	case result.BehindFloor:
		return BehindFloor
	case result.TooStale:
		return TooStale
	case result.ReadOnlyTarget:
		return NotDeclared
	default:
		return Unhealthy
	}
}
