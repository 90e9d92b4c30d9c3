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
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// partitionedGroup is a group whose primary "p" doesn't respond, and whose replicas
// do. It implements both statement.Dialer and Promoter.
type partitionedGroup struct {
	mu        sync.Mutex
	paused    map[topology.TargetID]uint64
	leader    topology.TargetID
	dials     int // number of dials of the unresponsive primary
	requested chan Request
}

func (g *partitionedGroup) Dial(ctx context.Context, t topology.Target, _ topology.CustomerID) (statement.Conn, error) {
	if t.ID != "p" {
		return &partitionedGroupConn{g, t.ID}, nil
	}
	g.mu.Lock()
	g.dials++
	g.mu.Unlock()
	<-ctx.Done()
	return nil, &statement.DialError{Outcome: statement.DialTimedOut, Cause: ctx.Err()}
}

// Promote implements Promoter.
func (g *partitionedGroup) Promote(_ context.Context, order Request) Reply {
	g.mu.Lock()
	g.leader = order.Target
	g.mu.Unlock()
	g.requested <- order
	return Reply{Outcome: Accepted}
}

type partitionedGroupConn struct {
	group *partitionedGroup
	id    topology.TargetID
}

func (c *partitionedGroupConn) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	answers := make([]statement.Answer, len(batch))
	for i, st := range batch {
		switch st.Kind {
		case statement.Begin:
			if c.group.leader != c.id {
				answers[i].Code = statement.ReadOnly
			}
		case statement.Pause:
			c.group.paused[c.id] = st.Term
		}
		answers[i].Rows = []string{fmt.Sprint(c.group.paused[c.id])}
	}
	return answers, nil
}

func (c *partitionedGroupConn) Alive() bool { return true }
func (c *partitionedGroupConn) Close()      {}

func parsePausedTerm(row string) (s statement.TargetStatus, err error) {
	s.Term, s.Received = 1, pos(1, 7)
	_, err = fmt.Sscan(row, &s.PausedTerm)
	return s, err
}

// permanentDuty is a duty that this host always holds. It implements Duty.
type permanentDuty struct{}

func (permanentDuty) Token(topology.GroupID) (uint64, bool)         { return 1, true }
func (permanentDuty) Renew(context.Context, topology.GroupID) error { return nil }
func (permanentDuty) NoteRequest(topology.GroupID)                  {}
func (permanentDuty) Leadership(topology.GroupID) duty.Leadership   { return duty.Leadership{} }
func (permanentDuty) Record(context.Context, topology.GroupID, duty.Leadership) error {
	return nil
}
func (permanentDuty) Members(topology.GroupID) []duty.Member { return nil }
func (permanentDuty) RecordMembers(context.Context, topology.GroupID, []duty.Member) error {
	return nil
}
func (permanentDuty) MembersStored(topology.GroupID, []topology.TargetID) bool { return true }
func (permanentDuty) PendingUntil(topology.GroupID) time.Time                  { return time.Time{} }
func (permanentDuty) Settled(topology.GroupID) bool                            { return true }

