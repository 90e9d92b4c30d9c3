// Package configcheck has the rules by which a configuration is checked before it is sent
// to hosts, and by which it is compared to the version in force. It guards against
// configurations that hosts can read but that refuse callers: entries without an effect and
// limits that let nothing through.
//
// The rules know nothing of the form in which a configuration is written. Names has the
// words with which findings refer to it.
package configcheck
