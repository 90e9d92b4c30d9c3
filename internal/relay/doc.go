// Package relay serves callers' sessions: it takes statements, decides where
// each runs, and returns the answers.
//
// A session is a connection. Its values and prepared statements are kept here
// and replayed on whatever connection to a target a statement uses. A
// transaction begins at its first statement and then keeps its connection:
//
//	idle     no transaction; each statement runs by itself
//	opened   the caller began a transaction that has no connection yet
//	running  the transaction has its connection
//	failed   the transaction is rolled back; only its end is accepted
//
// plan.go holds the decisions as pure functions.
package relay
