// Package load drives callers against a Bed: sessions that write rows of their
// own and read them back through any host, and readers that accept stale data.
// Everything they do and see goes into a history.Log.
package load
