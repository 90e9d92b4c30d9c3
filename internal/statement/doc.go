// Package statement defines the values that callers and targets exchange:
// statements, answers, and what a failure guarantees. Codecs translate them to a
// protocol; routing and retry decisions are made elsewhere and don't depend on
// the protocol.
package statement
