package pool

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

// opKind is what a message asks for; it tells which answers may follow.
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

// origin tells who wants an operation and who answers it.
type origin int

const (
	fromCaller origin = iota // sent on, answered by the target
	hidden                   // added by the proxy, its answer is dropped
	synthetic                // not sent, answered by the proxy
)

// op is one message of a batch that has exactly one terminal answer.
type op struct {
	kind      opKind
	origin    origin
	statement string // named statement that a parse makes or a hidden close ends
}

// plan is a batch as it is sent on one connection.
type plan struct {
	wire []byte
	ops  []op
}

// planner turns a batch into a plan. Statements that the batch names and the
// connection lacks are prepared first; a caller's parse of one that exists and
// a caller's close of a statement aren't sent.
type planner struct {
	plan
	cache       *statementCache
	definitions map[string]Statement
	inUse       map[string]bool // statements that the batch names or that are being closed
	prepared    map[string]bool // statements that the plan prepares
}

// makePlan reads cache and leaves it unchanged: the answers change it.
func makePlan(messages []byte, definitions []Statement, cache *statementCache) (plan, error) {
	frames, err := splitFrames(messages)
	if err != nil {
		return plan{}, err
	}
	if err := checkEnd(frames); err != nil {
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

// checkEnd refuses a batch that isn't answered by exactly one ReadyForQuery.
func checkEnd(frames []frame) error {
	if len(frames) == 0 {
		return result.New(result.BadProtocol, "empty batch")
	}
	for i, f := range frames {
		last := i == len(frames)-1
		ends := f.kind == 'Q' || f.kind == 'S'
		if last != ends {
			return result.New(result.BadProtocol, "a batch ends with its only Query or Sync")
		}
		if f.kind == 'Q' && len(frames) > 1 {
			return result.New(result.BadProtocol, "Query inside an extended batch")
		}
	}
	return nil
}

func (p *planner) add(f frame) error {
	switch f.kind {
	case 'Q':
		p.send(f, op{kind: opQuery})
	case 'S':
		p.send(f, op{kind: opSync})
	case 'H': // Flush has no answer
		p.wire = append(p.wire, f.raw...)
	case 'E':
		p.send(f, op{kind: opExecute})
	case 'P':
		return p.parse(f)
	case 'B':
		return p.bind(f)
	case 'D':
		return p.describe(f)
	case 'C':
		return p.close(f)
	default:
		return result.New(result.UnsupportedFeature, "message of type %q", f.kind)
	}
	return nil
}

func (p *planner) send(f frame, o op) {
	p.wire = append(p.wire, f.raw...)
	p.ops = append(p.ops, o)
}

func (p *planner) parse(f frame) error {
	var m pgproto3.Parse
	if err := m.Decode(f.body); err != nil {
		return unreadable("Parse", err)
	}
	if m.Name == "" {
		p.send(f, op{kind: opParse})
		return nil
	}
	if p.exists(m.Name) {
		p.ops = append(p.ops, op{kind: opParse, origin: synthetic, statement: m.Name})
		return nil
	}
	if err := p.makeRoom(); err != nil {
		return err
	}
	p.prepared[m.Name] = true
	p.send(f, op{kind: opParse, statement: m.Name})
	return nil
}

func (p *planner) bind(f frame) error {
	var m pgproto3.Bind
	if err := m.Decode(f.body); err != nil {
		return unreadable("Bind", err)
	}
	if err := p.need(m.PreparedStatement); err != nil {
		return err
	}
	p.send(f, op{kind: opBind, statement: m.PreparedStatement})
	return nil
}

func (p *planner) describe(f frame) error {
	var m pgproto3.Describe
	if err := m.Decode(f.body); err != nil {
		return unreadable("Describe", err)
	}
	if m.ObjectType == 'P' {
		p.send(f, op{kind: opDescribePortal})
		return nil
	}
	if err := p.need(m.Name); err != nil {
		return err
	}
	p.send(f, op{kind: opDescribeStatement, statement: m.Name})
	return nil
}

func (p *planner) close(f frame) error {
	var m pgproto3.Close
	if err := m.Decode(f.body); err != nil {
		return unreadable("Close", err)
	}
	if m.ObjectType == 'S' && m.Name != "" {
		p.ops = append(p.ops, op{kind: opClose, origin: synthetic})
		return nil
	}
	p.send(f, op{kind: opClose})
	return nil
}

func (p *planner) exists(name string) bool { return p.cache.has(name) || p.prepared[name] }

// need prepares a named statement that the connection lacks. Without a
// definition the target's own error answers the caller.
func (p *planner) need(name string) error {
	if name == "" || p.exists(name) {
		return nil
	}
	d, ok := p.definitions[name]
	if !ok {
		return nil
	}
	if err := p.makeRoom(); err != nil {
		return err
	}
	m := pgproto3.Parse{Name: d.Name, Query: d.SQL, ParameterOIDs: d.ParamOIDs}
	p.prepared[name] = true
	return p.addHidden(&m, op{kind: opParse, origin: hidden, statement: name})
}

// makeRoom closes the oldest statement when the connection has its fill.
func (p *planner) makeRoom() error {
	if p.cache.len()+len(p.prepared) < statementLimit {
		return nil
	}
	name, ok := p.cache.oldest(p.inUse)
	if !ok {
		return nil
	}
	p.inUse[name] = true
	return p.addHidden(&pgproto3.Close{ObjectType: 'S', Name: name}, op{kind: opClose, origin: hidden, statement: name})
}

func (p *planner) addHidden(m pgproto3.FrontendMessage, o op) error {
	wire, err := m.Encode(p.wire)
	if err != nil {
		return result.New(result.BadProtocol, "prepared statement %s: %s", o.statement, err)
	}
	p.wire = wire
	p.ops = append(p.ops, o)
	return nil
}

func unreadable(message string, err error) error {
	return result.New(result.BadProtocol, "unreadable %s: %s", message, err)
}
