// Package routing chooses the target and the holder for each batch of a
// caller, retries what is surely not run, and pins a transaction to the
// connection on which it began.
package routing

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Call is one batch of one caller.
type Call struct {
	Class      pool.Class
	Idempotent bool
	ReadOnly   bool // declared to write nothing: what a replica refuses to write must not go on to the primary
	MayCommit  bool // false: the batch surely commits nothing, for example inside a transaction
	Deadline   time.Time
	Floor      FloorSource
	// Staleness of reads at replicas.
	MaxStaleness time.Duration // 0: any age
	ServeStale   bool
	Messages     []byte // frontend messages in wire format, ends with Query or Sync
	Statements   []pool.Statement
}

// FloorSource tells how the floor of a read is found.
type FloorSource struct {
	Known    bool              // Position is the floor
	Position topology.Position // last write known to this connection
	Session  string            // identity whose floor the keeper knows; with Known, the later counts
}

// Outcome is what is known after a batch was answered whole.
type Outcome struct {
	TxStatus byte              // 'I', 'T' or 'E'
	Position topology.Position // of the commit, zero if nothing was written
	ReadAt   topology.Position // floor that the read was served at or past
	Target   topology.TargetID
	Replica  bool
	Usage    pool.Usage
}

// Conn routes the batches of one caller's connection, one at a time. Only
// Cancel may be called meanwhile. All errors are *result.Error; after one, any
// transaction of the connection is over.
type Conn interface {
	// Run routes one batch and passes each chunk of the answer (backend
	// messages without ReadyForQuery) to emit. After the first emit nothing is
	// tried again.
	Run(ctx context.Context, call *Call, emit func([]byte) error) (Outcome, error)
	// Cancel asks the target to cancel what runs now.
	Cancel(ctx context.Context) error
	// Close ends the connection's open transaction, if any.
	Close()
}

// Router opens the routing of callers' connections.
type Router interface {
	Open(customer topology.CustomerID, group topology.GroupID) Conn
}
