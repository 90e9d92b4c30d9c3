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

// The first line of each kind is logged, however many lines of another kind were.
func TestLineSamplerAlwaysAllowsTheFirstOfAKind(t *testing.T) {
	sampler := newLineSampler()
	allowed := 0
	for range 10_000 {
		if sampler.allow([]string{"t1 lagging", "t2 ok"}) {
			allowed++
		}
	}
	qt.Check(t, allowed >= sampledLinesBurst && allowed < 2*sampledLinesBurst, qt.IsTrue, qt.Commentf("%d", allowed))
	qt.Check(t, sampler.allow([]string{"t1 connection broke: reset", "t2 ok"}), qt.IsTrue)
	for i := range 10 * maxSampledKinds {
		sampler.allow([]string{fmt.Sprintf("t1 kind%d", i)})
	}
	qt.Check(t, len(sampler.limiters) <= maxSampledKinds, qt.IsTrue)
}

// A forwarded statement that fails is logged under its ID, except a refusal for lack
// of a free connection, which the forwarding host logs.
func TestFailedForwardedStatementIsLogged(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.acquireLeaderConns(t)
	var lines []string
	f.server.opts.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	st := write("a")
	st.ID = "5c0e7a21d94b36f8"
	args := RunArgs{Configuration: 1, Database: "db", Statement: st, Writes: true, Within: 50 * time.Millisecond, AtOnce: true}
	qt.Assert(t, f.server.Service().Run(&args, &RunReply{}), qt.IsNil)
	qt.Check(t, lines, qt.HasLen, 0)
	args.AtOnce = false
	var reply RunReply
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.Answer.Code, qt.Equals, statement.Busy)
	qt.Assert(t, lines, qt.HasLen, 1)
	qt.Check(t, strings.Contains(lines[0], st.ID), qt.IsTrue, qt.Commentf("%s", lines[0]))
}
