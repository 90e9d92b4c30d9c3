// Package pool runs requests on the connections of the targets whose slots
// this host holds: it admits, queues and refuses requests, keeps connections
// within the slot's share, and returns a connection for reuse only when no
// transaction is open and every answer is read.
package pool

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// StreamID names the use of one target connection by one caller: a single
// batch outside a transaction, or all batches of one transaction.
type StreamID struct {
	Host topology.HostID // entry host
	Boot uint64          // of that host's process
	Seq  uint64
}

// Class tells what a batch may do.
type Class int

// The classes.
const (
	Write Class = iota // goes to the primary
	Read               // may go to a replica
)

// Statement is the definition of a prepared statement that a batch uses.
type Statement struct {
	Name      string // unique for its SQL and parameter types across callers
	SQL       string
	ParamOIDs []uint32
}

// Request is one batch of frontend messages for one target: a Query, or
// extended-protocol messages that end with Sync.
type Request struct {
	Stream       StreamID
	Batch        uint32 // numbers the stream's batches from 1; a repeat gets the stored answer
	Customer     topology.CustomerID
	CostShare    float64 // the customer's weight in the target's queue
	Group        topology.GroupID
	Target       topology.TargetID
	Slot         int // slot that must run it, -1: any that the host holds
	Class        Class
	Session      string            // caller's session identity, empty without one
	Floor        topology.Position // for reads: the target must have applied it
	MaxStaleness time.Duration     // for reads at a replica, 0: any age
	ServeStale   bool              // past MaxStaleness serve instead of refusing
	TimeLeft     time.Duration     // to the caller's deadline
	Idempotent   bool              // may run again if the outcome is unknown
	MayCommit    bool              // the batch may commit a write; false inside a transaction that stays open
	Messages     []byte            // frontend messages in wire format
	Statements   []Statement       // definitions of the statements that Messages name
}

// Hint is what the answering host knows about the group.
type Hint struct {
	Term    uint64
	Primary topology.TargetID
	Status  target.Status // latest answer of the target
	Age     time.Duration // upper bound on how stale the target's data is, 0 also if none is known
}

// Usage is what a batch consumed.
type Usage struct {
	Statements uint64
	Rows       uint64
	Bytes      uint64
	TargetTime time.Duration
}

// Meter is a customer's usage at one process of a holder since it started. It
// only grows, so that the latest one seen by anybody holds all before it.
type Meter struct {
	Host     topology.HostID // empty: not metered
	Boot     uint64
	Customer topology.CustomerID
	Total    Usage
}

// Reply is one chunk of an answer. A refusal is an error of package result
// beside a Reply that holds only Hint.
type Reply struct {
	Messages []byte // backend messages in wire format, without ReadyForQuery
	More     bool   // call Next for the following chunk
	// The rest is set in the last chunk.
	TxStatus byte              // 'I', 'T' or 'E' as in ReadyForQuery
	Position topology.Position // of the commit, zero if nothing was written
	Hint     Hint
	Usage    Usage
	Meter    Meter // after the batch
}

// Executor runs batches. All errors are *result.Error. Safe for concurrent use.
type Executor interface {
	// Exec runs a batch and returns the first chunk of its answer. A commit's
	// last chunk is returned only after a majority of the group has it. On any
	// error the stream is over and its transaction, if any, rolled back.
	Exec(ctx context.Context, req *Request) (*Reply, error)
	// Next returns the following chunk.
	Next(ctx context.Context, stream StreamID) (*Reply, error)
	// Cancel asks the target to cancel what the stream runs.
	Cancel(ctx context.Context, stream StreamID) error
	// Release ends a stream whose caller is gone; an open transaction is rolled back.
	Release(ctx context.Context, stream StreamID) error
}

// Confirmer tells when a commit can't be lost any more.
type Confirmer interface {
	// Confirm returns nil once a majority of the group has pos at its term,
	// UnconfirmedCommit when ctx ends first or the term is over.
	Confirm(ctx context.Context, group topology.GroupID, pos topology.Position) error
	// CanConfirm returns NoMajority or FailoverUnderway when a write would not
	// be confirmed, so that it is refused before it is sent.
	CanConfirm(group topology.GroupID) error
}
