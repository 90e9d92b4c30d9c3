package routing

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// unreachableTTL is longer than the fleet takes to mark a silent host as gone.
const unreachableTTL = 2500 * time.Millisecond

// unreachableHosts records the hosts to which a call of this process failed
// recently, so that later requests prefer other hosts. It does not move any
// slots.
type unreachableHosts struct{ failedAt sync.Map } // topology.HostID to time.Time

func (u *unreachableHosts) add(id topology.HostID, now time.Time) { u.failedAt.Store(id, now) }

func (u *unreachableHosts) remove(id topology.HostID) { u.failedAt.Delete(id) }

func (u *unreachableHosts) contains(id topology.HostID, now time.Time) bool {
	failedAt, ok := u.failedAt.Load(id)
	if !ok {
		return false
	}
	if now.Sub(failedAt.(time.Time)) < unreachableTTL {
		return true
	}
	u.failedAt.Delete(id)
	return false
}
