package relay

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
)

// scriptedCaller sends its statements one after another without a pause.
type scriptedCaller struct {
	statements     []statement.Statement
	answers        []statement.Answer
	deadlines      []time.Time           // arguments of Next
	lateStatements []statement.Statement // sent after the host has closed its half
	halfClosed     bool
}

func (c *scriptedCaller) ReadStartup() (Startup, error)       { return Startup{Database: "db"}, nil }
func (c *scriptedCaller) Ready() error                        { return nil }
func (c *scriptedCaller) Refuse(statement.Code, string) error { return nil }
func (c *scriptedCaller) Interrupt()                          {}
func (c *scriptedCaller) ClearInterrupt()                     {}
func (c *scriptedCaller) CloseWrite()                         { c.halfClosed = true }
func (c *scriptedCaller) Close()                              {}
func (c *scriptedCaller) Answer(a *statement.Answer) error {
	c.answers = append(c.answers, *a)
	return nil
}
func (c *scriptedCaller) Next(deadline time.Time) (statement.Statement, error) {
	c.deadlines = append(c.deadlines, deadline)
	if c.halfClosed {
		return c.nextLate()
	}
	if len(c.statements) == 0 {
		time.Sleep(time.Until(deadline))
		return statement.Statement{}, ErrNoMessage
	}
	st := c.statements[0]
	c.statements = c.statements[1:]
	return st, nil
}

// nextLate returns the late statements, and then the caller's end.
func (c *scriptedCaller) nextLate() (statement.Statement, error) {
	if len(c.lateStatements) == 0 {
		return statement.Statement{}, ErrSessionEnded
	}
	st := c.lateStatements[0]
	c.lateStatements = c.lateStatements[1:]
	return st, nil
}

// A draining session serves the statements that its caller sends right after an
// answer, and waits for them no longer than closeGracePeriod.
func TestDrainingSessionServesImmediateStatements(t *testing.T) {
	f := newFixture(t, catalog.BoundedAge)
	f.server.SetDraining(ShuttingDown)
	c := &scriptedCaller{statements: []statement.Statement{read("a"), read("b")}}
	for i := range c.statements {
		c.statements[i].ID = "q"
	}
	s := f.server.newSession(c)
	s.run(context.Background())
	qt.Assert(t, c.answers, qt.HasLen, 2)
	qt.Check(t, c.answers[1].OK(), qt.IsTrue)
	qt.Check(t, c.deadlines, qt.HasLen, 4) // the last one is for a statement in flight
	qt.Check(t, time.Until(c.deadlines[2]) <= closeGracePeriod, qt.IsTrue)
}

// A statement that arrives after its session was closed is logged under its ID.
func TestStatementArrivingAfterSessionCloseIsLogged(t *testing.T) {
	f := newFixture(t, catalog.BoundedAge)
	f.server.SetDraining(ShuttingDown)
	late := read("b")
	late.ID = "late"
	s := f.server.newSession(&scriptedCaller{lateStatements: []statement.Statement{late}})
	var lines []string
	s.log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	s.run(context.Background())
	qt.Assert(t, lines, qt.HasLen, 2)
	qt.Check(t, lines[1], qt.Contains, `"request"="late"`)
}

// The log and the metrics tell why a session was closed and whether a statement
// arrived too late.
func TestSessionCloseIsCountedByReason(t *testing.T) {
	late := read("b")
	for reason, want := range map[DrainReason]closeReason{ShuttingDown: closedShuttingDown, Isolated: closedIsolated} {
		f := newFixture(t, catalog.BoundedAge)
		f.server.SetDraining(reason)
		closed, arrived := sessionsClosed[want].Get(), statementsAfterClose.Get()
		c := &scriptedCaller{lateStatements: []statement.Statement{late}}
		s := f.server.newSession(c)
		var lines []string
		s.log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
		s.run(context.Background())
		qt.Check(t, sessionsClosed[want].Get(), qt.Equals, closed+1)
		qt.Check(t, statementsAfterClose.Get(), qt.Equals, arrived+1)
		qt.Check(t, lines[0], qt.Contains, `"reason"="`+string(want)+`"`)
		qt.Check(t, c.answers, qt.HasLen, 0)
		qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
		qt.Check(t, f.replica.receivedTexts(), qt.HasLen, 0)
	}
	f := newFixture(t, catalog.BoundedAge)
	qt.Check(t, f.server.closeReason(ErrSessionEnded), qt.Equals, closedByCaller)
	qt.Check(t, f.server.closeReason(io.EOF), qt.Equals, closedByCaller)
	qt.Check(t, f.server.closeReason(io.ErrUnexpectedEOF), qt.Equals, closedByError)
}

// A session that answered a moment ago is most likely in the middle of an operation.
// It gets a grace period before it is closed, and only one.
func TestActiveSessionGetsOneGracePeriod(t *testing.T) {
	f := newFixture(t, catalog.BoundedAge)
	f.server.SetDraining(ShuttingDown)
	f.lastAnswerAt = time.Now()
	f.lastStatementID = "q"
	qt.Check(t, f.continueAfter(ErrNoMessage), qt.IsTrue)
	qt.Check(t, time.Until(f.graceUntil) <= closeGracePeriod, qt.IsTrue)
	f.graceUntil = time.Now().Add(-time.Millisecond) // it has passed
	qt.Check(t, f.continueAfter(ErrNoMessage), qt.IsFalse)
	f.lastAnswerAt, f.graceUntil = time.Now().Add(-time.Second), time.Time{}
	qt.Check(t, f.continueAfter(ErrNoMessage), qt.IsFalse)
}

// interruptedCaller is interrupted whenever it waits for a statement.
type interruptedCaller struct{ scriptedCaller }

func (c *interruptedCaller) Next(time.Time) (statement.Statement, error) {
	return statement.Statement{}, ErrNoMessage
}

// A drain that is over before a session notices its interrupt must not abort the
// session's transaction as idle for too long.
func TestInterruptDoesNotAbortTransaction(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.config.TransactionIdle = time.Minute
	f.caller = &interruptedCaller{}
	qt.Assert(t, f.serveStatement(begin).OK(), qt.IsTrue)
	qt.Assert(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
	qt.Assert(t, f.tx.running(), qt.IsTrue)
	_, err := f.nextStatement()
	qt.Assert(t, f.continueAfter(err), qt.IsTrue)
	qt.Check(t, f.tx.running(), qt.IsTrue)
	qt.Check(t, f.serveStatement(read("b")).OK(), qt.IsTrue)
	f.idleUntil = time.Now().Add(-time.Millisecond) // the timeout has passed
	qt.Assert(t, f.continueAfter(err), qt.IsTrue)
	qt.Check(t, f.tx.failed, qt.IsTrue)
}
