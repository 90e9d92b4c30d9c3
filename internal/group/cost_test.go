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

// Each group must be reported within the time after which receivers don't use a report, also
// at the design size, while the lists of small deployments stay small.
func TestLeaderReportsAreBounded(t *testing.T) {
	for groups, reports := range map[int]int{10: 10, 100: 16, 200: 16, 720: 16, 1440: 32, 14_000: 312} {
		s := NewSet(SetOptions{Log: logr.Discard()})
		for i := range groups {
			s.getOrCreate(topology.GroupID(fmt.Sprint("g", i))).NoteReportedLeader("t", steady.Now())
		}
		reported := map[topology.GroupID]bool{}
		for range 6 * 15 / reportRounds { // a host gets about 6 lists a second
			offers := s.Offers()
			qt.Check(t, offers, qt.HasLen, reports)
			for _, o := range offers {
				reported[o.Group] = true
			}
		}
		qt.Check(t, reported, qt.HasLen, groups)
	}
}

// Offers are listed for each message to another host, several times a second.
func BenchmarkOffersOfManyGroups(b *testing.B) {
	s := NewSet(SetOptions{Log: logr.Discard()})
	for i := range 14_000 {
		s.getOrCreate(topology.GroupID(fmt.Sprint("g", i))).NoteReportedLeader("t", steady.Now())
	}
	for b.Loop() {
		s.Offers()
	}
}
