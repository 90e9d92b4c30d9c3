// Package gossip lets hosts tell each other what they know: the configuration,
// the register of targets, who holds which duty, and which hosts there are. It
// needs no store, so that a host that the store turns away still follows.
package gossip
