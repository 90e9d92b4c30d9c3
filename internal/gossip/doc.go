// Package gossip spreads state between hosts: the configuration, the registry
// of targets, the holders of duties (see package duty) and the list of hosts. It
// doesn't use the platform's store, so a host that the store rejects still receives
// updates from its peers.
package gossip
