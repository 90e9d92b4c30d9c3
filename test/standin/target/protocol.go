package target

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	ctl "nettlewalk.example/nettlewalk/internal/target"
)

// portal is a bound statement. It lives until the next Sync outside of a
// transaction, or until it is closed.
type portal struct {
	st      *prepared
	args    []Value
	formats []int16
	ran     bool
	tag     string
	rest    []*pgproto3.DataRow // rows not fetched yet
}

// handle runs one message. An error ends the connection.
func (s *session) handle(msg pgproto3.FrontendMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db == nil {
		return pgErrorf(stateShutdown, "connection is closed")
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(msg.String)
	case *pgproto3.Sync:
		return s.sync()
	case *pgproto3.Flush:
		return s.be.Flush()
	}
	if s.skipping {
		return nil
	}
	if err := s.extended(msg); err != nil {
		s.answerError(err)
		s.skipping = true
	}
	return nil
}

func (s *session) answerError(err error) {
	s.be.Send(asPG(err).response())
	s.fail()
}

// ready ends a batch of messages.
func (s *session) ready() error {
	if pos := s.takePosition(); !pos.IsZero() {
		s.be.Send(&pgproto3.ParameterStatus{Name: ctl.PositionParameter, Value: pos.String()})
	}
	s.be.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	if err := s.be.Flush(); err != nil {
		return err
	}
	if s.setOrdering(false) {
		return errors.New("the database was rebuilt")
	}
	return nil
}

func (s *session) sync() error {
	if !s.skipping {
		if err := s.endImplicit(); err != nil {
			s.answerError(err)
		}
	}
	s.skipping = false
	if !s.tx.explicit {
		clear(s.portals)
	}
	return s.ready()
}

// simpleQuery runs all statements of one Query; those outside of a
// transaction block are one transaction.
func (s *session) simpleQuery(sql string) error {
	statements := splitStatements(sql)
	if len(statements) == 0 {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, text := range statements {
		if err := s.simpleStatement(text, i == len(statements)-1); err != nil {
			s.answerError(err)
			break
		}
	}
	return s.ready()
}

func (s *session) simpleStatement(text string, last bool) error {
	p, err := s.prepare(text)
	if err != nil {
		return err
	}
	defer p.close()
	tag, err := s.execute(p, nil, &rowWriter{s: s, announce: true})
	if err != nil {
		return err
	}
	if last {
		if err := s.endImplicit(); err != nil {
			return err
		}
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

func (s *session) extended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(msg)
	case *pgproto3.Bind:
		return s.bind(msg)
	case *pgproto3.Describe:
		return s.describeMessage(msg)
	case *pgproto3.Execute:
		return s.executePortal(msg)
	case *pgproto3.Close:
		return s.closeMessage(msg)
	default:
		return pgErrorf(stateProtocol, "unexpected message %T", msg)
	}
}

func (s *session) parse(msg *pgproto3.Parse) error {
	texts := splitStatements(msg.Query)
	if len(texts) > 1 {
		return pgErrorf(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if _, ok := s.statements[msg.Name]; ok && msg.Name != "" {
		return pgErrorf("42P05", "prepared statement %q already exists", msg.Name)
	}
	p := &prepared{kind: kindEmpty}
	if len(texts) == 1 {
		kind := kindOf(texts[0])
		if s.tx.failed && kind != kindRollback && kind != kindCommit && kind != kindSavepoint {
			return s.failedError()
		}
		var err error
		if p, err = s.prepare(texts[0]); err != nil {
			return err
		}
		if err := s.describe(p, msg.ParameterOIDs); err != nil {
			p.close()
			return err
		}
	}
	if old := s.statements[msg.Name]; old != nil {
		old.close()
	}
	s.statements[msg.Name] = p
	s.be.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) bind(msg *pgproto3.Bind) error {
	p := s.statements[msg.PreparedStatement]
	if p == nil {
		return pgErrorf(stateNoStatement, "prepared statement %q does not exist", msg.PreparedStatement)
	}
	if len(msg.Parameters) != len(p.params) {
		return pgErrorf(stateProtocol, "bind message supplies %d parameters, but the statement requires %d", len(msg.Parameters), len(p.params))
	}
	args := make([]Value, len(msg.Parameters))
	for i, raw := range msg.Parameters {
		v, err := decode(raw, p.params[i], formatOf(msg.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		args[i] = v
	}
	formats := append([]int16(nil), msg.ResultFormatCodes...)
	s.portals[msg.DestinationPortal] = &portal{st: p, args: args, formats: formats}
	s.be.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) describeMessage(msg *pgproto3.Describe) error {
	p, formats := s.statements[msg.Name], []int16(nil)
	if msg.ObjectType == 'P' {
		po := s.portals[msg.Name]
		if po == nil {
			return pgErrorf(stateNoPortal, "portal %q does not exist", msg.Name)
		}
		p, formats = po.st, po.formats
	}
	if p == nil {
		return pgErrorf(stateNoStatement, "prepared statement %q does not exist", msg.Name)
	}
	if msg.ObjectType == 'S' {
		s.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
	}
	if p.columns == nil {
		s.be.Send(&pgproto3.NoData{})
		return nil
	}
	s.be.Send(rowDescription(p.columns, formats))
	return nil
}

func (s *session) executePortal(msg *pgproto3.Execute) error {
	po := s.portals[msg.Portal]
	if po == nil {
		return pgErrorf(stateNoPortal, "portal %q does not exist", msg.Portal)
	}
	if po.st.kind == kindEmpty {
		s.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !po.ran {
		w := &rowWriter{s: s, formats: po.formats, keep: msg.MaxRows > 0}
		tag, err := s.execute(po.st, po.args, w)
		if err != nil {
			return err
		}
		po.ran, po.tag, po.rest = true, tag, w.kept
	}
	return s.fetch(po, int(msg.MaxRows))
}

// fetch sends up to limit kept rows; 0 means all.
func (s *session) fetch(po *portal, limit int) error {
	n := len(po.rest)
	if limit > 0 {
		n = min(n, limit)
	}
	for _, row := range po.rest[:n] {
		s.be.Send(row)
	}
	po.rest = po.rest[n:]
	if len(po.rest) > 0 {
		s.be.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.tag)})
	return nil
}

func (s *session) closeMessage(msg *pgproto3.Close) error {
	switch msg.ObjectType {
	case 'S':
		if p := s.statements[msg.Name]; p != nil {
			p.close()
			delete(s.statements, msg.Name)
		}
	case 'P':
		delete(s.portals, msg.Name)
	}
	s.be.Send(&pgproto3.CloseComplete{})
	return nil
}
