package relay

import (
	"context"
	"maps"
	"strings"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// stateTarget is a target that keeps session state for each connection, and fails chosen
// statements without effect.
type stateTarget struct {
	leads bool

	mu    sync.Mutex
	fails func(statement.Kind) bool // nil: none
	// opens leaves a transaction open after a failed statement of that kind; 0: none.
	opens statement.Kind
	// breaks ends the connection at a statement of that kind, with that error; nil: never.
	breaks func(statement.Kind) error
	sent   []string // kinds of session state in the order in which they arrived
	ran    []ranStatement
	open   int // transactions
}

// ranStatement is a statement of a caller and the session state under which it ran.
type ranStatement struct {
	id     string
	values map[string]string // nil: the statement depends on a prepared statement only
	shape  string            // of the prepared statement; "": none
}

// takeRan returns and forgets the statements that have run.
func (t *stateTarget) takeRan() []ranStatement {
	t.mu.Lock()
	defer t.mu.Unlock()
	ran := t.ran
	t.ran = nil
	return ran
}

func (t *stateTarget) setFails(fails func(statement.Kind) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fails = fails
}

// stateDialer opens connections to such targets by target ID.
type stateDialer map[topology.TargetID]*stateTarget

func (d stateDialer) Dial(_ context.Context, t topology.Target, _ topology.CustomerID) (statement.Conn, error) {
	return &stateConn{target: d[t.ID], values: map[string]string{}, prepared: map[string]string{}}, nil
}

type stateConn struct {
	target           *stateTarget
	values, prepared map[string]string
	inTransaction    bool
}

func (c *stateConn) Alive() bool { return true }

func (c *stateConn) Close() {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	c.setInTransaction(false)
}

func (c *stateConn) setInTransaction(open bool) {
	if open && !c.inTransaction {
		c.target.open++
	}
	if !open && c.inTransaction {
		c.target.open--
	}
	c.inTransaction = open
}

func (c *stateConn) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	c.target.mu.Lock()
	defer c.target.mu.Unlock()
	var answers []statement.Answer
	for _, st := range batch {
		if c.target.breaks != nil {
			if err := c.target.breaks(st.Kind); err != nil {
				return answers, err
			}
		}
		if isStateKind(st.Kind) {
			c.target.sent = append(c.target.sent, st.Text)
		}
		a := statement.Answer{Signature: "sig", Position: topology.Position{Term: 1, Offset: 10}, HasPosition: true}
		if c.target.fails != nil && c.target.fails(st.Kind) {
			a = statement.Answer{Code: statement.RunFailed}
			if st.Kind == c.target.opens {
				c.setInTransaction(true)
			}
		} else {
			a.Code = c.run(st)
		}
		if c.inTransaction {
			a.State = statement.InTransaction
		}
		answers = append(answers, a)
	}
	return answers, nil
}

func (c *stateConn) run(st statement.Statement) statement.Code {
	word, rest, _ := strings.Cut(st.Text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch st.Kind {
	case statement.Begin, statement.BeginReadOnly:
		if st.Kind == statement.Begin && !c.target.leads {
			return statement.ReadOnly
		}
		c.setInTransaction(true)
		return statement.OK
	case statement.Rollback:
		c.setInTransaction(false)
		return statement.OK
	case statement.Reset:
		clear(c.values)
		clear(c.prepared)
		return statement.OK
	case statement.Set:
		c.values[name] = value
		return statement.OK
	case statement.Prepare:
		c.prepared[name] = value
		return statement.OK
	case statement.Deallocate:
		delete(c.prepared, st.Name)
		return statement.OK
	}
	ran := ranStatement{id: st.ID, values: maps.Clone(c.values)}
	if word == "EXECUTE" {
		shape, ok := c.prepared[name]
		if !ok {
			return statement.UnknownPrepared
		}
		ran.shape = shape
	}
	c.target.ran = append(c.target.ran, ran)
	if st.Kind == statement.Commit {
		c.setInTransaction(false)
	}
	return statement.OK
}
