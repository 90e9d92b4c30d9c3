// Package session serves client connections. It implements the server side of
// the PostgreSQL protocol, keeps the state of each session (settings, prepared
// statements, transaction, floor) and passes each batch to routing. Settings
// and metrics call clients "callers".
//
// A batch is a Query message, or the messages of the extended protocol up to
// Sync or Flush. One goroutine reads a connection and assembles batches, another
// executes them in order.
//
// The floor of a session is the lowest log position that a target must have
// applied to serve the session's reads. It gives a session read-your-writes and
// monotonic reads on replicas.
//
// The transaction of a connection is in one of these states:
//
//	idle    --BEGIN-->            begun   BEGIN is answered but not yet sent to a target
//	begun   --first statement-->  open    a target connection is pinned
//	begun   --COMMIT, ROLLBACK--> idle    answered without a target
//	open    --target's error-->   failed  the target waits for ROLLBACK
//	open, failed --COMMIT, ROLLBACK--> idle
//	open, failed, begun --refusal or loss--> lost
//	lost    --COMMIT, ROLLBACK--> idle    answered with ROLLBACK without a target
//
// In the state lost, the transaction no longer exists at the target. Every
// statement except COMMIT and ROLLBACK is refused, as PostgreSQL does in a failed
// transaction. Otherwise the remaining statements of the transaction would run
// in transactions of their own.
package session
