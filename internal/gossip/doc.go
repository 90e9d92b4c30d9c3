// Package gossip spreads state between hosts: the configuration, the register
// of targets, the holders of duties and the list of hosts. It doesn't use the
// store, so a host that the store rejects still receives updates from its peers.
package gossip
