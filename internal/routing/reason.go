package routing

import "nettlewalk.example/nettlewalk/internal/result"

// Reason says why a read ran at the primary.
type Reason string

// Reasons for running a read at the primary.
const (
	BehindFloor Reason = "floor"        // no replica had applied the session's last write
	TooStale    Reason = "staleness"    // every replica was older than the read allows
	Unhealthy   Reason = "health"       // replicas failed or were leaving
	NotDeclared Reason = "not-declared" // the statement was not declared read-only
	NoReplica   Reason = "no-replica"   // the group has no replica with a live holder
)

var reasons = []Reason{BehindFloor, TooStale, Unhealthy, NotDeclared, NoReplica}

// reasonForRefusal returns the Reason for a read that a replica refused with
// code.
func reasonForRefusal(code result.Code) Reason {
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
