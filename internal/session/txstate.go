package session

// txState is the state of a connection's transaction. See the package comment for
// the transitions.
type txState int

const (
	txIdle txState = iota
	txBegun
	txOpen
	txFailed
	txLost
)

// Transaction status bytes of ReadyForQuery.
const (
	statusIdle   byte = 'I'
	statusOpen   byte = 'T'
	statusFailed byte = 'E'
)

// status returns the status byte for ReadyForQuery.
func (s txState) status() byte {
	switch s {
	case txBegun, txOpen:
		return statusOpen
	case txFailed, txLost:
		return statusFailed
	default:
		return statusIdle
	}
}

// String returns the name used in the state dump.
func (s txState) String() string {
	return [...]string{"idle", "begun", "open", "failed", "lost"}[s]
}

// pinned reports whether a target connection is reserved for the transaction.
func (s txState) pinned() bool { return s == txOpen || s == txFailed }

// txStateOf returns the state for the status byte that a target reported.
func txStateOf(status byte) txState {
	switch status {
	case statusOpen:
		return txOpen
	case statusFailed:
		return txFailed
	default:
		return txIdle
	}
}

// afterError returns the state after a batch was refused or its outcome was lost.
// After a single COMMIT or ROLLBACK the state is idle. After any other batch of a
// transaction the state is lost until the client ends the transaction.
func (s txState) afterError(summary batchSummary) txState {
	if s == txIdle && !summary.leavesOpen {
		return txIdle
	}
	if summary.onlyEnd {
		return txIdle
	}
	return txLost
}
