package pool

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

var (
	errCopy              = errors.New("COPY is not supported")
	errResponseOrder     = errors.New("the target's responses do not match the messages sent")
	errFatal             = errors.New("the target closed the connection with a fatal error")
	severityFatal        = "FATAL"
	severityPanic        = "PANIC"
	stateNoSuchStatement = "26000" // invalid_sql_statement_name
)

// response matches the target's messages with the operations of a plan and
// collects the messages for the caller. Each operation has exactly one terminal
// response, in order. After an error the target skips all operations up to
// Sync.
type response struct {
	ops        []op
	nextOp     int  // index of the first operation without its terminal response
	skipToSync bool // an error arrived; the target skips to Sync
	cache      *statementCache

	pending  []byte // messages for the caller that takeChunk has not returned yet
	done     bool   // ReadyForQuery has arrived
	txStatus byte   // from ReadyForQuery

	position  topology.Position // log position of the commit, zero if nothing was written
	sqlState  string            // of the first error
	fatal     bool
	completed uint64 // statements that have completed
	rows      uint64
	dirty     bool // the connection keeps session state of this caller and must not be reused
}

func newResponse(p plan, cache *statementCache) *response {
	r := &response{ops: p.ops, cache: cache}
	r.answerSynthetic()
	return r
}

// consume processes one message from the target. If consume returns an error,
// the connection must be closed.
func (r *response) consume(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.NoticeResponse:
		return r.forward(m)
	case *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ParameterStatus:
		return r.parameterStatus(m)
	case *pgproto3.ErrorResponse:
		return r.errorResponse(m)
	case *pgproto3.ReadyForQuery:
		return r.readyForQuery(m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return errCopy
	}
	if r.done || r.skipToSync || r.nextOp >= len(r.ops) {
		return errResponseOrder
	}
	return r.match(msg)
}

// match checks msg against the first operation without its terminal response.
func (r *response) match(msg pgproto3.BackendMessage) error {
	o := r.ops[r.nextOp]
	matches, terminal := matchesOp(o.kind, msg)
	if !matches {
		return errResponseOrder
	}
	r.countMessage(msg)
	if o.origin == fromCaller {
		if err := r.forward(msg); err != nil {
			return err
		}
	}
	if terminal {
		r.updateCache(o)
		r.nextOp++
		r.answerSynthetic()
	}
	return nil
}

// matchesOp reports whether msg is a valid response to an operation, and
// whether it is the terminal one.
func matchesOp(kind opKind, msg pgproto3.BackendMessage) (matches, terminal bool) {
	switch msg.(type) {
	case *pgproto3.ParseComplete:
		return kind == opParse, true
	case *pgproto3.BindComplete:
		return kind == opBind, true
	case *pgproto3.CloseComplete:
		return kind == opClose, true
	case *pgproto3.ParameterDescription:
		return kind == opDescribeStatement, false
	case *pgproto3.RowDescription:
		if kind == opQuery {
			return true, false
		}
		return kind == opDescribeStatement || kind == opDescribePortal, true
	case *pgproto3.NoData:
		return kind == opDescribeStatement || kind == opDescribePortal, true
	case *pgproto3.DataRow:
		return kind == opExecute || kind == opQuery, false
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse:
		return kind == opExecute || kind == opQuery, kind == opExecute
	case *pgproto3.PortalSuspended:
		return kind == opExecute, true
	default:
		return false, false
	}
}

// countMessage updates the usage counters and notes commands that make the
// connection dirty.
func (r *response) countMessage(msg pgproto3.BackendMessage) {
	switch m := msg.(type) {
	case *pgproto3.DataRow:
		r.rows++
	case *pgproto3.CommandComplete:
		r.completed++
		r.dirty = r.dirty || changesSessionState(string(m.CommandTag))
	}
}

// changesSessionState reports whether a command changes the connection's
// session state beyond its transaction.
func changesSessionState(tag string) bool {
	word, _, _ := strings.Cut(tag, " ")
	switch word {
	case "SET", "RESET", "LISTEN", "PREPARE", "DEALLOCATE", "DISCARD", "LOAD":
		return true
	default:
		return false
	}
}

// updateCache updates the statement cache after an operation's terminal
// response, so that it matches the statements on the connection.
func (r *response) updateCache(o op) {
	switch {
	case o.statement == "":
	case o.kind == opClose:
		r.cache.remove(o.statement)
	case o.kind == opParse || r.cache.has(o.statement):
		r.cache.touch(o.statement)
	}
}

// answerSynthetic responds to the next operations that were not sent to the
// target.
func (r *response) answerSynthetic() {
	for r.nextOp < len(r.ops) && r.ops[r.nextOp].origin == synthetic {
		o := r.ops[r.nextOp]
		if o.kind == opParse {
			r.pending, _ = (&pgproto3.ParseComplete{}).Encode(r.pending) // cannot fail: the message is empty
		} else {
			r.pending, _ = (&pgproto3.CloseComplete{}).Encode(r.pending)
		}
		r.updateCache(o)
		r.nextOp++
	}
}

func (r *response) parameterStatus(m *pgproto3.ParameterStatus) error {
	if m.Name != target.PositionParameter {
		return nil
	}
	position, err := topology.ParsePosition(m.Value)
	if err != nil {
		return err
	}
	r.position = topology.Later(r.position, position)
	return nil
}

func (r *response) errorResponse(m *pgproto3.ErrorResponse) error {
	if r.sqlState == "" {
		r.sqlState = m.Code
	}
	if m.Severity == severityFatal || m.Severity == severityPanic {
		r.fatal = true
		return errors.Wrapf(errFatal, "%s %s", m.Code, m.Message)
	}
	if m.Code == stateNoSuchStatement {
		r.dirty = true
	}
	r.skipToSync = true
	return r.forward(m)
}

func (r *response) readyForQuery(m *pgproto3.ReadyForQuery) error {
	last := len(r.ops) - 1
	if r.done || (!r.skipToSync && r.nextOp != last) {
		return errResponseOrder
	}
	r.nextOp = len(r.ops)
	r.done = true
	r.txStatus = m.TxStatus
	return nil
}

func (r *response) forward(msg pgproto3.BackendMessage) error {
	out, err := msg.Encode(r.pending)
	if err != nil {
		return err
	}
	r.pending = out
	return nil
}

// takeChunk returns the collected messages and clears them.
func (r *response) takeChunk() []byte {
	out := r.pending
	r.pending = nil
	return out
}

// refusedWith reports whether the target refused the batch with the SQLSTATE
// state before any of its statements completed.
func (r *response) refusedWith(state string) bool { return r.sqlState == state && r.completed == 0 }
