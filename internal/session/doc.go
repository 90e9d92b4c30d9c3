// Package session serves callers' connections: it speaks the PostgreSQL
// protocol with them, keeps what belongs to their session (settings, prepared
// statements, transaction, floor) and hands each batch to routing.
//
// A batch is a Query, or the extended protocol's messages up to Sync. One
// goroutine reads a connection and assembles batches, another answers them in
// order.
//
// A connection's transaction is in one of these states:
//
//	idle    --BEGIN-->            begun   the target hasn't seen the BEGIN yet
//	begun   --first statement-->  open    a target connection is pinned
//	begun   --COMMIT, ROLLBACK--> idle    answered without a target
//	open    --target's error-->   failed  the target waits for ROLLBACK
//	open, failed --COMMIT, ROLLBACK--> idle
//	open, failed, begun --refusal or loss--> lost
//	lost    --COMMIT, ROLLBACK--> idle    answered ROLLBACK without a target
//
// In the state lost the transaction is over at the target. Everything but its
// end is refused, as PostgreSQL does in a failed transaction, so that the rest
// of a transaction never runs as statements of their own.
package session
