package pool

import (
	"nettlewalk.example/nettlewalk/internal/result"
)

// Transaction states of ReadyForQuery.
const (
	txIdle   = 'I'
	txOpen   = 'T'
	txFailed = 'E'
)

// broken describes a batch whose connection ended before its whole answer.
type broken struct {
	class         Class
	mayCommit     bool // as in Request
	replica       bool // the target is known to be a replica, which can't write
	inTransaction bool // an earlier batch of the stream opened one
	sent          bool // a byte of the batch may have left
	passedOn      bool // a part of the answer went to the caller
}

// code returns what the caller may conclude.
func (b broken) code() result.Code {
	mayHaveCommitted := b.sent && b.mayCommit && !(b.class == Read && b.replica)
	switch {
	case mayHaveCommitted:
		return result.UnknownOutcome
	case b.inTransaction:
		return result.TransactionLost
	case b.passedOn:
		return result.UnknownOutcome
	case b.sent && b.class == Write:
		return result.TransactionLost
	default:
		return result.TargetDown
	}
}

// repeatable tells whether the batch may be sent again to another target.
func (b broken) repeatable() bool {
	return !b.inTransaction && !b.passedOn && b.class == Read && (!b.mayCommit || b.replica)
}
