// Package load generates client load on a testbed: sessions that write their own
// rows and read them back through any host, and readers that accept stale data.
// The sessions' operations and results are recorded in a history.Log.
package load
