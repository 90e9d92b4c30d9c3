package statement

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Kind is the operation that a statement requests.
type Kind uint8

// The kinds that callers send.
const (
	Read          Kind = iota + 1 // reads one item
	Write                         // writes one item
	Begin                         // opens a transaction that may write
	BeginReadOnly                 // opens a read-only transaction
	Commit                        // commits the open transaction
	Rollback                      // rolls back the open transaction
	Set                           // sets a session value
	Prepare                       // defines a prepared statement
	Execute                       // runs a prepared statement
	Deallocate                    // removes a prepared statement
)

// The kinds that only the proxy sends.
const (
	Reset  Kind = iota + 101 // clears the session values and prepared statements
	Status                   // asks for the target's role, term and log positions
	Pause                    // makes a replica stop receiving, under the given term
	Resume                   // ends a pause
	Demote                   // turns a primary of a lower term into a replica
)

// ProxyRequestID is the request ID of the statements that the proxy itself issues.
const ProxyRequestID = "-"

// Statement is one request of a session.
type Statement struct {
	ID   string
	Kind Kind
	Text string // as the caller sent it; it is passed on unchanged

	Name   string // of the session value, item or prepared statement
	Value  string // of Set, Write, Prepare and Execute: the text after the name
	Writes bool   // of Prepare: the prepared statement writes

	// After is the log position that a read or begin requires. A target whose log
	// doesn't reach it answers Lagging. Zero: no requirement.
	After topology.Position
	Term  uint64 // of Pause and Demote

	// WithoutAfter is set if the protocol's longest message has no room for After beside
	// the text.
	WithoutAfter bool
}

// State is the transaction state of a session after an answer.
type State uint8

// The transaction states.
const (
	Idle          State = iota // no transaction is open
	InTransaction              // a transaction is open
	Failed                     // the transaction has failed; only Commit and Rollback are accepted
)

// Answer is the response of a target or of the proxy to one statement.
type Answer struct {
	Rows        []string
	Signature   string // identifies the target; "-" if the proxy answered
	Code        Code   // OK on success
	Detail      string // explains a failure
	State       State
	Position    topology.Position // in the target's log; valid if HasPosition
	HasPosition bool
	// RetryAfter is when the caller of a refused statement should return, in answers from
	// one host to another; 0: that host doesn't tell, negative: too late for the caller.
	RetryAfter time.Duration
	// Release gives back the memory of a large answer once it was delivered; nil: nothing
	// is to be done. Hosts don't send it to each other.
	Release func()
}

// OK reports whether the statement succeeded.
func (a Answer) OK() bool { return a.Code == OK }
