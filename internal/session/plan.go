package session

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

var errReadOnly = result.New(result.ReadOnlySession, "the user or session is declared read-only")

// batchPlan holds the routing parameters of a batch.
type batchPlan struct {
	class        pool.Class
	idempotent   bool
	mayCommit    bool
	readOnly     bool // no statement of the batch may write
	maxStaleness time.Duration
	serveStale   bool
}

// planner decides how the batches of a session are routed, from its customer,
// user and settings.
type planner struct {
	customer *customer.Customer
	user     customer.User
	settings *settings
}

// readOnly reports whether the user or the session is declared read-only.
func (pl planner) readOnly() bool { return pl.user.ReadOnly || pl.settings.readOnly }

// replicasAllowed reports whether statements that begin as reads may go to
// replicas.
func (pl planner) replicasAllowed() bool {
	if pl.settings.maxStaleness != nil {
		return *pl.settings.maxStaleness > 0
	}
	return pl.customer.ReadKeywords || pl.readOnly()
}

// basePlan returns a plan with the parameters that depend only on the session.
func (pl planner) basePlan() batchPlan {
	p := batchPlan{
		readOnly:     pl.readOnly(),
		maxStaleness: pl.customer.MaxStaleness,
		serveStale:   pl.customer.WhenCutOff == customer.ServeStaleReads,
	}
	if pl.settings.maxStaleness != nil {
		p.maxStaleness = *pl.settings.maxStaleness
	}
	return p
}

// planOutsideTx plans a batch outside a transaction.
func (pl planner) planOutsideTx(summary batchSummary) (batchPlan, error) {
	p := pl.basePlan()
	p.mayCommit = true
	if pl.readOnly() && summary.anyWrite {
		return p, errReadOnly
	}
	if (summary.allReads || pl.readOnly()) && pl.replicasAllowed() && !summary.leavesOpen {
		p.class = pool.Read
	}
	p.idempotent = pl.settings.idempotent || (p.class == pool.Read && pl.isSideEffectFree(summary))
	return p, nil
}

// isSideEffectFree reports whether a batch is safe to run twice on any target. A
// read that calls a user-defined function may write on the primary. It counts as
// free of side effects only if the user or the session is declared read-only.
func (pl planner) isSideEffectFree(summary batchSummary) bool {
	return pl.readOnly() || (summary.allReads && summary.allSideEffectFree)
}

// planBegin plans the BEGIN that opens a transaction. A BEGIN is idempotent,
// because no statement of the transaction has run yet.
func (pl planner) planBegin(begin statement) (batchPlan, error) {
	p := pl.basePlan()
	p.idempotent = true
	if begin.readWrite && pl.user.ReadOnly {
		return p, errReadOnly
	}
	if pl.isReadOnlyBegin(begin) && (pl.settings.maxStaleness == nil || *pl.settings.maxStaleness > 0) {
		p.class = pool.Read
	}
	return p, nil
}

// isReadOnlyBegin reports whether a BEGIN opens a read-only transaction.
func (pl planner) isReadOnlyBegin(begin statement) bool {
	return begin.readOnly || (pl.readOnly() && !begin.readWrite)
}

// beginSQL returns the BEGIN to send to the target. The target doesn't know that
// a session is read-only by default, so that BEGIN must say READ ONLY.
func (pl planner) beginSQL(begin statement) string {
	if pl.isReadOnlyBegin(begin) && !begin.readOnly {
		return begin.text + " READ ONLY"
	}
	return begin.text
}

// planInTx plans a batch within an open transaction, which stays on the target and
// in the class that it began with.
func (pl planner) planInTx(class pool.Class, summary batchSummary) (batchPlan, error) {
	p := pl.basePlan()
	if pl.user.ReadOnly && summary.anyWrite {
		return p, errReadOnly
	}
	p.class = class
	p.mayCommit = summary.mayCommitInTx
	return p, nil
}
