// Package result defines the numbered result codes of the proxy and the error type
// that carries them. The hundreds digit of a code is its group, which tells what a
// caller may conclude about the request.
package result

import (
	"fmt"
	"time"
)

// Code is the number of an outcome. docs/ERRORS.md lists all codes.
type Code int

// Group classifies codes by what a caller may conclude about the request.
type Group string

// Groups of codes.
const (
	GroupDone     Group = "done"
	GroupNotRun   Group = "not run"         // no part of the request took effect or will take effect
	GroupUnknown  Group = "outcome unknown" // the request may have taken effect
	GroupTarget   Group = "target error"    // the target answered with an error
	GroupBadInput Group = "bad input"       // the request will fail again if it is repeated unchanged
)

// Result codes by group: done 100-199, not run 200-299, outcome unknown 300-399,
// target error 400-499, bad input 500-599.
const (
	OK Code = 100

	QueueFull          Code = 200 // too many requests are queued for this target or customer
	DeadlineTooClose   Code = 201 // the expected queue wait exceeds the time left until the deadline
	TooManyConnections Code = 202 // the target refused another connection
	TargetDown         Code = 203 // the target is unreachable; nothing was sent
	NotPrimary         Code = 204 // a write reached a target that isn't its group's primary
	BehindFloor        Code = 205 // the target hasn't applied the session's last write (its floor)
	TooStale           Code = 206 // the target's data is older than the allowed staleness
	NotHolder          Code = 207 // this host holds no slot of the target
	NoMajority         Code = 208 // no majority of the group is reachable, so writes can't be confirmed
	FailoverUnderway   Code = 209 // the group's primary is being replaced
	Draining           Code = 210 // this host is draining
	HostUnreachable    Code = 211 // the host that holds the slot is unreachable; nothing was sent
	NoConfiguration    Code = 212 // this host has received no configuration from the platform or a peer
	LimitReached       Code = 213 // the customer's rate or concurrency limit, or the budget for platform calls, is exhausted
	ReadOnlyTarget     Code = 214 // a replica rejected a write
	TransactionLost    Code = 215 // the transaction ended before its commit was sent and was rolled back completely
	NoReadableTarget   Code = 216 // no target satisfies the read's floor and staleness limit
	Canceled           Code = 217 // the caller canceled before anything was sent
	DeadlinePassed     Code = 218 // the deadline passed before anything was sent
	VersionConflict    Code = 219 // another edit changed the object before this conditional edit
	PlatformDown       Code = 220 // the platform is unreachable; nothing was changed

	UnknownKey Code = 221 // no customer holds the caller's key, or it was removed

	UnknownOutcome    Code = 300 // the connection broke after the request was sent
	UnconfirmedCommit Code = 301 // committed at the primary, but not confirmed by a majority in time
	HolderLost        Code = 302 // the host that holds the slot was lost after the request was sent
	PlatformUnknown   Code = 303 // the platform's answer to an edit was lost

	TargetError Code = 400 // an error of the target, forwarded unchanged

	UnsupportedFeature Code = 500 // a protocol feature that the proxy doesn't support
	BadStartup         Code = 501 // the startup message is malformed
	UnknownCustomer    Code = 502 // no such customer, database or user
	BadPassword        Code = 503 // authentication failed
	BadToken           Code = 504 // a session token that is malformed, for another database or from another deployment
	BadSetting         Code = 505 // unknown or malformed nettlewalk.* setting
	MessageTooLarge    Code = 506 // a message that exceeds the size limit
	BadProtocol        Code = 507 // a malformed or unexpected protocol message
	BadConfiguration   Code = 508 // an invalid settings file, template or customer
	Forbidden          Code = 509 // the operator has no permission to read or edit this object
	NotFound           Code = 510 // no such object
	ReadOnlySession    Code = 511 // a write from a user or session that is declared read-only
)

// Group returns the code's group.
func (c Code) Group() Group {
	switch c / 100 {
	case 1:
		return GroupDone
	case 2:
		return GroupNotRun
	case 3:
		return GroupUnknown
	case 4:
		return GroupTarget
	default:
		return GroupBadInput
	}
}

// Error is the outcome of a request that is not done. Hosts send it to each other,
// so its field names are part of the wire format.
type Error struct {
	Code       Code
	Detail     string        // human-readable text without secrets
	RetryAfter time.Duration // wait before a retry; 0 means that waiting doesn't help or isn't needed
}

// New returns an Error with the given code and formatted detail.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e that advises the caller to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// Error implements error. Parse parses the returned text.
func (e *Error) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("nettlewalk %d (%s, retry after %s): %s", e.Code, e.Code.Group(), e.RetryAfter, e.Detail)
	}
	return fmt.Sprintf("nettlewalk %d (%s): %s", e.Code, e.Code.Group(), e.Detail)
}

// NotRun reports whether it is certain that no part of the request took effect.
func (e *Error) NotRun() bool { return e.Code.Group() == GroupNotRun }
