package promotion

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	reportInterval = time.Second
	entryLifetime  = 3 * reportInterval // without a report
	effectDelay    = 400 * time.Millisecond
	answerTimeout  = 500 * time.Millisecond // of a request whose answer is lost
)

// register is the store's register of targets. It is guarded by cluster.mu.
type register struct {
	revision uint64
	members  map[topology.TargetID]catalog.Member
}

// runRegister receives the targets' reports and removes the entries of those that have
// left or were silent for too long.
func (c *cluster) runRegister() {
	now := time.Now()
	next := map[topology.TargetID]catalog.Member{}
	for _, t := range c.targets {
		registered, known := c.register.members[t.id]
		reaches := t.running && !t.cutFromStore
		changed := registered.Target.Leaving != t.leaving || registered.Primary != (t == c.leader)
		if reaches && (changed || now.Sub(t.reportedAt) >= reportInterval) {
			t.reportedAt = now
			registered, known = c.registration(t), true
		}
		if known && !t.ended && now.Sub(t.reportedAt) < entryLifetime {
			next[t.id] = registered
		}
	}
	c.setRegister(next)
}

func (c *cluster) registration(t *clusterTarget) catalog.Member {
	return catalog.Member{
		Target:      topology.Target{ID: t.id, Group: "g", Domain: "d", Addr: t.addr, Leaving: t.leaving},
		Primary:     t == c.leader,
		Incarnation: t.instance,
	}
}

func (c *cluster) setRegister(next map[topology.TargetID]catalog.Member) {
	changed := len(next) != len(c.register.members)
	for id, m := range next {
		old, ok := c.register.members[id]
		if !ok {
			c.tracef("register: %s appears", id)
		}
		changed = changed || !ok || old != m
	}
	for id := range c.register.members {
		if _, ok := next[id]; !ok {
			c.tracef("register: %s disappears", id)
		}
	}
	c.register.members = next
	if changed {
		c.register.revision++
	}
}

// snapshot returns the present register.
func (c *cluster) snapshot() *catalog.Registry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &catalog.Registry{Revision: c.register.revision, Members: c.register.members}
}

// readHeartbeat implements ReadHeartbeat.
func (c *cluster) readHeartbeat(_ context.Context, id topology.TargetID) (beat catalog.Heartbeat, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.register.members[id]
	return catalog.Heartbeat{Incarnation: m.Incarnation, Sequence: 1}, ok, nil
}

// promotionCall is the platform's call for promotions. It is guarded by cluster.mu.
type promotionCall struct {
	highestToken uint64
	calls        []clusterCall
	// While answersLost is set, requests get no answer and arrive after lateness.
	answersLost bool
	lateness    time.Duration
}

// clusterCall is a request that is on its way, or was accepted and has its effect at dueAt.
type clusterCall struct {
	request  Request
	dueAt    time.Time
	accepted bool
}

// runCalls carries out what is due.
func (c *cluster) runCalls() {
	due := slices.Clone(c.platform.calls)
	c.platform.calls = nil
	for _, call := range due {
		switch {
		case call.dueAt.After(time.Now()):
			c.platform.calls = append(c.platform.calls, call)
		case call.accepted:
			c.promote(c.find(call.request.Target))
		default:
			outcome := c.accept(call.request)
			c.tracef("late request for %s, token %d: %s", call.request.Target, call.request.Token, outcomeNames[outcome])
		}
	}
}

// accept checks a request that has arrived. It has its effect later.
func (c *cluster) accept(r Request) Outcome {
	if r.Token < c.platform.highestToken || !c.find(r.Target).running {
		return Refused
	}
	c.platform.highestToken = r.Token
	if c.find(r.Target) != c.leader {
		c.platform.calls = append(c.platform.calls, clusterCall{request: r, dueAt: time.Now().Add(effectDelay), accepted: true})
	}
	return Accepted
}

// Promote implements Promoter.
func (c *cluster) Promote(_ context.Context, r Request) Reply {
	c.mu.Lock()
	if !c.platform.answersLost {
		defer c.mu.Unlock()
		outcome := c.accept(r)
		c.tracef("request for %s, token %d: %s", r.Target, r.Token, outcomeNames[outcome])
		return Reply{Outcome: outcome}
	}
	c.tracef("request for %s, token %d: no answer, arrives in %s", r.Target, r.Token, c.platform.lateness)
	c.platform.calls = append(c.platform.calls, clusterCall{request: r, dueAt: time.Now().Add(c.platform.lateness)})
	c.mu.Unlock()
	time.Sleep(answerTimeout)
	return Reply{Outcome: Unanswered, Err: errors.New("no answer")}
}
