// Package fleet knows the live and leaving hosts and which of them hold the
// slots of each target.
package fleet

import "nettlewalk.example/nettlewalk/internal/topology"

// View is what this host knows of the others. Safe for concurrent use.
type View interface {
	Self() topology.Host
	Hosts() []topology.Host
	Host(id topology.HostID) (topology.Host, bool)
	// Holders returns the host of each slot of the target, by slot number.
	Holders(t topology.Target) []topology.HostID
	// Report tells that a call to the host failed or succeeded.
	Report(id topology.HostID, reachable bool)
}
