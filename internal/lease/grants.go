package lease

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// proofMaxAge is how old the holder's last proof of leadership may be for a grant:
// some probes of the leader.
const proofMaxAge = 600 * time.Millisecond

// grants records the leases on one group that this host granted. It reads no clock.
type grants struct {
	target   topology.TargetID // whose leadership is granted; "": nothing is granted
	provedAt time.Time         // when target was last known to lead
	period   uint64            // increases whenever granting stops
	lessees  map[topology.HostID]grant
}

// grant is the latest lease of one host.
type grant struct {
	at     time.Time
	period uint64 // in which it was granted
}

// allow starts or goes on granting leases on a target that led at the time now.
func (g *grants) allow(target topology.TargetID, now time.Time) {
	if target != g.target {
		g.stop()
	}
	g.target, g.provedAt = target, now
}

// stop ends granting. Leases granted earlier stay valid.
func (g *grants) stop() {
	if g.target != "" {
		g.target = ""
		g.period++
	}
}

// grant gives the host a lease. It returns false if none is granted.
func (g *grants) grant(host topology.HostID, now time.Time) (topology.TargetID, bool) {
	if g.target == "" || now.Sub(g.provedAt) > proofMaxAge {
		return "", false
	}
	if g.lessees == nil {
		g.lessees = map[topology.HostID]grant{}
	}
	g.lessees[host] = grant{at: now, period: g.period}
	return g.target, true
}

// confirmEnd records that a host's leases granted before the period have ended.
func (g *grants) confirmEnd(host topology.HostID, period uint64) {
	if lessee, ok := g.lessees[host]; ok && lessee.period < period {
		delete(g.lessees, host)
	}
}

// outstanding returns the hosts that may have a lease of an earlier period, and
// when the last of these leases ends at the latest. It removes ended leases.
func (g *grants) outstanding(now time.Time) (hosts []topology.HostID, until time.Time) {
	for host, lessee := range g.lessees {
		end := lessee.at.Add(MaxLifetime)
		switch {
		case !now.Before(end):
			delete(g.lessees, host)
		case lessee.period < g.period:
			hosts = append(hosts, host)
			if end.After(until) {
				until = end
			}
		}
	}
	return hosts, until
}
