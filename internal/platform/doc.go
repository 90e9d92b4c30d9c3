// Package platform implements a client for the platform's object API: versioned
// objects of named kinds with conditional writes and watches, over HTTP and JSON.
// The client limits its call rate, tracks since when the platform has been
// unreachable, and determines the outcome of a write whose answer was lost.
package platform