// Between the pauses and the promotion request, the watcher doesn't probe the
// unresponsive primary again: the promotion is safe whether or not the primary is
// alive.
func TestUnresponsivePrimaryIsProbedTwiceOnly(t *testing.T) {
	store := catalog.NewStore()
	store.OfferConfiguration(&catalog.Configuration{Version: 1, Groups: map[topology.GroupID]catalog.Group{"g": {ID: "g", AckReplicas: 1}}})
	members := map[topology.TargetID]catalog.Member{}
	for _, id := range []topology.TargetID{"p", "a", "b"} {
		members[id] = catalog.Member{Target: topology.Target{ID: id, Group: "g", Addr: string(id)}}
	}
	store.OfferRegistry(&catalog.Registry{Revision: 1, Members: members})
	targets := &partitionedGroup{paused: map[topology.TargetID]uint64{}, requested: make(chan Request, 1)}
	view := group.New(group.Options{ID: "g", Dialer: targets, Log: logr.Discard()})
	view.NoteReportedLeader("p", steady.Now())
	w := NewWatcher(Options{
		Group: "g", Dialer: targets, Parse: parsePausedTerm, Promoter: targets, Duty: permanentDuty{},
		Catalog: store, GroupView: view, Hosts: func() int { return 3 }, Log: logr.Discard(),
	})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go w.Run(ctx)
	select {
	case order := <-targets.requested:
		qt.Check(t, order.Target, qt.Equals, topology.TargetID("a"))
	case <-ctx.Done():
		t.Fatal("no target was promoted")
	}
	targets.mu.Lock()
	defer targets.mu.Unlock()
	qt.Check(t, targets.paused["b"], qt.Equals, uint64(2))
	qt.Check(t, targets.dials, qt.Equals, missedProbesLimit)
}

// switchedDuty is a duty that this host holds from some moment on. It counts how often it
// is asked.
type switchedDuty struct {
	permanentDuty
	mu    sync.Mutex
	held  bool
	asked int
}

func (d *switchedDuty) Token(topology.GroupID) (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asked++
	return 1, d.held
}

func (d *switchedDuty) hold() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = true
}

func (d *switchedDuty) timesAsked() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.asked
}

// A watcher of a duty that another host holds must not look ten times a second whether it
// has changed, and must begin at once when it has.
func TestWatcherSleepsUntilItsDutyChanges(t *testing.T) {
	store := catalog.NewStore()
	view := group.New(group.Options{ID: "g", Log: logr.Discard()})
	d := &switchedDuty{}
	ws := NewWatchers()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ws.Ensure(ctx, "g", func() *Watcher {
		return NewWatcher(Options{Group: "g", Duty: d, DutyAnnounced: true, Catalog: store, GroupView: view, Hosts: func() int { return 3 }, Log: logr.Discard()})
	})
	time.Sleep(5 * idleInterval)
	qt.Check(t, d.timesAsked() <= 1, qt.IsTrue, qt.Commentf("asked %d times", d.timesAsked()))
	d.hold()
	ws.DutyChanged("g")
	began := time.Now()
	for d.timesAsked() < 3 && time.Since(began) < unheldInterval/2 { // while it holds the duty, it probes at short intervals
		time.Sleep(time.Millisecond)
	}
	qt.Check(t, d.timesAsked() >= 3, qt.IsTrue)
}

// A change of one duty must not wake the watchers of all groups: with G groups, the G claims
// that a host learns at its start would cause G*G checks.
func TestDutyChangeWakesOnlyItsWatcher(t *testing.T) {
	ws := NewWatchers()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	duties := map[topology.GroupID]*switchedDuty{}
	for _, id := range []topology.GroupID{"a", "b", "c"} {
		d := &switchedDuty{}
		duties[id] = d
		ws.Ensure(ctx, id, func() *Watcher {
			return NewWatcher(Options{Group: id, Duty: d, DutyAnnounced: true, Catalog: catalog.NewStore(), GroupView: group.New(group.Options{ID: id, Log: logr.Discard()}), Log: logr.Discard()})
		})
	}
	began := time.Now()
	for _, d := range duties {
		for d.timesAsked() < 1 && time.Since(began) < unheldInterval/2 {
			time.Sleep(time.Millisecond)
		}
	}
	ws.DutyChanged("a")
	ws.DutyChanged("unknown")
	for duties["a"].timesAsked() < 2 && time.Since(began) < unheldInterval/2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // in which others would have checked, too
	qt.Check(t, duties["a"].timesAsked(), qt.Equals, 2)
	qt.Check(t, duties["b"].timesAsked(), qt.Equals, 1)
	qt.Check(t, duties["c"].timesAsked(), qt.Equals, 1)
}
