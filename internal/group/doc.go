// Package group holds what a host believes of each group of targets: who
// leads, how old the news of its log are, which replicas lag, and the host's
// share of connections to each.
//
// belief is the plain state and choose the decision where a read goes; Group
// and Set drive them. A target is believed to lead only while it answers the
// start of a transaction, which a replaced primary refuses.
package group
