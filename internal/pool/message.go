// Package pool runs requests on connections to the targets whose slots this
// host holds. It admits, queues and refuses requests, keeps the number of
// connections within the slot's share, and reuses a connection only if no
// transaction is open and every response has been read.
//
// The connections of a target are divided into slots. A host that holds a slot,
// because it holds the slot's lock at the target, is a holder of the target.
// Callers connect to any host, their entry host, which forwards their requests
// to a holder.
package pool

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// StreamID identifies a stream: the use of one target connection by one caller.
// A stream is either a single batch outside a transaction or all batches of one
// transaction.
type StreamID struct {
	Host topology.HostID // entry host
	Boot uint64          // identifies the process on that host; a restarted process has another one
	Seq  uint64
}

// Class tells where a batch may run.
type Class int

// The batch classes.
const (
	Write Class = iota // must run at the primary
	Read               // may run at a replica
)

// Statement is the definition of a prepared statement that a batch uses.
type Statement struct {
	Name      string // unique across callers for its SQL and parameter types
	SQL       string
	ParamOIDs []uint32
}

// Request is one batch of frontend messages for one target: a Query, or
// extended-protocol messages that end with Sync.
type Request struct {
	Stream       StreamID
	Batch        uint32 // number within the stream, from 1; a repeated batch gets the stored reply
	Customer     topology.CustomerID
	CostShare    float64 // the customer's weight in the target's queue
	Group        topology.GroupID
	Target       topology.TargetID
	Slot         int // slot that must run the batch, -1 for any slot that the host holds
	Class        Class
	Session      string            // caller's session ID, empty if there is none
	Floor        topology.Position // log position that the target must have applied before it runs the batch
	MaxStaleness time.Duration     // for reads at a replica, 0 for no limit
	ServeStale   bool              // serve data older than MaxStaleness instead of refusing
	TimeLeft     time.Duration     // until the caller's deadline
	Idempotent   bool              // may run again if the outcome is unknown
	MayCommit    bool              // the batch may commit a write; false inside a transaction that stays open
	Messages     []byte            // frontend messages in wire format
	Statements   []Statement       // definitions of the prepared statements that Messages refer to
}

// Hint is what the answering host knows about the group.
type Hint struct {
	Term    uint64
	Primary topology.TargetID
	Status  target.Status // latest status of the target
	Age     time.Duration // upper bound on the staleness of the target's data; 0 also if no bound is known
}

// Usage is what a batch consumed.
type Usage struct {
	Statements uint64
	Rows       uint64
	Bytes      uint64        // of the batch and its response
	TargetTime time.Duration // from sending the batch until its response is complete
}

// Meter is the usage of a customer at one process of a holder since the process
// started. It only grows, so a later value includes all earlier ones.
type Meter struct {
	Host     topology.HostID // empty if usage is not metered
	Boot     uint64          // identifies the process
	Customer topology.CustomerID
	Total    Usage
}

// Reply is one chunk of a response. A refusal is returned as an error of
// package result, together with a Reply that contains only Hint.
type Reply struct {
	Messages []byte // backend messages in wire format, without ReadyForQuery
	More     bool   // call Next for the next chunk
	// The remaining fields are set only in the last chunk.
	TxStatus byte              // 'I', 'T' or 'E' as in ReadyForQuery
	Position topology.Position // log position of the commit, zero if nothing was written
	Hint     Hint
	Usage    Usage
	Meter    Meter // including this batch
}

// Executor runs batches. All errors are of type *result.Error. Implementations
// are safe for concurrent use.
type Executor interface {
	// Exec runs a batch and returns the first chunk of its response. The last
	// chunk of a commit is returned only after a majority of the group has the
	// commit. After any error the stream has ended and its transaction, if any,
	// is rolled back.
	Exec(ctx context.Context, req *Request) (*Reply, error)
	// Next returns the next chunk of the response.
	Next(ctx context.Context, stream StreamID) (*Reply, error)
	// Cancel asks the target to cancel the batch that the stream is running.
	Cancel(ctx context.Context, stream StreamID) error
	// Release ends a stream whose caller is gone; an open transaction is rolled
	// back.
	Release(ctx context.Context, stream StreamID) error
}

// Confirmer reports when a commit can no longer be lost.
type Confirmer interface {
	// Confirm returns nil once a majority of the group has pos at its term. It
	// returns UnconfirmedCommit if ctx ends first or the term has ended.
	Confirm(ctx context.Context, group topology.GroupID, pos topology.Position) error
	// CanConfirm returns NoMajority or FailoverUnderway if a write could not be
	// confirmed now, so that the write is refused before it is sent.
	CanConfirm(group topology.GroupID) error
}
