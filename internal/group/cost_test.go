package group

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// leadingDialer opens connections to targets that all lead.
type leadingDialer struct{}

func (leadingDialer) Dial(context.Context, topology.Target, topology.CustomerID) (statement.Conn, error) {
	return leadingConn{}, nil
}

type leadingConn struct{}

func (leadingConn) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	return make([]statement.Answer, len(batch)), nil
}
func (leadingConn) Alive() bool { return true }
func (leadingConn) Close()      {}

// A host that holds no connections of a group must not search for its leader, 25 times a
// second for each such group, and must find it as soon as it has a connection.
func TestLeaderIsSearchedOnlyOverConnections(t *testing.T) {
	g := New(Options{ID: "g", Dialer: leadingDialer{}, Log: logr.Discard()})
	defer g.Close()
	members := []catalog.Member{{Target: topology.Target{ID: "t", Group: "g"}}}
	g.SetMembers(members, func(topology.Target) int { return 0 })
	g.mu.Lock()
	probing := g.probing
	g.mu.Unlock()
	qt.Check(t, probing, qt.IsFalse)
	_, _, found := g.WaitLeader(t.Context(), time.Now().Add(5*time.Millisecond))
	qt.Check(t, found, qt.IsFalse)
	g.SetMembers(members, func(topology.Target) int { return 1 })
	id, _, found := g.WaitLeader(t.Context(), time.Now().Add(5*time.Second))
	qt.Check(t, found, qt.IsTrue)
	qt.Check(t, id, qt.Equals, topology.TargetID("t"))
}

// Reports of leaders in the offers must not grow with the groups, and each group must be
// reported within a number of lists that a host gets within a few seconds.
func TestLeaderReportsAreBounded(t *testing.T) {
	s := NewSet(SetOptions{Log: logr.Discard()})
	for i := range 200 {
		id := topology.GroupID(fmt.Sprint("g", i))
		s.groups[id] = New(Options{ID: id, Log: logr.Discard()})
		s.groups[id].NoteReportedLeader("t", steady.Now())
	}
	reported := map[topology.GroupID]bool{}
	for range 6 * 15 { // 15 s, after which a new holder of a duty doesn't use a report
		offers := s.Offers()
		qt.Check(t, offers, qt.HasLen, maxLeaderReports)
		for _, o := range offers {
			reported[o.Group] = true
		}
	}
	qt.Check(t, reported, qt.HasLen, 200)
}
