// Package catalog knows what the platform tells all hosts: the configuration,
// with its routes and groups, and the targets of each group. Both come as
// numbered snapshots, from the store or from another host; the newest wins, so
// that a host that the store turns away still follows, and none goes back.
package catalog
