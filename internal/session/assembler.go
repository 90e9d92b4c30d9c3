package session

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	maxPreparedStatements = 4096     // limit per session
	maxPreparedSQLBytes   = 16 << 20 // limit for the SQL text of a session's prepared statements
	maxPortals            = 1024     // portals whose statement is tracked
	maxBatchMessages      = 65536    // extended protocol messages before Sync
)

// errUnexpectedMessage refuses a message type that is not valid within a session.
// It ends the connection, because both sides no longer agree on its state.
var errUnexpectedMessage error = result.New(result.BadProtocol, "unexpected message type")

// assembler builds batches from a client's messages and tracks the session's
// prepared statements and portals under the client's names.
type assembler struct {
	maxBatchBytes    int // limit for the messages of a batch
	prepared         map[string]*parsedSQL
	preparedSQLBytes int // total SQL text of prepared
	portals          map[string]*parsedSQL
	current          *batch
	skippingToSync   bool // messages are dropped up to the next Sync after a refusal
}

func newAssembler(maxBatchBytes int) *assembler {
	return &assembler{
		maxBatchBytes: maxBatchBytes,
		prepared:      map[string]*parsedSQL{},
		portals:       map[string]*parsedSQL{},
	}
}

// add processes one message and returns the batch that the message completes, or
// nil. It doesn't retain the message.
func (a *assembler) add(msg pgproto3.FrontendMessage) *batch {
	if a.skippingToSync {
		return a.skipToSync(msg)
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		return a.query(m)
	case *pgproto3.Sync:
		return a.completeBatch(m, true)
	case *pgproto3.Flush:
		return a.flush()
	case *pgproto3.FunctionCall:
		return &batch{wantsReady: true, refusal: result.New(result.UnsupportedFeature, "function call messages are not supported")}
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // remainder of a refused COPY
	}
	err := a.addExtended(msg)
	if err == nil && len(a.current.messages) > a.maxBatchBytes {
		err = a.batchTooLargeError()
	}
	if err == nil && len(a.current.ops) > maxBatchMessages {
		err = result.New(result.MessageTooLarge, "more than %d messages before Sync", maxBatchMessages)
	}
	if err != nil {
		return a.refuse(err)
	}
	return nil
}

// skipToSync drops messages up to Sync. It returns an empty batch for Sync, which
// is answered with ReadyForQuery.
func (a *assembler) skipToSync(msg pgproto3.FrontendMessage) *batch {
	if _, ok := msg.(*pgproto3.Sync); !ok {
		return nil
	}
	a.skippingToSync = false
	return &batch{wantsReady: true}
}

// refuse ends the batch with an error. Later messages up to Sync are dropped.
func (a *assembler) refuse(err error) *batch {
	a.current = nil
	a.skippingToSync = true
	return &batch{refusal: result.As(err, result.BadProtocol), fatal: errors.Is(err, errUnexpectedMessage)}
}

func (a *assembler) batchTooLargeError() error {
	return result.New(result.MessageTooLarge, "batch exceeds %d bytes", a.maxBatchBytes)
}

// query returns the batch of a simple Query.
func (a *assembler) query(m *pgproto3.Query) *batch {
	if a.current != nil {
		return a.refuse(result.New(result.BadProtocol, "received Query before Sync"))
	}
	sql := &parsedSQL{statements: parseStatements(m.String)}
	b := &batch{wantsReady: true, ops: []op{{kind: opQuery, sql: sql}}}
	messages, err := m.Encode(nil)
	if err != nil {
		b.refusal = result.As(err, result.BadProtocol)
	}
	b.messages = messages
	a.applyDeallocateAll(sql)
	return b
}

// applyDeallocateAll drops all prepared statements if sql contains DEALLOCATE ALL.
func (a *assembler) applyDeallocateAll(sql *parsedSQL) {
	if sql == nil {
		return
	}
	for _, s := range sql.statements {
		if s.kind == kindDeallocateAll {
			clear(a.prepared)
			a.preparedSQLBytes = 0
		}
	}
}

// flush completes the batch if its messages concern prepared statements only.
// With a portal in use it refuses the batch: the target would drop the portal at
// the Sync that ends each batch.
func (a *assembler) flush() *batch {
	if a.current == nil {
		return nil
	}
	for _, o := range a.current.ops {
		if o.kind == opBind || o.kind == opExecute || o.portal {
			return a.refuse(result.New(result.UnsupportedFeature, "Flush after Bind is not supported; send Sync"))
		}
	}
	return a.completeBatch(&pgproto3.Sync{}, false)
}

