// Package statement holds the plain values that callers and targets exchange:
// statements, answers and what a failure promises. Codecs turn them into a
// protocol; the decisions about them stand elsewhere and know no protocol.
package statement
