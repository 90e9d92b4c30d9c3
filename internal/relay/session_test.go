package relay

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
)

// scriptedCaller sends statements one after the other without a pause.
type scriptedCaller struct {
	statements []statement.Statement
	answers    []statement.Answer
	waited     []time.Time           // deadlines of Next
	late       []statement.Statement // sent once the host has closed its half
	halfClosed bool
}

func (c *scriptedCaller) Start() (string, error)              { return "db", nil }
func (c *scriptedCaller) Ready() error                        { return nil }
func (c *scriptedCaller) Refuse(statement.Code, string) error { return nil }
func (c *scriptedCaller) Interrupt()                          {}
func (c *scriptedCaller) CloseWrite()                         { c.halfClosed = true }
func (c *scriptedCaller) Close()                              {}
func (c *scriptedCaller) Answer(a *statement.Answer) error {
	c.answers = append(c.answers, *a)
	return nil
}
func (c *scriptedCaller) Next(deadline time.Time) (statement.Statement, error) {
	c.waited = append(c.waited, deadline)
	if c.halfClosed && len(c.late) > 0 {
		return c.late[0], nil
	}
	if len(c.statements) == 0 {
		return statement.Statement{}, ErrNothing
	}
	st := c.statements[0]
	c.statements = c.statements[1:]
	return st, nil
}

// A session that is to be closed serves what its caller sends right after an
// answer, and waits no longer than closeGrace for it.
func TestASessionIsClosedOnlyInAPause(t *testing.T) {
	f := newFixture(t, catalog.BoundedAge)
	f.server.CloseIdle(true)
	c := &scriptedCaller{statements: []statement.Statement{read("a"), read("b")}}
	for i := range c.statements {
		c.statements[i].ID = "q"
	}
	s := f.server.newSession(c)
	s.run(context.Background())
	qt.Assert(t, c.answers, qt.HasLen, 2)
	qt.Check(t, c.answers[1].OK(), qt.IsTrue)
	qt.Check(t, c.waited, qt.HasLen, 4) // the last one for what was on its way
	qt.Check(t, time.Until(c.waited[2]) <= closeGrace, qt.IsTrue)
}

// A statement that meets the end of its session has a line under its id.
func TestAStatementThatMeetsTheEndOfItsSessionIsLogged(t *testing.T) {
	f := newFixture(t, catalog.BoundedAge)
	f.server.CloseIdle(true)
	late := read("b")
	late.ID = "late"
	s := f.server.newSession(&scriptedCaller{late: []statement.Statement{late}})
	var lines []string
	s.log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	s.run(context.Background())
	qt.Assert(t, lines, qt.HasLen, 2)
	qt.Check(t, lines[1], qt.Contains, `"request"="late"`)
}

// A session that answered a moment ago is in the middle of an operation most
// likely: it gets a grace period before it is closed, and only one.
func TestABusySessionIsClosedAfterAGracePeriod(t *testing.T) {
	f := newFixture(t, catalog.BoundedAge)
	f.server.CloseIdle(true)
	f.answered = time.Now()
	qt.Check(t, f.proceed(ErrNothing), qt.IsTrue)
	qt.Check(t, f.proceed(ErrNothing), qt.IsFalse)
	f.answered, f.graceGiven = time.Now().Add(-time.Second), false
	qt.Check(t, f.proceed(ErrNothing), qt.IsFalse)
}