// completeBatch ends the current batch with a Sync for the target. wantsReady is
// false if the client sent Flush and so expects no ReadyForQuery.
func (a *assembler) completeBatch(sync *pgproto3.Sync, ready bool) *batch {
	b := a.current
	a.current = nil
	if b == nil {
		b = &batch{}
	}
	b.wantsReady = ready
	messages, err := sync.Encode(b.messages)
	if err != nil {
		return a.refuse(err)
	}
	b.messages = messages
	return b
}

// addExtended adds a message of the extended protocol to the current batch.
func (a *assembler) addExtended(msg pgproto3.FrontendMessage) error {
	if a.current == nil {
		a.current = &batch{}
	}
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return a.parse(m)
	case *pgproto3.Bind:
		return a.bind(m)
	case *pgproto3.Describe:
		return a.describe(m)
	case *pgproto3.Execute:
		a.applyDeallocateAll(a.portals[m.Portal])
		return a.appendMessage(op{kind: opExecute, portal: true, sql: a.portals[m.Portal]}, m)
	case *pgproto3.Close:
		return a.close(m)
	default:
		return errUnexpectedMessage
	}
}

// appendMessage encodes msg into the current batch and records its operation.
func (a *assembler) appendMessage(o op, msg pgproto3.FrontendMessage) error {
	messages, err := msg.Encode(a.current.messages)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	a.current.messages = messages
	o.messageEnd = len(messages)
	a.current.ops = append(a.current.ops, o)
	return nil
}

func (a *assembler) parse(m *pgproto3.Parse) error {
	if len(a.prepared) >= maxPreparedStatements {
		return result.New(result.MessageTooLarge, "more than %d prepared statements", maxPreparedStatements)
	}
	if a.preparedSQLBytes+len(m.Query) > maxPreparedSQLBytes {
		return result.New(result.MessageTooLarge, "SQL text of prepared statements exceeds %d bytes", maxPreparedSQLBytes)
	}
	prepared := prepareSQL(m.Query, m.ParameterOIDs)
	a.dropPrepared(m.Name)
	a.prepared[m.Name] = prepared
	a.preparedSQLBytes += len(m.Query)
	a.current.addStatement(prepared)
	renamed := *m
	renamed.Name = prepared.targetStatement.Name
	return a.appendMessage(op{kind: opParse, sql: prepared}, &renamed)
}

func (a *assembler) bind(m *pgproto3.Bind) error {
	prepared, err := a.lookupPrepared(m.PreparedStatement)
	if err != nil {
		return err
	}
	if len(a.portals) >= maxPortals {
		clear(a.portals) // statements of unknown portals are treated as writes that may commit
	}
	a.portals[m.DestinationPortal] = prepared
	a.current.addStatement(prepared)
	renamed := *m
	renamed.PreparedStatement = prepared.targetStatement.Name
	return a.appendMessage(op{kind: opBind, sql: prepared}, &renamed)
}

func (a *assembler) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		return a.appendMessage(op{kind: opDescribe, portal: true, sql: a.portals[m.Name]}, m)
	}
	prepared, err := a.lookupPrepared(m.Name)
	if err != nil {
		return err
	}
	a.current.addStatement(prepared)
	return a.appendMessage(op{kind: opDescribe, sql: prepared}, &pgproto3.Describe{ObjectType: 'S', Name: prepared.targetStatement.Name})
}

// close drops a prepared statement or portal of the session. Targets keep the
// statement, because other sessions may use it under the same target name.
func (a *assembler) close(m *pgproto3.Close) error {
	if m.ObjectType == 'P' {
		delete(a.portals, m.Name)
		return a.appendMessage(op{kind: opClose, portal: true}, m)
	}
	name := m.Name
	if prepared, ok := a.prepared[m.Name]; ok {
		name = prepared.targetStatement.Name
		a.dropPrepared(m.Name)
	}
	return a.appendMessage(op{kind: opClose}, &pgproto3.Close{ObjectType: 'S', Name: name})
}

// dropPrepared drops the prepared statement of that name, if any.
func (a *assembler) dropPrepared(name string) {
	if prepared, ok := a.prepared[name]; ok {
		a.preparedSQLBytes -= len(prepared.targetStatement.SQL)
		delete(a.prepared, name)
	}
}

func (a *assembler) lookupPrepared(name string) (*parsedSQL, error) {
	prepared, ok := a.prepared[name]
	if !ok {
		return nil, result.New(result.NotFound, "prepared statement %q does not exist", truncate(name))
	}
	return prepared, nil
}
