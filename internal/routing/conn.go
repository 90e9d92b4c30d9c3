// Package routing chooses the target and slot holder for each batch of a
// caller, retries batches that did not run or may safely run again, and pins a
// transaction to the connection on which it began.
package routing

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Call is one batch of a caller.
type Call struct {
	Class      pool.Class
	Idempotent bool
	ReadOnly   bool // declared to write nothing; not retried at the primary if a replica rejects it as a write
	MayCommit  bool // false: the batch certainly commits nothing, for example inside a transaction
	Deadline   time.Time
	Floor      FloorSource
	// Staleness limits for reads at replicas.
	MaxStaleness time.Duration // 0: no limit
	ServeStale   bool          // if the primary is unavailable, serve data older than MaxStaleness
	Messages     []byte        // frontend messages in wire format, ending with Query or Sync
	Statements   []pool.Statement
}

// FloorSource says how to determine the floor of a read: the replication
// position that a target must have applied before it may serve the read.
type FloorSource struct {
	Known    bool              // Position is the floor
	Position topology.Position // last write known to this connection
	Session  string            // identity of a session whose floor is tracked by its keeper; with Known, the later of both positions applies
}

// Outcome describes a batch that was answered completely.
type Outcome struct {
	TxStatus byte              // transaction status: 'I' (idle), 'T' (in transaction) or 'E' (failed transaction)
	Position topology.Position // position of the commit; zero if nothing was written
	ReadAt   topology.Position // floor that the read satisfied
	Target   topology.TargetID
	Replica  bool
	Usage    pool.Usage
}

// Conn routes the batches of one caller connection, one at a time; only Cancel
// may be called concurrently. All errors are *result.Error. An error ends any
// open transaction of the connection.
type Conn interface {
	// Run routes one batch and passes each chunk of the response (backend
	// messages without ReadyForQuery) to emit. Once emit was called, the batch
	// isn't retried.
	Run(ctx context.Context, call *Call, emit func([]byte) error) (Outcome, error)
	// Cancel asks the target to cancel the running batch.
	Cancel(ctx context.Context) error
	// Close ends the open transaction of the connection, if any.
	Close()
}

// Router opens routed connections for callers.
type Router interface {
	Open(customer topology.CustomerID, group topology.GroupID) Conn
}
