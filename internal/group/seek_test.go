package group

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// silentDialer reaches nobody.
type silentDialer struct{}

func (silentDialer) Dial(context.Context, topology.Target) (statement.Conn, error) {
	return nil, &statement.DialError{Outcome: statement.DialSilent, Cause: context.DeadlineExceeded}
}

// A host without connections to a group looked for its leader for ever.
func TestOnlyHoldersLookForALeader(t *testing.T) {
	g := New(Options{ID: "g", Dialer: silentDialer{}, Log: logr.Discard(), Suspect: func(topology.GroupID, topology.TargetID, statement.DialOutcome) {}})
	defer g.Close()
	members := []catalog.Member{{Target: topology.Target{ID: "a", Group: "g", Addr: "a"}}}
	seeking := func(size int) bool {
		g.SetMembers(members, func(topology.Target) int { return size })
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.seeking
	}
	qt.Check(t, seeking(0), qt.IsFalse)
	qt.Check(t, seeking(1), qt.IsTrue)
}
