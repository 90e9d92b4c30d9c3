package promotion

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/lease"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// unfencedGroup is a group whose recorded leader "new" doesn't respond, whose former
// primary "old" leads on until it is demoted, and whose replica is "r". It implements
// statement.Dialer, Promoter, Duty and Leases.
type unfencedGroup struct {
	permanentDuty

	mu       sync.Mutex
	status   map[topology.TargetID]statement.TargetStatus
	granted  map[topology.TargetID]bool
	recorded []duty.Leadership
	promoted chan topology.TargetID
}

func newUnfencedGroup() *unfencedGroup {
	return &unfencedGroup{
		status: map[topology.TargetID]statement.TargetStatus{
			"old": {Primary: true, Term: 1, Received: pos(1, 5)},
			"r":   {Term: 2, Received: pos(2, 9)},
		},
		granted:  map[topology.TargetID]bool{},
		promoted: make(chan topology.TargetID, 1),
	}
}

func (g *unfencedGroup) Token(topology.GroupID) (uint64, bool) { return 5, true }
func (g *unfencedGroup) Leadership(topology.GroupID) duty.Leadership {
	return duty.Leadership{Leader: "new", Term: 2}
}

func (g *unfencedGroup) Record(_ context.Context, _ topology.GroupID, state duty.Leadership) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recorded = append(g.recorded, state)
	return nil
}

func (g *unfencedGroup) Allow(_ topology.GroupID, id topology.TargetID, _ uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.granted[id] = true
}
func (g *unfencedGroup) Stop(topology.GroupID)                  {}
func (g *unfencedGroup) Revoke(topology.GroupID)                {}
func (g *unfencedGroup) Outstanding(topology.GroupID) time.Time { return time.Time{} }

func (g *unfencedGroup) Dial(ctx context.Context, t topology.Target, _ topology.CustomerID) (statement.Conn, error) {
	if t.ID == "new" {
		<-ctx.Done()
		return nil, &statement.DialError{Outcome: statement.DialTimedOut, Cause: ctx.Err()}
	}
	return &unfencedConn{g, t.ID}, nil
}

func (g *unfencedGroup) Promote(_ context.Context, request Request) Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.status[request.Target] = statement.TargetStatus{Primary: true, Term: 3, Received: g.status[request.Target].Received}
	g.promoted <- request.Target
	return Reply{Outcome: Accepted}
}

// parse returns the status of the target that the row names.
func (g *unfencedGroup) parse(row string) (statement.TargetStatus, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status[topology.TargetID(row)], nil
}

type unfencedConn struct {
	group *unfencedGroup
	id    topology.TargetID
}

func (c *unfencedConn) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	answers := make([]statement.Answer, len(batch))
	for i, st := range batch {
		status := c.group.status[c.id]
		switch st.Kind {
		case statement.Begin:
			if !status.Primary {
				answers[i].Code = statement.ReadOnly
			}
		case statement.Pause:
			status.PausedTerm = st.Term
		case statement.Demote:
			status.Primary = status.Primary && status.Term >= st.Term
		}
		c.group.status[c.id] = status
		answers[i].Rows = []string{fmt.Sprint(c.id)}
	}
	return answers, nil
}

func (c *unfencedConn) Alive() bool { return true }
func (c *unfencedConn) Close()      {}

// A holder whose recorded leader is gone must not take the primary before it, which
// leads on, for the leader: it grants no lease on it, demotes it and promotes another.
// What it is about to order is recorded first.
func TestReplacedPrimaryIsNotTakenForTheLeader(t *testing.T) {
	store := catalog.NewStore()
	store.OfferConfiguration(&catalog.Configuration{Version: 1, Groups: map[topology.GroupID]catalog.Group{"g": {ID: "g", AckReplicas: 1}}})
	members := map[topology.TargetID]catalog.Member{}
	for _, id := range []topology.TargetID{"old", "new", "r"} {
		members[id] = catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id)}}
	}
	store.OfferRegistry(&catalog.Registry{Revision: 1, Members: members})
	g := newUnfencedGroup()
	view := group.New(group.Options{ID: "g", Dialer: g, Log: logr.Discard()})
	w := NewWatcher(Options{
		Group: "g", Dialer: g, Parse: g.parse, Promoter: g, Duty: g, Leases: g,
		Catalog: store, GroupView: view, Hosts: func() int { return 3 }, Log: logr.Discard(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go w.Run(ctx)
	select {
	case id := <-g.promoted:
		qt.Check(t, id, qt.Equals, topology.TargetID("r"))
	case <-ctx.Done():
		t.Fatal("no target was promoted")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	qt.Check(t, g.granted["old"], qt.IsFalse)
	qt.Check(t, g.status["old"].Primary, qt.IsFalse)
	qt.Check(t, g.recorded[0], qt.Equals, duty.Leadership{Leader: "new", Term: 2, Ordered: "r"}) // before the request
}

// A new holder waits for the leases that its predecessor may have granted, the first
// holder ever for none; a host without lasting contact performs no step.
func TestPromotionWaitsForLeasesAndContact(t *testing.T) {
	now := time.Unix(1000, 0)
	var first, later requestState
	first.noteToken(confirm.FirstToken, "", now)
	qt.Check(t, first.predecessorLeases.IsZero(), qt.IsTrue)
	later.noteToken(confirm.FirstToken+1, "", now)
	qt.Check(t, later.predecessorLeases, qt.Equals, now.Add(lease.MaxLifetime))
	step := Step(Promote{Target: "a"})
	auth := authority{settled: true, leasesUntil: later.predecessorLeases}
	isWait := func(s Step) bool { _, ok := s.(Wait); return ok }
	qt.Check(t, isWait(authorize(step, auth, now.Add(lease.MaxLifetime-MinEffectDelay-1))), qt.IsTrue)
	qt.Check(t, authorize(step, auth, now.Add(lease.MaxLifetime-MinEffectDelay)), qt.Equals, step)
	auth.settled = false
	qt.Check(t, isWait(authorize(Pause{}, auth, now.Add(time.Minute))), qt.IsTrue)
}

// A new holder takes over the request that its predecessor recorded, its own renewal of
// the token changes nothing.
func TestRecordedRequestBindsTheNextHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	var r requestState
	r.noteToken(7, "a", now)
	qt.Check(t, r.pendingTarget(now), qt.Equals, topology.TargetID("a"))
	r.verified = "a"
	r.noteRenewal(8)
	r.noteToken(8, "a", now.Add(time.Second))
	qt.Check(t, r.verified, qt.Equals, topology.TargetID("a"))
	qt.Check(t, r.pendingTarget(now.Add(unresolvedWindow-1)), qt.Equals, topology.TargetID("a"))
	qt.Check(t, r.pendingTarget(now.Add(unresolvedWindow)), qt.Equals, topology.TargetID(""))
}
