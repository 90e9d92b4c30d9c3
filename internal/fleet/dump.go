package fleet

import "nettlewalk.example/nettlewalk/internal/topology"

// Dump is this host's view of the fleet, for operators.
type Dump struct {
	Version   uint64            `json:"version"` // number of changes since the process started
	Self      topology.Host     `json:"self"`
	Hosts     []topology.Host   `json:"hosts"`
	Suspected []topology.HostID `json:"suspected"`
}

// Dump returns this host's view of the fleet, for operators.
func (t *Tracker) Dump() any {
	s := t.current.Load()
	d := Dump{Version: s.version, Self: t.Self(), Hosts: s.hosts}
	for _, h := range s.hosts {
		if h.State == topology.HostGone {
			d.Suspected = append(d.Suspected, h.ID)
		}
	}
	return d
}
