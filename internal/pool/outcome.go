package pool

import (
	"nettlewalk.example/nettlewalk/internal/result"
)

// Transaction statuses in ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// interruptedBatch describes a batch whose connection failed before the
// response was complete.
type interruptedBatch struct {
	class           Class
	mayCommit       bool // Request.MayCommit, but false for an idempotent batch
	replica         bool // the target is known to be a replica, which cannot write
	inTransaction   bool // an earlier batch of the stream opened a transaction
	sent            bool // some of the batch may have been sent
	partlyDelivered bool // part of the response was returned to the caller
}

// code returns the result code, which tells the caller whether the batch may
// have taken effect.
func (b interruptedBatch) code() result.Code {
	mayHaveCommitted := b.sent && b.mayCommit && !(b.class == Read && b.replica)
	switch {
	case mayHaveCommitted:
		return result.UnknownOutcome
	case b.inTransaction:
		return result.TransactionLost
	case b.partlyDelivered:
		return result.UnknownOutcome
	case b.sent && b.class == Write:
		return result.TransactionLost
	default:
		return result.TargetDown
	}
}

// retryable reports whether the batch may be sent again, also to another
// target.
func (b interruptedBatch) retryable() bool {
	return !b.inTransaction && !b.partlyDelivered && b.class == Read && (!b.mayCommit || b.replica)
}
