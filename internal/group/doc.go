// Package group maintains this host's view of each group of targets: which
// target leads, which positions the leader's log had and when (the anchors of
// package freshness), which replicas lag, and this host's connection pool for
// each target.
//
// leaderView holds the leader state and Order ranks the targets for a read;
// Group and Set drive both. A target counts as the leader only while it agrees
// to begin a transaction, which a replaced primary refuses.
package group
