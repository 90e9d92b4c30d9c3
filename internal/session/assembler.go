package session

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	maxStatements = 4096     // prepared statements of one session
	maxSQLBytes   = 16 << 20 // of their text together
	maxPortals    = 1024     // portals whose statement is remembered
	maxOps        = 65536
)

// errOutOfPlace refuses a message that has no meaning within a session. The
// connection ends, as both sides no longer agree on its state.
var errOutOfPlace error = result.New(result.BadProtocol, "a message that has no place here")

// assembler makes batches of a caller's messages and keeps the session's
// prepared statements by the caller's names.
type assembler struct {
	limit       int // bytes of a batch
	definitions map[string]*definition
	sqlBytes    int // of the definitions' text
	portals     map[string]*definition
	current     *batch
	skipping    bool // until Sync, after a refusal
}

func newAssembler(limit int) *assembler {
	return &assembler{
		limit:       limit,
		definitions: map[string]*definition{},
		portals:     map[string]*definition{},
	}
}

// add takes one message and returns the batch that it ends, or nil. It keeps
// nothing of the message itself.
func (a *assembler) add(msg pgproto3.FrontendMessage) *batch {
	if a.skipping {
		return a.skip(msg)
	}
	switch m := msg.(type) {
	case *pgproto3.Query:
		return a.query(m)
	case *pgproto3.Sync:
		return a.finish(m, true)
	case *pgproto3.Flush:
		return a.flush()
	case *pgproto3.FunctionCall:
		return &batch{ready: true, refusal: result.New(result.UnsupportedFeature, "function call messages")}
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // left over from a COPY that was refused
	}
	err := a.extended(msg)
	if err == nil && len(a.current.messages) > a.limit {
		err = a.tooLarge()
	}
	if err == nil && len(a.current.ops) > maxOps {
		err = result.New(result.MessageTooLarge, "more than %d messages before Sync", maxOps)
	}
	if err != nil {
		return a.refuse(err)
	}
	return nil
}

// skip drops messages up to Sync, which gets its ReadyForQuery.
func (a *assembler) skip(msg pgproto3.FrontendMessage) *batch {
	if _, ok := msg.(*pgproto3.Sync); !ok {
		return nil
	}
	a.skipping = false
	return &batch{ready: true}
}

// refuse ends the batch with an error; what follows up to Sync is dropped.
func (a *assembler) refuse(err error) *batch {
	a.current = nil
	a.skipping = true
	return &batch{refusal: result.As(err, result.BadProtocol), fatal: errors.Is(err, errOutOfPlace)}
}

func (a *assembler) tooLarge() error {
	return result.New(result.MessageTooLarge, "a batch has more than %d bytes", a.limit)
}

func (a *assembler) query(m *pgproto3.Query) *batch {
	if a.current != nil {
		return a.refuse(result.New(result.BadProtocol, "Query before Sync"))
	}
	d := &definition{statements: parseStatements(m.String)}
	b := &batch{ready: true, ops: []op{{kind: opQuery, definition: d}}}
	messages, err := m.Encode(nil)
	if err != nil {
		b.refusal = result.As(err, result.BadProtocol)
	}
	b.messages = messages
	a.forgetAfter(d)
	return b
}

// forgetAfter drops all prepared statements if DEALLOCATE ALL is to run.
func (a *assembler) forgetAfter(d *definition) {
	if d == nil {
		return
	}
	for _, s := range d.statements {
		if s.kind == kindForget {
			clear(a.definitions)
			a.sqlBytes = 0
		}
	}
}

// flush answers what came so far if that is only about statements: portals
// would not outlive the end of a batch.
func (a *assembler) flush() *batch {
	if a.current == nil {
		return nil
	}
	for _, o := range a.current.ops {
		if o.kind == opBind || o.kind == opExecute || o.portal {
			return a.refuse(result.New(result.UnsupportedFeature, "Flush after Bind; send Sync"))
		}
	}
	return a.finish(&pgproto3.Sync{}, false)
}

func (a *assembler) finish(sync *pgproto3.Sync, ready bool) *batch {
	b := a.current
	a.current = nil
	if b == nil {
		b = &batch{}
	}
	b.ready = ready
	messages, err := sync.Encode(b.messages)
	if err != nil {
		return a.refuse(err)
	}
	b.messages = messages
	return b
}

// extended adds a message of the extended protocol to the current batch.
func (a *assembler) extended(msg pgproto3.FrontendMessage) error {
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
		a.forgetAfter(a.portals[m.Portal])
		return a.push(op{kind: opExecute, portal: true, definition: a.portals[m.Portal]}, m)
	case *pgproto3.Close:
		return a.close(m)
	default:
		return errOutOfPlace
	}
}

func (a *assembler) push(o op, msg pgproto3.FrontendMessage) error {
	messages, err := msg.Encode(a.current.messages)
	if err != nil {
		return errors.Wrap(err, "message")
	}
	a.current.messages = messages
	o.end = len(messages)
	a.current.ops = append(a.current.ops, o)
	return nil
}

func (a *assembler) parse(m *pgproto3.Parse) error {
	if len(a.definitions) >= maxStatements {
		return result.New(result.MessageTooLarge, "more than %d prepared statements", maxStatements)
	}
	if a.sqlBytes+len(m.Query) > maxSQLBytes {
		return result.New(result.MessageTooLarge, "prepared statements of more than %d bytes", maxSQLBytes)
	}
	d := define(m.Query, m.ParameterOIDs)
	a.forget(m.Name)
	a.definitions[m.Name] = d
	a.sqlBytes += len(m.Query)
	a.current.use(d)
	renamed := *m
	renamed.Name = d.target.Name
	return a.push(op{kind: opParse, definition: d}, &renamed)
}

func (a *assembler) bind(m *pgproto3.Bind) error {
	d, err := a.find(m.PreparedStatement)
	if err != nil {
		return err
	}
	if len(a.portals) >= maxPortals {
		clear(a.portals) // what they run is then unknown, which is safe
	}
	a.portals[m.DestinationPortal] = d
	a.current.use(d)
	renamed := *m
	renamed.PreparedStatement = d.target.Name
	return a.push(op{kind: opBind, definition: d}, &renamed)
}

func (a *assembler) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'P' {
		return a.push(op{kind: opDescribe, portal: true, definition: a.portals[m.Name]}, m)
	}
	d, err := a.find(m.Name)
	if err != nil {
		return err
	}
	a.current.use(d)
	return a.push(op{kind: opDescribe, definition: d}, &pgproto3.Describe{ObjectType: 'S', Name: d.target.Name})
}

// close forgets a statement or portal. Targets keep a statement, which others
// may use under the same name.
func (a *assembler) close(m *pgproto3.Close) error {
	if m.ObjectType == 'P' {
		delete(a.portals, m.Name)
		return a.push(op{kind: opClose, portal: true}, m)
	}
	name := m.Name
	if d, ok := a.definitions[m.Name]; ok {
		name = d.target.Name
		a.forget(m.Name)
	}
	return a.push(op{kind: opClose}, &pgproto3.Close{ObjectType: 'S', Name: name})
}

// forget drops a prepared statement, if there is one of that name.
func (a *assembler) forget(name string) {
	if d, ok := a.definitions[name]; ok {
		a.sqlBytes -= len(d.target.SQL)
		delete(a.definitions, name)
	}
}

func (a *assembler) find(name string) (*definition, error) {
	d, ok := a.definitions[name]
	if !ok {
		return nil, result.New(result.NotFound, "prepared statement %q doesn't exist", clip(name))
	}
	return d, nil
}
