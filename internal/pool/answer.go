package pool

import (
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

var (
	errCopy         = errors.New("COPY isn't offered")
	errAnswerOrder  = errors.New("the target's answers don't match the messages sent")
	errFatal        = errors.New("the target ended the connection")
	severityFatal   = "FATAL"
	severityPanic   = "PANIC"
	stateNoSuchPlan = "26000" // invalid_sql_statement_name
)

// answer matches the target's messages with the operations of a plan and
// gathers what the caller gets. Every operation has one terminal answer, in
// order; after an error the target skips to the Sync.
type answer struct {
	ops      []op
	next     int // first operation without its terminal answer
	skipping bool
	cache    *statementCache

	out      []byte // messages for the caller that no chunk has taken yet
	done     bool   // ReadyForQuery arrived
	txStatus byte   // of ReadyForQuery

	position topology.Position // of the commit, zero if nothing was written
	sqlState string            // of the first error
	fatal    bool
	commands uint64 // completed statements
	rows     uint64
	unclean  bool // the connection keeps state of this caller: not for another one
}

func newAnswer(p plan, cache *statementCache) *answer {
	a := &answer{ops: p.ops, cache: cache}
	a.answerSynthetic()
	return a
}

// take consumes one message of the target. After an error the connection must
// be closed.
func (a *answer) take(msg pgproto3.BackendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.NoticeResponse:
		return a.pass(m)
	case *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ParameterStatus:
		return a.parameter(m)
	case *pgproto3.ErrorResponse:
		return a.fail(m)
	case *pgproto3.ReadyForQuery:
		return a.ready(m)
	case *pgproto3.CopyInResponse, *pgproto3.CopyOutResponse, *pgproto3.CopyBothResponse:
		return errCopy
	}
	if a.done || a.skipping || a.next >= len(a.ops) {
		return errAnswerOrder
	}
	return a.match(msg)
}

// match checks msg against the first open operation.
func (a *answer) match(msg pgproto3.BackendMessage) error {
	o := a.ops[a.next]
	fits, terminal := fit(o.kind, msg)
	if !fits {
		return errAnswerOrder
	}
	a.count(msg)
	if o.origin == fromCaller {
		if err := a.pass(msg); err != nil {
			return err
		}
	}
	if terminal {
		a.learn(o)
		a.next++
		a.answerSynthetic()
	}
	return nil
}

// fit tells whether msg may answer an operation, and whether it is the last.
func fit(kind opKind, msg pgproto3.BackendMessage) (fits, terminal bool) {
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

func (a *answer) count(msg pgproto3.BackendMessage) {
	switch m := msg.(type) {
	case *pgproto3.DataRow:
		a.rows++
	case *pgproto3.CommandComplete:
		a.commands++
		a.unclean = a.unclean || leavesState(string(m.CommandTag))
	}
}

// leavesState tells whether a command changes the connection beyond its transaction.
func leavesState(tag string) bool {
	word, _, _ := strings.Cut(tag, " ")
	switch word {
	case "SET", "RESET", "LISTEN", "PREPARE", "DEALLOCATE", "DISCARD", "LOAD":
		return true
	default:
		return false
	}
}

// learn keeps the cache equal to what the connection has.
func (a *answer) learn(o op) {
	switch {
	case o.statement == "":
	case o.kind == opClose:
		a.cache.remove(o.statement)
	case o.kind == opParse || a.cache.has(o.statement):
		a.cache.use(o.statement)
	}
}

// answerSynthetic answers the operations that weren't sent, up to the next one
// that was.
func (a *answer) answerSynthetic() {
	for a.next < len(a.ops) && a.ops[a.next].origin == synthetic {
		o := a.ops[a.next]
		if o.kind == opParse {
			a.out, _ = (&pgproto3.ParseComplete{}).Encode(a.out) // can't fail, it has no content
		} else {
			a.out, _ = (&pgproto3.CloseComplete{}).Encode(a.out)
		}
		a.learn(o)
		a.next++
	}
}

func (a *answer) parameter(m *pgproto3.ParameterStatus) error {
	if m.Name != target.PositionParameter {
		return nil
	}
	position, err := topology.ParsePosition(m.Value)
	if err != nil {
		return err
	}
	a.position = topology.Later(a.position, position)
	return nil
}

func (a *answer) fail(m *pgproto3.ErrorResponse) error {
	if a.sqlState == "" {
		a.sqlState = m.Code
	}
	if m.Severity == severityFatal || m.Severity == severityPanic {
		a.fatal = true
		return errors.Wrapf(errFatal, "%s %s", m.Code, m.Message)
	}
	if m.Code == stateNoSuchPlan {
		a.unclean = true
	}
	a.skipping = true
	return a.pass(m)
}

func (a *answer) ready(m *pgproto3.ReadyForQuery) error {
	last := len(a.ops) - 1
	if a.done || (!a.skipping && a.next != last) {
		return errAnswerOrder
	}
	a.next = len(a.ops)
	a.done = true
	a.txStatus = m.TxStatus
	return nil
}

func (a *answer) pass(msg pgproto3.BackendMessage) error {
	out, err := msg.Encode(a.out)
	if err != nil {
		return err
	}
	a.out = out
	return nil
}

// chunk takes the gathered messages.
func (a *answer) chunk() []byte {
	out := a.out
	a.out = nil
	return out
}

// refused tells whether the target refused the batch with state before any
// statement of it completed.
func (a *answer) refused(state string) bool { return a.sqlState == state && a.commands == 0 }
