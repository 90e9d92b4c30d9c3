package lease

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// proofMaxAge is how old the holder's last proof of leadership may be for a grant:
// some probes of the leader.
const proofMaxAge = 600 * time.Millisecond

// Grants records the leases on one group that a host granted. It reads no clock; the
// caller passes the time of package steady.
type Grants struct {
	target   topology.TargetID // whose leadership is granted; "": nothing is granted
	token    uint64            // under which target was compared with the other targets
	provedAt time.Time         // when target was last known to lead
	period   uint64            // increases whenever granting stops
	lessees  map[topology.HostID]grant
}

// Grant is the latest lease of one host.
type grant struct {
	at     time.Time
	period uint64 // in which it was granted
}

// Allow starts or goes on granting leases on a target that led at the time now. token
// is the one under which this host holds the duty.
func (g *Grants) Allow(target topology.TargetID, token uint64, now time.Time) {
	if target != g.target {
		g.Stop()
	}
	g.target, g.token, g.provedAt = target, token, now
}

// Stop ends granting. Leases granted earlier stay valid.
func (g *Grants) Stop() {
	if g.target != "" {
		g.target = ""
		g.period++
	}
}

// Grant gives the host a lease. It returns false if none is granted. token is the
// present one: this host may have lost the duty and acquired it again since Allow.
func (g *Grants) Grant(host topology.HostID, token uint64, now time.Time) (topology.TargetID, bool) {
	if g.target == "" || token != g.token || now.Sub(g.provedAt) > proofMaxAge {
		return "", false
	}
	if g.lessees == nil {
		g.lessees = map[topology.HostID]grant{}
	}
	g.lessees[host] = grant{at: now, period: g.period}
	return g.target, true
}

// Period returns the present period. Leases of earlier ones are to be ended.
func (g *Grants) Period() uint64 { return g.period }

// ConfirmEnd records that a host's leases granted before the period have ended.
func (g *Grants) ConfirmEnd(host topology.HostID, period uint64) {
	if lessee, ok := g.lessees[host]; ok && lessee.period < period {
		delete(g.lessees, host)
	}
}

// Outstanding returns the hosts that may have a lease of an earlier period, and
// when the last of these leases ends at the latest. It removes ended leases.
func (g *Grants) Outstanding(now time.Time) (hosts []topology.HostID, until time.Time) {
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
