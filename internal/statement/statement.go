package statement

import "nettlewalk.example/nettlewalk/internal/topology"

// Kind is what a statement does.
type Kind uint8

// The kinds that callers send.
const (
	Read       Kind = iota + 1 // one item
	Write                      // one item
	Begin                      // a transaction that may write
	BeginRead                  // a transaction that only reads
	Commit                     //
	Rollback                   //
	Set                        // a session value
	Prepare                    // gives a name to a shape
	Execute                    // a prepared shape
	Deallocate                 // forgets a name
)

// The kinds that only the proxy sends.
const (
	Reset  Kind = iota + 101 // forgets session values and prepared names
	Status                   // role, term and positions of the target
	Pause                    // a replica stops receiving, under a term
	Resume                   // ends a pause
	Demote                   // a primary of a lower term becomes a replica
)

// OwnID is the request id of statements that the proxy itself issues.
const OwnID = "-"

// Statement is one request of a session.
type Statement struct {
	ID   string
	Kind Kind
	Text string // as the caller sent it; it is passed on unchanged

	Name   string // of the value, item or prepared statement
	Value  string // of Set
	Writes bool   // Prepare: the shape writes

	// After makes a read or a begin fail with Lagging where the target's log
	// lacks the position. Zero: no such condition.
	After topology.Position
	Term  uint64 // of Pause and Demote
}

// State is the transaction state of a session after an answer.
type State uint8

// The states.
const (
	Idle          State = iota // no transaction
	InTransaction              //
	Failed                     // only the end of the transaction is accepted
)

// Answer is what a target or the proxy returns for one statement.
type Answer struct {
	Rows        []string
	Signature   string // of the target; "-" from the proxy
	Code        Code   // OK: a success
	Detail      string // of a failure
	State       State
	Position    topology.Position // of the target's log; valid if HasPosition
	HasPosition bool
}

// OK tells whether the statement succeeded.
func (a Answer) OK() bool { return a.Code == OK }
