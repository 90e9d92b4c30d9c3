package pool

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

// opKind is what a message requests. It determines which responses are valid.
type opKind int

const (
	opQuery opKind = iota
	opParse
	opBind
	opDescribeStatement
	opDescribePortal
	opExecute
	opClose
	opSync
)

// origin tells who requests an operation and who responds to it.
type origin int

const (
	fromCaller origin = iota // sent on, answered by the target
	injected                 // added by the proxy; its response is dropped
	synthetic                // not sent; answered by the proxy
)

// op is one message of a batch. It has exactly one terminal response.
type op struct {
	kind      opKind
	origin    origin
	statement string // named statement that the operation prepares, uses or (if injected) closes
}

// plan is a batch as it is sent on one connection.
type plan struct {
	wire []byte
	ops  []op
}

// planner converts a batch into a plan. It prepares the statements that the
// batch refers to and the connection lacks. It does not send a caller's Parse
// of a statement that is already prepared, nor a caller's Close of a statement.
type planner struct {
	plan
	cache       *statementCache
	definitions map[string]Statement
	inUse       map[string]bool // statements that the batch refers to or that are being closed
	prepared    map[string]bool // statements that the plan prepares
}

// makePlan converts a batch into a plan. It only reads cache; the responses
// update it.
func makePlan(messages []byte, definitions []Statement, cache *statementCache) (plan, error) {
	frames, err := splitFrames(messages)
	if err != nil {
		return plan{}, err
	}
	if err := checkBatchEnd(frames); err != nil {
		return plan{}, err
	}
	p := &planner{
		cache:       cache,
		definitions: map[string]Statement{},
		inUse:       map[string]bool{},
		prepared:    map[string]bool{},
	}
	p.wire = make([]byte, 0, len(messages))
	for _, d := range definitions {
		p.definitions[d.Name] = d
		p.inUse[d.Name] = true
	}
	for _, f := range frames {
		if err := p.add(f); err != nil {
			return plan{}, err
		}
	}
	return p.plan, nil
}

// checkBatchEnd refuses a batch that would not be answered by exactly one
// ReadyForQuery.
func checkBatchEnd(frames []frame) error {
	if len(frames) == 0 {
		return result.New(result.BadProtocol, "empty batch")
	}
	for i, f := range frames {
		last := i == len(frames)-1
		ends := f.kind == 'Q' || f.kind == 'S'
		if last != ends {
			return result.New(result.BadProtocol, "a batch must end with its only Query or Sync")
		}
		if f.kind == 'Q' && len(frames) > 1 {
			return result.New(result.BadProtocol, "Query inside an extended-protocol batch")
		}
	}
	return nil
}

func (p *planner) add(f frame) error {
	switch f.kind {
	case 'Q':
		p.forward(f, op{kind: opQuery})
	case 'S':
		p.forward(f, op{kind: opSync})
	case 'H': // Flush has no response
		p.wire = append(p.wire, f.raw...)
	case 'E':
		p.forward(f, op{kind: opExecute})
	case 'P':
		return p.parse(f)
	case 'B':
		return p.bind(f)
	case 'D':
		return p.describe(f)
	case 'C':
		return p.close(f)
	default:
		return result.New(result.UnsupportedFeature, "unsupported message of type %q", f.kind)
	}
	return nil
}

func (p *planner) forward(f frame, o op) {
	p.wire = append(p.wire, f.raw...)
	p.ops = append(p.ops, o)
}

func (p *planner) parse(f frame) error {
	var m pgproto3.Parse
	if err := m.Decode(f.body); err != nil {
		return malformedMessage("Parse", err)
	}
	if m.Name == "" {
		p.forward(f, op{kind: opParse})
		return nil
	}
	if p.isPrepared(m.Name) {
		p.ops = append(p.ops, op{kind: opParse, origin: synthetic, statement: m.Name})
		return nil
	}
	if err := p.evictIfFull(); err != nil {
		return err
	}
	p.prepared[m.Name] = true
	p.forward(f, op{kind: opParse, statement: m.Name})
	return nil
}

func (p *planner) bind(f frame) error {
	var m pgproto3.Bind
	if err := m.Decode(f.body); err != nil {
		return malformedMessage("Bind", err)
	}
	if err := p.ensurePrepared(m.PreparedStatement); err != nil {
		return err
	}
	p.forward(f, op{kind: opBind, statement: m.PreparedStatement})
	return nil
}

func (p *planner) describe(f frame) error {
	var m pgproto3.Describe
	if err := m.Decode(f.body); err != nil {
		return malformedMessage("Describe", err)
	}
	if m.ObjectType == 'P' {
		p.forward(f, op{kind: opDescribePortal})
		return nil
	}
	if err := p.ensurePrepared(m.Name); err != nil {
		return err
	}
	p.forward(f, op{kind: opDescribeStatement, statement: m.Name})
	return nil
}

func (p *planner) close(f frame) error {
	var m pgproto3.Close
	if err := m.Decode(f.body); err != nil {
		return malformedMessage("Close", err)
	}
	if m.ObjectType == 'S' && m.Name != "" {
		p.ops = append(p.ops, op{kind: opClose, origin: synthetic})
		return nil
	}
	p.forward(f, op{kind: opClose})
	return nil
}

func (p *planner) isPrepared(name string) bool { return p.cache.has(name) || p.prepared[name] }

// ensurePrepared prepares a named statement that the connection lacks. If the
// batch carries no definition of it, the target's own error answers the caller.
func (p *planner) ensurePrepared(name string) error {
	if name == "" || p.isPrepared(name) {
		return nil
	}
	d, ok := p.definitions[name]
	if !ok {
		return nil
	}
	if err := p.evictIfFull(); err != nil {
		return err
	}
	m := pgproto3.Parse{Name: d.Name, Query: d.SQL, ParameterOIDs: d.ParamOIDs}
	p.prepared[name] = true
	return p.addInjected(&m, op{kind: opParse, origin: injected, statement: name})
}

// evictIfFull closes the least recently used statement if the connection
// already has maxStatementsPerConn statements.
func (p *planner) evictIfFull() error {
	if p.cache.len()+len(p.prepared) < maxStatementsPerConn {
		return nil
	}
	name, ok := p.cache.leastRecentlyUsed(p.inUse)
	if !ok {
		return nil
	}
	p.inUse[name] = true
	return p.addInjected(&pgproto3.Close{ObjectType: 'S', Name: name}, op{kind: opClose, origin: injected, statement: name})
}

func (p *planner) addInjected(m pgproto3.FrontendMessage, o op) error {
	wire, err := m.Encode(p.wire)
	if err != nil {
		return result.New(result.BadProtocol, "prepared statement %s: %s", o.statement, err)
	}
	p.wire = wire
	p.ops = append(p.ops, o)
	return nil
}

func malformedMessage(message string, err error) error {
	return result.New(result.BadProtocol, "malformed %s: %s", message, err)
}
