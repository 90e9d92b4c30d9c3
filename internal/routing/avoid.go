package routing

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// avoidFor outlasts the time after which the fleet calls a silent host gone.
const avoidFor = 2500 * time.Millisecond

// avoided remembers the hosts to which a call of this process failed lately, so
// that the following requests try others first. No slot moves by it.
type avoided struct{ since sync.Map } // topology.HostID to time.Time

func (a *avoided) note(id topology.HostID, now time.Time) { a.since.Store(id, now) }

func (a *avoided) forget(id topology.HostID) { a.since.Delete(id) }

func (a *avoided) has(id topology.HostID, now time.Time) bool {
	since, ok := a.since.Load(id)
	if !ok {
		return false
	}
	if now.Sub(since.(time.Time)) < avoidFor {
		return true
	}
	a.since.Delete(id)
	return false
}
