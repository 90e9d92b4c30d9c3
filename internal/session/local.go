package session

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

// localAnswer is the answer to a statement that the session runs itself.
type localAnswer struct {
	tag    string
	column string // of a SHOW, empty otherwise
	value  string
}

const (
	textOID   = 25
	anyLength = -1
)

// answersLocally tells whether a batch needs no target in the present state.
func (c *conn) answersLocally(b *batch, f batchFacts) bool {
	switch {
	case f.local:
		return true
	case c.tx.pinned():
		return false
	case b.concernsOnly(kindCommit), b.concernsOnly(kindRollback):
		return !b.chains()
	default:
		return c.tx != txLost && b.concernsOnly(kindBegin)
	}
}

// chains tells whether a statement starts another transaction as it ends one.
func (b *batch) chains() bool {
	for _, o := range b.ops {
		if o.definition == nil {
			continue
		}
		for _, s := range o.definition.statements {
			if s.chained {
				return true
			}
		}
	}
	return false
}

// answerLocally runs a batch that needs no target.
func (c *conn) answerLocally(b *batch) error {
	if err := c.answerOps(b); err != nil {
		return c.failLocally(b, err)
	}
	return c.finish(b)
}

func (c *conn) answerOps(b *batch) error {
	batchesLocal.Inc()
	for _, o := range b.ops {
		if err := c.answerOp(o); err != nil {
			return err
		}
	}
	return nil
}

// failLocally answers an error of a statement that the session ran itself.
func (c *conn) failLocally(b *batch, err error) error {
	if e := result.As(err, result.BadSetting); e.Code != result.TransactionLost {
		return c.refuse(b, b.facts(), e)
	}
	return c.refuseAborted(b)
}

func (c *conn) answerOp(o op) error {
	switch o.kind {
	case opParse:
		c.out.send(&pgproto3.ParseComplete{})
	case opBind:
		c.out.send(&pgproto3.BindComplete{})
	case opClose:
		c.out.send(&pgproto3.CloseComplete{})
	case opDescribe:
		c.describe(o)
	case opExecute, opQuery:
		return c.executeAll(o)
	}
	return nil
}

func (c *conn) describe(o op) {
	if !o.portal {
		c.out.send(&pgproto3.ParameterDescription{})
	}
	for _, s := range o.definition.statements {
		if s.kind == kindShow {
			c.out.send(rowDescription(s.name))
			return
		}
	}
	c.out.send(&pgproto3.NoData{})
}

func rowDescription(column string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(column),
		DataTypeOID:  textOID,
		DataTypeSize: anyLength,
		TypeModifier: anyLength,
	}}}
}

// executeAll runs the statements of a Query, or the one of an Execute.
func (c *conn) executeAll(o op) error {
	if len(o.definition.statements) == 0 {
		c.out.send(&pgproto3.EmptyQueryResponse{})
	}
	for _, s := range o.definition.statements {
		answer, err := c.execute(s)
		if err != nil {
			return err
		}
		if answer.column != "" {
			if o.kind == opQuery {
				c.out.send(rowDescription(answer.column))
			}
			c.out.send(&pgproto3.DataRow{Values: [][]byte{[]byte(answer.value)}})
		}
		c.out.send(&pgproto3.CommandComplete{CommandTag: []byte(answer.tag)})
	}
	return nil
}

// execute runs one statement.
func (c *conn) execute(s statement) (localAnswer, error) {
	if s.ends() {
		return localAnswer{tag: c.endTransaction(s)}, nil
	}
	if c.tx.status() == statusFailed {
		return localAnswer{}, result.New(result.TransactionLost, "the transaction has failed")
	}
	switch s.kind {
	case kindBegin:
		return localAnswer{tag: c.beginTransaction(s)}, nil
	case kindSet:
		return localAnswer{tag: "SET"}, c.assign(s)
	case kindReset:
		return localAnswer{tag: "RESET"}, c.assign(s)
	case kindShow:
		value, err := c.show(s.name)
		return localAnswer{tag: "SHOW", column: s.name, value: value}, err
	default:
		return localAnswer{tag: "DEALLOCATE ALL"}, nil
	}
}

// beginTransaction leaves the BEGIN for the first statement that needs a
// target, so that a refusal falls on a statement within the transaction.
func (c *conn) beginTransaction(s statement) string {
	if c.tx == txIdle {
		c.tx = txBegun
		c.begin = s
	}
	if strings.HasPrefix(strings.ToLower(s.text), "start") {
		return "START TRANSACTION"
	}
	return "BEGIN"
}

// endTransaction ends a transaction that no target has.
func (c *conn) endTransaction(s statement) string {
	lost := c.tx == txLost
	c.tx = txIdle
	if lost || s.kind == kindRollback {
		return "ROLLBACK"
	}
	return "COMMIT"
}

func (c *conn) assign(s statement) error {
	if s.unset {
		err := c.settings.reset(s.name)
		c.identifyFloor()
		return err
	}
	if err := c.set(s.name, s.value); err != nil {
		return err
	}
	switch s.name {
	case setReadOnly:
		c.out.send(&pgproto3.ParameterStatus{Name: s.name, Value: onOff(c.settings.readOnly)})
	case "application_name":
		c.out.send(&pgproto3.ParameterStatus{Name: s.name, Value: s.value})
	}
	return nil
}

func (c *conn) show(name string) (string, error) {
	if name != setTxReadOnly {
		return c.settings.show(name)
	}
	r := access{customer: c.customer, user: c.user, settings: &c.settings}
	if c.tx == txIdle {
		return onOff(r.readOnly()), nil
	}
	return onOff(r.beginsReadOnly(c.begin)), nil
}
