package lease

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Duty tells which duties this host holds. See duty.Keeper.
type Duty interface {
	// Token returns the group's fencing token and whether this host holds the duty.
	Token(topology.GroupID) (token uint64, held bool)
	// Settled reports whether this host holds the group's duty and no other host can
	// have acquired it without this host's knowledge.
	Settled(topology.GroupID) bool
}

const (
	revokeTimeout  = 250 * time.Millisecond // of one revocation call
	revokeInterval = 100 * time.Millisecond // between revocation calls to the same host
	// interestPeriod is how long a host that asked for leases is told that a new
	// leader has been found.
	interestPeriod = 5 * time.Second
	// pruneInterval is the time between removals of the records of hosts that no
	// longer ask.
	pruneInterval = 10 * time.Second
)

// GrantorOptions configures a Grantor.
type GrantorOptions struct {
	Duty  Duty
	Peers peer.Caller
	// OnAvailable is called when leases on a new leader can be granted.
	OnAvailable func()
	Log         logr.Logger
}

// Grantor grants leases on the groups whose duty this host holds. It is safe for
// concurrent use.
type Grantor struct {
	opts GrantorOptions

	mu     sync.Mutex
	groups map[topology.GroupID]*groupGrants
}

// groupGrants is the state of one group.
type groupGrants struct {
	Grants
	revokedAt map[topology.HostID]time.Time // start of the latest revocation call
	askedAt   map[topology.HostID]time.Time // when each host last asked for a lease
	prunedAt  time.Time
}

// prune removes the records of hosts that no longer ask, at intervals.
func (s *groupGrants) prune(now time.Time) {
	if now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	s.Outstanding(now) // removes ended leases
	for host, at := range s.askedAt {
		if now.Sub(at) >= interestPeriod {
			delete(s.askedAt, host)
			delete(s.revokedAt, host)
		}
	}
}

// NewGrantor returns a Grantor that grants nothing until Allow is called.
func NewGrantor(opts GrantorOptions) *Grantor {
	return &Grantor{opts: opts, groups: map[topology.GroupID]*groupGrants{}}
}

var (
	grantedCounter = metrics.NewCounter(`nettlewalk_leases_total{event="granted"}`)
	refusedCounter = metrics.NewCounter(`nettlewalk_leases_total{event="refused"}`)
	revokedCounter = metrics.NewCounter(`nettlewalk_leases_total{event="revoked"}`)
	expiredCounter = metrics.NewCounter(`nettlewalk_leases_total{event="expired"}`)
)

// group returns the state of a group. The caller holds g.mu.
func (g *Grantor) group(id topology.GroupID) *groupGrants {
	state := g.groups[id]
	if state == nil {
		state = &groupGrants{revokedAt: map[topology.HostID]time.Time{}, askedAt: map[topology.HostID]time.Time{}}
		g.groups[id] = state
	}
	return state
}

// Allow lets this host grant leases on the target, which has just been proved to
// lead the group, while it holds the duty under the token. Without another call,
// granting ends after proofMaxAge. Allow tells the hosts that asked for a lease if the
// target is a new one.
func (g *Grantor) Allow(id topology.GroupID, target topology.TargetID, token uint64) {
	now := steady.Now()
	g.mu.Lock()
	state := g.group(id)
	changed := state.target != target
	state.Allow(target, token, now)
	state.prune(now)
	var interested []topology.HostID
	if changed {
		for host, at := range state.askedAt {
			if now.Sub(at) < interestPeriod {
				interested = append(interested, host)
			}
		}
	}
	g.mu.Unlock()
	if changed {
		g.opts.Log.Info("leases are granted", "group", id, "target", target, "told", len(interested))
	}
	if changed {
		g.opts.OnAvailable()
	}
	for _, host := range interested {
		go g.call(host, availableMethod, &AvailableArgs{Group: id})
	}
}

// Stop ends granting. Leases granted earlier stay valid until they are revoked.
func (g *Grantor) Stop(id topology.GroupID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group(id).Stop()
}

// Revoke ends granting and asks the lessees to confirm that their leases have ended.
// It returns without waiting. Outstanding tells what is left. Each lessee has an open
// connection to the group, so their number is bounded by the targets' limits.
func (g *Grantor) Revoke(id topology.GroupID) {
	token, _ := g.opts.Duty.Token(id)
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.group(id)
	state.Stop()
	hosts, _ := state.Outstanding(now)
	for _, host := range hosts {
		if now.Sub(state.revokedAt[host]) < revokeInterval {
			continue
		}
		state.revokedAt[host] = now
		go g.revokeAt(host, RevokeArgs{Group: id, Token: token}, state, state.period)
	}
}

func (g *Grantor) revokeAt(host topology.HostID, args RevokeArgs, state *groupGrants, period uint64) {
	if !g.call(host, revokeMethod, &args) {
		return
	}
	revokedCounter.Inc()
	g.mu.Lock()
	defer g.mu.Unlock()
	state.ConfirmEnd(host, period)
}

// call calls a method of a lessee and reports whether it succeeded.
func (g *Grantor) call(host topology.HostID, method string, args any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), revokeTimeout)
	defer cancel()
	if err := g.opts.Peers.Call(ctx, host, method, args, &Empty{}); err != nil {
		g.opts.Log.V(1).Info("lessee did not answer", "method", method, "addr", host, "error", err.Error())
		return false
	}
	return true
}

// Outstanding returns the time until which a lease on a former leader of the group,
// or on one that is being replaced, may be valid; zero if there is none.
func (g *Grantor) Outstanding(id topology.GroupID) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, until := g.group(id).Outstanding(steady.Now())
	return until
}

// Grant grants leases on those of the groups for which this host may do so.
func (g *Grantor) Grant(from topology.HostID, ids []topology.GroupID) []Lease {
	now := steady.Now()
	var leases []Lease
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, id := range ids {
		token, held := g.opts.Duty.Token(id)
		if !held || !g.opts.Duty.Settled(id) {
			refusedCounter.Inc()
			continue
		}
		state := g.group(id)
		state.askedAt[from] = now
		target, ok := state.Grant(from, token, now)
		if !ok {
			refusedCounter.Inc()
			continue
		}
		grantedCounter.Inc()
		leases = append(leases, Lease{Group: id, Target: target, Token: token})
	}
	return leases
}

// GrantDump is the state of the leases that this host grants on one group.
type GrantDump struct {
	Group       topology.GroupID          `json:"group"`
	Target      topology.TargetID         `json:"target,omitempty"` // empty: none is granted
	GrantedMS   map[topology.HostID]int64 `json:"granted_ms_ago"`   // by lessee
	Outstanding int                       `json:"outstanding"`      // leases of earlier periods that may still be valid
}

// Dump returns the state of all groups for operators.
func (g *Grantor) Dump() []GrantDump {
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	dumps := []GrantDump{}
	for id, state := range g.groups {
		hosts, _ := state.Outstanding(now)
		d := GrantDump{Group: id, Target: state.target, GrantedMS: map[topology.HostID]int64{}, Outstanding: len(hosts)}
		for host, lessee := range state.lessees {
			d.GrantedMS[host] = now.Sub(lessee.at).Milliseconds()
		}
		dumps = append(dumps, d)
	}
	return dumps
}
