// Package catalog keeps the state that the platform provides to all hosts: the
// configuration (routes and groups) and the registry of each group's targets.
// Both arrive as numbered snapshots, from the store or from another host. The
// newest snapshot wins and a host never returns to an older one, so a host that
// the store rejects still receives updates through other hosts.
package catalog
