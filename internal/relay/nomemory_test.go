package relay

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
)

// refusedFirstCaller has a message for which there is no memory before its statements.
type refusedFirstCaller struct {
	scriptedCaller
	refused bool
}

func (c *refusedFirstCaller) Next(deadline time.Time) (statement.Statement, error) {
	if !c.refused {
		c.refused = true
		return statement.Statement{}, ErrNoMemory
	}
	return c.scriptedCaller.Next(deadline)
}

// A large statement without memory must be refused as not run, and end neither the session nor
// leave its transaction open as if it had run.
func TestStatementWithoutMemoryIsRefused(t *testing.T) {
	f := newFixture(t, catalog.BoundedAge)
	f.server.SetDraining(ShuttingDown)
	c := &refusedFirstCaller{scriptedCaller: scriptedCaller{statements: []statement.Statement{read("a")}}}
	f.server.newSession(c).run(context.Background())
	qt.Assert(t, c.answers, qt.HasLen, 2)
	qt.Check(t, c.answers[0].Code, qt.Equals, statement.Busy)
	qt.Check(t, c.answers[0].State, qt.Equals, statement.Idle)
	qt.Check(t, c.answers[1].OK(), qt.IsTrue)

	f = newFixture(t, catalog.LatestData)
	inTx := &scriptedCaller{}
	f.caller = inTx
	qt.Assert(t, f.serveStatement(begin).OK(), qt.IsTrue)
	qt.Assert(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	qt.Assert(t, f.continueAfter(ErrNoMemory), qt.IsTrue)
	qt.Check(t, inTx.answers[0].Code, qt.Equals, statement.Busy)
	qt.Check(t, inTx.answers[0].State, qt.Equals, statement.Failed)
	qt.Check(t, f.tx.failed && !f.tx.running(), qt.IsTrue)
}
