// Package fleet tracks the hosts of the fleet and their states, and assigns the
// slots of each target to hosts.
package fleet

import "nettlewalk.example/nettlewalk/internal/topology"

// View is this host's view of the fleet. Safe for concurrent use.
type View interface {
	Self() topology.Host
	Hosts() []topology.Host
	Host(id topology.HostID) (topology.Host, bool)
	// Holders returns the host of each slot of the target, by slot number.
	Holders(t topology.Target) []topology.HostID
	// RecordCall records whether a call reached the host.
	RecordCall(id topology.HostID, reachable bool)
}
