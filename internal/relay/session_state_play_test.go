package relay

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
)

// Sessions of one host, and of one that has no connections of its own, change their state
// at random while targets refuse a share of it.
func TestEveryStatementRunsUnderItsSessionsState(t *testing.T) {
	for _, freshness := range []catalog.Freshness{catalog.LatestData, catalog.BoundedAge, catalog.OwnWrites} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("freshness %d seed %d", freshness, seed), func(t *testing.T) { playSessionState(t, freshness, seed) })
		}
	}
}

func playSessionState(t *testing.T, freshness catalog.Freshness, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 39))
	remote, leader, replica := newStateFixture(t, freshness)
	remote.setStatementTimeout(20 * time.Millisecond) // open transactions may hold both connections
	local := newFixture(t, freshness)
	local.setStatementTimeout(20 * time.Millisecond)
	local.group.Close()
	local.server.opts.Peers = &servicePeers{service: remote.server.Service()}
	for _, target := range []*stateTarget{leader, replica} {
		target.setFails(func(kind statement.Kind) bool { return isStateKind(kind) && random.Float64() < 0.2 })
	}
	var sessions []*statefulSession
	for i := range 4 {
		f := []*fixture{local, remote}[i%2]
		s := f.server.newSession(nil)
		s.database = "db"
		sessions = append(sessions, &statefulSession{session: s, values: map[string]string{}})
	}
	ran := 0
	for step := range 600 {
		s := sessions[random.IntN(len(sessions))]
		st := s.randomStatement(random, step)
		a := s.serve(context.Background(), &st)
		s.note(&st, &a)
		for _, r := range append(leader.takeRan(), replica.takeRan()...) {
			ran++
			qt.Assert(t, r.id, qt.Equals, st.ID)
			qt.Assert(t, r.values, qt.DeepEquals, s.values, qt.Commentf("step %d: %s, answer %+v", step, st.Text, a))
			if st.Kind == statement.Execute {
				qt.Assert(t, r.shape, qt.Equals, s.shape, qt.Commentf("step %d", step))
			}
		}
	}
	qt.Check(t, ran > 100, qt.IsTrue, qt.Commentf("only %d statements ran", ran))
}

func isStateKind(kind statement.Kind) bool {
	switch kind {
	case statement.Reset, statement.Set, statement.Prepare, statement.Deallocate:
		return true
	}
	return false
}

func (f *fixture) setStatementTimeout(d time.Duration) {
	route := f.config.Routes["db"]
	route.StatementTimeout = d
	f.config.Routes["db"] = route
}

// statefulSession is a session with the state that was acknowledged to its caller.
type statefulSession struct {
	*session
	values map[string]string
	shape  string // of the prepared statement s1; "": not prepared
}

func (s *statefulSession) randomStatement(random *rand.Rand, step int) statement.Statement {
	choices := []statement.Statement{
		setArea(fmt.Sprint("v", step)), prepare(fmt.Sprint("WRITE q", step)), write("a"), write("b"), read("a"), read("b"), begin, commit, commit, rollback,
		{Kind: statement.Set, Name: "zone", Value: fmt.Sprint(step), Text: fmt.Sprint("SET zone ", step)},
	}
	if s.shape != "" {
		choices = append(choices, execute, execute, statement.Statement{Kind: statement.Deallocate, Name: "s1", Text: "DEALLOCATE s1"})
	}
	st := choices[random.IntN(len(choices))]
	st.ID = fmt.Sprint("q", step)
	return st
}

// note applies an acknowledged change of the state. Changes made in a failed transaction
// are refused.
func (s *statefulSession) note(st *statement.Statement, a *statement.Answer) {
	if !a.OK() {
		return
	}
	switch st.Kind {
	case statement.Set:
		s.values = maps.Clone(s.values)
		s.values[st.Name] = st.Value
	case statement.Prepare:
		s.shape = st.Value
	case statement.Deallocate:
		s.shape = ""
	}
}
