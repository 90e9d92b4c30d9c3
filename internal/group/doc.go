// Package group maintains this host's view of each group of targets: which
// target leads, how old the latest known position of the leader's log is, which
// replicas lag, and this host's connection pool for each target.
//
// leaderView holds the leader state and Order ranks the targets for a read;
// Group and Set drive both. A target counts as the leader only while it agrees
// to begin a transaction, which a replaced primary refuses.
package group
