package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
)

// The first detour of each kind is logged, however many of another kind were.
func TestSamplerAlwaysTakesTheFirstOfAKind(t *testing.T) {
	s := newSampler()
	taken := 0
	for range 10_000 {
		if s.allows([]string{"t1 lagging", "t2 ok"}) {
			taken++
		}
	}
	qt.Check(t, taken >= sampledBurst && taken < 2*sampledBurst, qt.IsTrue, qt.Commentf("%d", taken))
	qt.Check(t, s.allows([]string{"t1 broke: reset", "t2 ok"}), qt.IsTrue)
	for i := range 10 * sampledKinds {
		s.allows([]string{fmt.Sprintf("t1 kind%d", i)})
	}
	qt.Check(t, len(s.limits) <= sampledKinds, qt.IsTrue)
}

// What another host's statement met here has a line under its id, but for a
// refusal for want of a free connection, which the asking host tells.
func TestAStatementForAnotherHostHasALine(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.takeLeader(t)
	var lines []string
	f.server.opts.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	st := write("a")
	st.ID = "5c0e7a21d94b36f8"
	args := Forwarded{Configuration: 1, Database: "db", Statement: st, Writes: true, Within: 50 * time.Millisecond, AtOnce: true}
	qt.Assert(t, f.server.Service().Run(&args, &Ran{}), qt.IsNil)
	qt.Check(t, lines, qt.HasLen, 0)
	args.AtOnce = false
	var ran Ran
	qt.Assert(t, f.server.Service().Run(&args, &ran), qt.IsNil)
	qt.Check(t, ran.Answer.Code, qt.Equals, statement.Busy)
	qt.Assert(t, lines, qt.HasLen, 1)
	qt.Check(t, strings.Contains(lines[0], st.ID), qt.IsTrue, qt.Commentf("%s", lines[0]))
}
