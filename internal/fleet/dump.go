package fleet

import "nettlewalk.example/nettlewalk/internal/topology"

// Dump is the state of the fleet as this host sees it.
type Dump struct {
	Version   uint64            `json:"version"` // counts the changes seen by this process
	Self      topology.Host     `json:"self"`
	Hosts     []topology.Host   `json:"hosts"`
	Suspected []topology.HostID `json:"suspected"`
}

// Dump returns the state for operators.
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
