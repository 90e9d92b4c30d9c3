package session

// txState is the state of a connection's transaction; see the package comment.
type txState int

const (
	txIdle txState = iota
	txBegun
	txOpen
	txFailed
	txLost
)

// Transaction states as ReadyForQuery reports them.
const (
	statusIdle   byte = 'I'
	statusOpen   byte = 'T'
	statusFailed byte = 'E'
)

// status returns the state as ReadyForQuery reports it.
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

// String returns the name that the state dump shows.
func (s txState) String() string {
	return [...]string{"idle", "begun", "open", "failed", "lost"}[s]
}

// pinned tells whether a target connection belongs to the transaction.
func (s txState) pinned() bool { return s == txOpen || s == txFailed }

// afterAnswer returns the state that a target reported.
func afterAnswer(status byte) txState {
	switch status {
	case statusOpen:
		return txOpen
	case statusFailed:
		return txFailed
	default:
		return txIdle
	}
}

// afterError returns the state after a batch was refused or lost. A batch that
// only ended the transaction leaves none behind; any other batch of a
// transaction leaves it lost until the caller ends it.
func (s txState) afterError(b batchFacts) txState {
	if s == txIdle && !b.begins {
		return txIdle
	}
	if b.onlyEnds {
		return txIdle
	}
	return txLost
}
