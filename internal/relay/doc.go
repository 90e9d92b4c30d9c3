// Package relay serves callers' sessions: it receives statements, decides where
// each one runs, and returns the answers.
//
// A session is one caller connection. The proxy keeps the session's values and
// prepared statements and replays them on whichever target connection runs a
// statement. A transaction begins at a target with its first statement and then
// keeps its target connection:
//
//	idle     no transaction; each statement runs by itself
//	opened   the caller opened a transaction that has no target connection yet
//	running  the transaction has its target connection
//	failed   the transaction is rolled back; only its end is accepted
//
// plan.go contains the routing and timing decisions as pure functions.
package relay
