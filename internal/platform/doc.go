// Package platform is the client of the platform's object API: objects of
// named kinds with versions, conditional writes and watches, over HTTP and
// JSON. It keeps a budget of calls, tells how long the platform has been out
// of reach, and resolves a write whose answer was lost.
package platform
