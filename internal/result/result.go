// Package result holds the numbered result codes of the proxy and the error
// that carries them. A code's hundreds digit is its group: what a caller may
// conclude about the request.
package result

import (
	"fmt"
	"time"
)

// Code numbers one outcome. The table is docs/ERRORS.md.
type Code int

// Group is what a caller may conclude from a code.
type Group string

// The groups of codes.
const (
	GroupDone     Group = "done"
	GroupNotRun   Group = "not run"         // nothing of the request took effect, and nothing will
	GroupUnknown  Group = "outcome unknown" // it may have taken effect
	GroupTarget   Group = "target error"    // the target answered with an error
	GroupBadInput Group = "bad input"       // repeating it unchanged will fail again
)

// Done: 100-199. Not run: 200-299. Outcome unknown: 300-399. Target: 400-499. Bad input: 500-599.
const (
	OK Code = 100

	QueueFull          Code = 200 // too many requests wait for this target or customer
	DeadlineTooClose   Code = 201 // the queue is longer than the time left
	TooManyConnections Code = 202 // the target refused another connection
	TargetDown         Code = 203 // the target can't be reached, nothing was sent
	NotPrimary         Code = 204 // a write reached a target that isn't its group's primary
	BehindFloor        Code = 205 // the target hasn't applied the session's last write
	TooStale           Code = 206 // the target's data is older than the reader allows
	NotHolder          Code = 207 // this host holds no slot of the target
	NoMajority         Code = 208 // a majority of the group can't be reached, so no write can be confirmed
	FailoverUnderway   Code = 209 // the group is changing its primary
	Draining           Code = 210 // this host is leaving
	HostUnreachable    Code = 211 // the holder can't be reached, nothing was sent
	NoConfiguration    Code = 212 // neither the platform nor a peer gave this host its configuration
	LimitReached       Code = 213 // the customer's rate or concurrency is used up
	ReadOnlyTarget     Code = 214 // a replica refused to write
	TransactionLost    Code = 215 // the transaction ended before its commit was sent; all of it is rolled back
	NoReadableTarget   Code = 216 // no target satisfies the read's floor and staleness
	Canceled           Code = 217 // the caller canceled before anything was sent
	DeadlinePassed     Code = 218 // the deadline passed before anything was sent
	VersionConflict    Code = 219 // a conditional edit lost against another one
	PlatformDown       Code = 220 // the platform can't be reached, nothing was changed

	UnknownOutcome    Code = 300 // the connection broke after the request was sent
	UnconfirmedCommit Code = 301 // committed at the primary, no majority confirmed it in time
	HolderLost        Code = 302 // the holder was lost after the request was sent
	PlatformUnknown   Code = 303 // the platform's answer to an edit was lost

	TargetError Code = 400 // the target's own error, passed on whole

	UnsupportedFeature Code = 500 // a protocol feature that the proxy doesn't offer
	BadStartup         Code = 501 // the start-up message can't be read
	UnknownCustomer    Code = 502 // no such customer, database or user
	BadPassword        Code = 503 // authentication failed
	BadToken           Code = 504 // malformed or foreign session token
	BadSetting         Code = 505 // unknown or malformed nettlewalk.* setting
	MessageTooLarge    Code = 506 // a message above the limit
	BadProtocol        Code = 507 // a message out of order or unreadable
	BadConfiguration   Code = 508 // a settings file, template or customer with faults
	Forbidden          Code = 509 // the operator may not see or edit this object
	NotFound           Code = 510 // no such object
	ReadOnlySession    Code = 511 // a write from a user or session declared read-only
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

// Error is a request's outcome other than done. It travels between hosts.
type Error struct {
	Code       Code
	Detail     string        // for people; no secrets
	RetryAfter time.Duration // when another try may succeed; 0: waiting doesn't help, or at once
}

// New returns an error of that code.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// After returns a copy of e that tells the caller when to come back.
func (e *Error) After(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// Error implements error. Parse reads the text back.
func (e *Error) Error() string {
	if e.RetryAfter > 0 {
		return fmt.Sprintf("nettlewalk %d (%s, retry after %s): %s", e.Code, e.Code.Group(), e.RetryAfter, e.Detail)
	}
	return fmt.Sprintf("nettlewalk %d (%s): %s", e.Code, e.Code.Group(), e.Detail)
}

// NotRun tells whether nothing of the request took effect.
func (e *Error) NotRun() bool { return e.Code.Group() == GroupNotRun }
