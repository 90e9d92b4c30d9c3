package session

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

// localResult is the result of a statement that the session runs itself.
type localResult struct {
	commandTag string
	column     string // column name of a SHOW, empty otherwise
	value      string
}

const (
	textTypeOID    = 25
	variableLength = -1
)

// canAnswerLocally reports whether a batch needs no target in the current
// transaction state.
func (c *conn) canAnswerLocally(b *batch, summary batchSummary) bool {
	switch {
	case summary.allLocal:
		return true
	case c.tx.pinned():
		return false
	case b.containsOnly(kindCommit), b.containsOnly(kindRollback):
		return !b.hasChained()
	default:
		return c.tx != txLost && b.containsOnly(kindBegin)
	}
}

// hasChained reports whether a statement of the batch ends a transaction and starts
// another one, such as COMMIT AND CHAIN.
func (b *batch) hasChained() bool {
	for _, o := range b.ops {
		if o.sql == nil {
			continue
		}
		for _, s := range o.sql.statements {
			if s.chained {
				return true
			}
		}
	}
	return false
}

// answerLocally runs a batch that needs no target and sends the response.
func (c *conn) answerLocally(b *batch) error {
	if err := c.answerOps(b); err != nil {
		return c.failLocalBatch(b, err)
	}
	return c.finishBatch(b)
}

// answerOps queues the responses to the messages of a batch.
func (c *conn) answerOps(b *batch) error {
	batchesLocal.Inc()
	for _, o := range b.ops {
		if err := c.answerOp(o); err != nil {
			return err
		}
	}
	return nil
}

// failLocalBatch answers a batch whose local execution failed.
func (c *conn) failLocalBatch(b *batch, err error) error {
	if refusal := result.As(err, result.BadSetting); refusal.Code != result.TransactionLost {
		return c.refuse(b, b.summarize(), refusal)
	}
	return c.refuseFailedTx(b)
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
		return c.executeOp(o)
	}
	return nil
}

func (c *conn) describe(o op) {
	if !o.portal {
		c.out.send(&pgproto3.ParameterDescription{})
	}
	for _, s := range o.sql.statements {
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
		DataTypeOID:  textTypeOID,
		DataTypeSize: variableLength,
		TypeModifier: variableLength,
	}}}
}

// executeOp runs the statements of a Query or the statement of an Execute.
func (c *conn) executeOp(o op) error {
	if len(o.sql.statements) == 0 {
		c.out.send(&pgproto3.EmptyQueryResponse{})
	}
	for _, s := range o.sql.statements {
		res, err := c.executeStatement(s)
		if err != nil {
			return err
		}
		if res.column != "" {
			if o.kind == opQuery {
				c.out.send(rowDescription(res.column))
			}
			c.out.send(&pgproto3.DataRow{Values: [][]byte{[]byte(res.value)}})
		}
		c.out.send(&pgproto3.CommandComplete{CommandTag: []byte(res.commandTag)})
	}
	return nil
}

// executeStatement runs one statement in the session.
func (c *conn) executeStatement(s statement) (localResult, error) {
	if s.endsTx() {
		return localResult{commandTag: c.endTransaction(s)}, nil
	}
	if c.tx.status() == statusFailed {
		return localResult{}, result.New(result.TransactionLost, "the transaction has failed")
	}
	switch s.kind {
	case kindBegin:
		return localResult{commandTag: c.beginTransaction(s)}, nil
	case kindSet:
		return localResult{commandTag: "SET"}, c.executeSet(s)
	case kindReset:
		return localResult{commandTag: "RESET"}, c.executeSet(s)
	case kindShow:
		value, err := c.showSetting(s.name)
		return localResult{commandTag: "SHOW", column: s.name, value: value}, err
	default:
		return localResult{commandTag: "DEALLOCATE ALL"}, nil
	}
}

// beginTransaction defers the BEGIN to the first statement that needs a target, so
// that a refusal is reported for a statement within the transaction. It returns
// the command tag.
func (c *conn) beginTransaction(s statement) string {
	if c.tx == txIdle {
		c.tx = txBegun
		c.pendingBegin = s
	}
	if strings.HasPrefix(strings.ToLower(s.text), "start") {
		return "START TRANSACTION"
	}
	return "BEGIN"
}

// endTransaction ends a transaction that isn't open at a target and returns the
// command tag.
func (c *conn) endTransaction(s statement) string {
	lost := c.tx == txLost
	c.tx = txIdle
	if lost || s.kind == kindRollback {
		return "ROLLBACK"
	}
	return "COMMIT"
}

// executeSet runs SET or RESET of a session setting.
func (c *conn) executeSet(s statement) error {
	if s.toDefault {
		err := c.settings.reset(s.name)
		c.updateFloorSession()
		return err
	}
	if err := c.applySetting(s.name, s.value); err != nil {
		return err
	}
	switch s.name {
	case settingDefaultTxReadOnly:
		c.out.send(&pgproto3.ParameterStatus{Name: s.name, Value: onOff(c.settings.readOnly)})
	case "application_name":
		c.out.send(&pgproto3.ParameterStatus{Name: s.name, Value: s.value})
	}
	return nil
}

// showSetting returns the value of a setting as SHOW prints it.
func (c *conn) showSetting(name string) (string, error) {
	if name != settingTxReadOnly {
		return c.settings.show(name)
	}
	pl := planner{customer: c.customer, user: c.user, settings: &c.settings}
	if c.tx == txIdle {
		return onOff(pl.readOnly()), nil
	}
	return onOff(pl.isReadOnlyBegin(c.pendingBegin)), nil
}
