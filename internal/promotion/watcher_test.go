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
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// cutGroup is a group whose primary "p" answers nobody. Its replicas take
// orders. It is the platform's call, too.
type cutGroup struct {
	mu      sync.Mutex
	paused  map[topology.TargetID]uint64
	leads   topology.TargetID
	dials   int // of the silent primary
	ordered chan Order
}

func (g *cutGroup) Dial(ctx context.Context, t topology.Target) (statement.Conn, error) {
	if t.ID != "p" {
		return &cutGroupConn{g, t.ID}, nil
	}
	g.mu.Lock()
	g.dials++
	g.mu.Unlock()
	<-ctx.Done()
	return nil, &statement.DialError{Outcome: statement.DialSilent, Cause: ctx.Err()}
}

// Promote implements Promoter.
func (g *cutGroup) Promote(_ context.Context, order Order) Reply {
	g.mu.Lock()
	g.leads = order.Target
	g.mu.Unlock()
	g.ordered <- order
	return Reply{Outcome: Accepted}
}

type cutGroupConn struct {
	group *cutGroup
	id    topology.TargetID
}

func (c *cutGroupConn) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	answers := make([]statement.Answer, len(batch))
	for i, st := range batch {
		switch st.Kind {
		case statement.Begin:
			if c.group.leads != c.id {
				answers[i].Code = statement.ReadOnly
			}
		case statement.Pause:
			c.group.paused[c.id] = st.Term
		}
		answers[i].Rows = []string{fmt.Sprint(c.group.paused[c.id])}
	}
	return answers, nil
}

func (c *cutGroupConn) Alive() bool { return true }
func (c *cutGroupConn) Close()      {}

func parseCutGroup(row string) (s statement.TargetStatus, err error) {
	s.Term, s.Received = 1, at(1, 7)
	_, err = fmt.Sscan(row, &s.PausedTerm)
	return s, err
}

// freeDuty is held by this host for ever.
type freeDuty struct{}

func (freeDuty) Token(topology.GroupID) (uint64, bool)         { return 1, true }
func (freeDuty) Renew(context.Context, topology.GroupID) error { return nil }
func (freeDuty) Ordered(topology.GroupID)                      {}
func (freeDuty) PendingUntil(topology.GroupID) time.Time       { return time.Time{} }
func (freeDuty) Connected() bool                               { return true }

// Between the pauses and the order nobody waits for the silent primary again:
// the order is safe whether it lives or not.
func TestASilentPrimaryIsWaitedForTwiceOnly(t *testing.T) {
	store := catalog.NewStore()
	store.OfferConfiguration(&catalog.Configuration{Version: 1, Groups: map[topology.GroupID]catalog.Group{"g": {ID: "g", AckReplicas: 1}}})
	members := map[topology.TargetID]catalog.Member{}
	for _, id := range []topology.TargetID{"p", "a", "b"} {
		members[id] = catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id)}}
	}
	store.OfferRegister(&catalog.Register{Revision: 1, Members: members})
	targets := &cutGroup{paused: map[topology.TargetID]uint64{}, ordered: make(chan Order, 1)}
	belief := group.New(group.Options{ID: "g", Dialer: targets, Log: logr.Discard()})
	belief.HeardLeader("p", steady.Now())
	w := NewWatcher(Options{
		Group: "g", Dialer: targets, Parse: parseCutGroup, Promoter: targets, Duty: freeDuty{}, Contact: freeDuty{},
		Catalog: store, Belief: belief, Hosts: func() int { return 3 }, Log: logr.Discard(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go w.Run(ctx)
	select {
	case order := <-targets.ordered:
		qt.Check(t, order.Target, qt.Equals, topology.TargetID("a"))
	case <-ctx.Done():
		t.Fatal("nobody was promoted")
	}
	targets.mu.Lock()
	defer targets.mu.Unlock()
	qt.Check(t, targets.paused["b"], qt.Equals, uint64(2))
	qt.Check(t, targets.dials, qt.Equals, silentLooks)
}
