package target

import (
	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	ctl "nettlewalk.example/nettlewalk/internal/target"
)

// portal is a bound statement. It is closed by a Close message or by the next
// Sync outside a transaction block.
type portal struct {
	stmt      *prepared
	args      []Value
	formats   []int16
	executed  bool
	tag       string
	remaining []*pgproto3.DataRow // rows not yet sent
}

// handle processes one message. A returned error closes the connection.
func (s *session) handle(msg pgproto3.FrontendMessage) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.db == nil {
		return pgErrorf(stateShutdown, "connection is closed")
	}
	switch msg := msg.(type) {
	case *pgproto3.Query:
		return s.handleSimpleQuery(msg.String)
	case *pgproto3.Sync:
		return s.handleSync()
	case *pgproto3.Flush:
		return s.backend.Flush()
	}
	if s.skipUntilSync {
		return nil
	}
	if err := s.handleExtended(msg); err != nil {
		s.sendError(err)
		s.skipUntilSync = true
	}
	return nil
}

func (s *session) sendError(err error) {
	s.backend.Send(toPGError(err).response())
	s.markFailed()
}

// sendReady sends ReadyForQuery, preceded by the position of a new commit.
func (s *session) sendReady() error {
	if pos := s.takePosition(); !pos.IsZero() {
		s.backend.Send(&pgproto3.ParameterStatus{Name: ctl.PositionParameter, Value: pos.String()})
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.txStatus()})
	if err := s.backend.Flush(); err != nil {
		return err
	}
	if s.setRoleChangePending(false) {
		return errors.New("the database was rebuilt")
	}
	return nil
}

func (s *session) handleSync() error {
	if !s.skipUntilSync {
		if err := s.endImplicit(); err != nil {
			s.sendError(err)
		}
	}
	s.skipUntilSync = false
	if !s.tx.explicit {
		clear(s.portals)
	}
	return s.sendReady()
}

// handleSimpleQuery runs all statements of a Query message. Statements outside
// a transaction block form one transaction.
func (s *session) handleSimpleQuery(sql string) error {
	statements := splitStatements(sql)
	if len(statements) == 0 {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, text := range statements {
		if err := s.runSimpleStatement(text, i == len(statements)-1); err != nil {
			s.sendError(err)
			break
		}
	}
	return s.sendReady()
}

func (s *session) runSimpleStatement(text string, last bool) error {
	p, err := s.prepare(text)
	if err != nil {
		return err
	}
	defer p.close()
	tag, err := s.execute(p, nil, &rowWriter{s: s, sendDescription: true})
	if err != nil {
		return err
	}
	if last {
		if err := s.endImplicit(); err != nil {
			return err
		}
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

func (s *session) handleExtended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return s.handleParse(msg)
	case *pgproto3.Bind:
		return s.handleBind(msg)
	case *pgproto3.Describe:
		return s.handleDescribe(msg)
	case *pgproto3.Execute:
		return s.handleExecute(msg)
	case *pgproto3.Close:
		return s.handleClose(msg)
	default:
		return pgErrorf(stateProtocol, "unexpected message %T", msg)
	}
}

func (s *session) handleParse(msg *pgproto3.Parse) error {
	texts := splitStatements(msg.Query)
	if len(texts) > 1 {
		return pgErrorf(stateSyntax, "cannot insert multiple commands into a prepared statement")
	}
	if _, ok := s.statements[msg.Name]; ok && msg.Name != "" {
		return pgErrorf("42P05", "prepared statement %q already exists", msg.Name)
	}
	p := &prepared{kind: kindEmpty}
	if len(texts) == 1 {
		kind := statementKindOf(texts[0])
		if s.tx.failed && kind != kindRollback && kind != kindCommit && kind != kindSavepoint {
			return s.failedTransactionError()
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
	s.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (s *session) handleBind(msg *pgproto3.Bind) error {
	p := s.statements[msg.PreparedStatement]
	if p == nil {
		return pgErrorf(stateNoStatement, "prepared statement %q does not exist", msg.PreparedStatement)
	}
	if len(msg.Parameters) != len(p.params) {
		return pgErrorf(stateProtocol, "bind message supplies %d parameters, but the statement requires %d", len(msg.Parameters), len(p.params))
	}
	args := make([]Value, len(msg.Parameters))
	for i, raw := range msg.Parameters {
		v, err := decode(raw, p.params[i], formatCode(msg.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		args[i] = v
	}
	formats := append([]int16(nil), msg.ResultFormatCodes...)
	s.portals[msg.DestinationPortal] = &portal{stmt: p, args: args, formats: formats}
	s.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (s *session) handleDescribe(msg *pgproto3.Describe) error {
	p, formats := s.statements[msg.Name], []int16(nil)
	if msg.ObjectType == 'P' {
		bound := s.portals[msg.Name]
		if bound == nil {
			return pgErrorf(stateNoPortal, "portal %q does not exist", msg.Name)
		}
		p, formats = bound.stmt, bound.formats
	}
	if p == nil {
		return pgErrorf(stateNoStatement, "prepared statement %q does not exist", msg.Name)
	}
	if msg.ObjectType == 'S' {
		s.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
	}
	if p.columns == nil {
		s.backend.Send(&pgproto3.NoData{})
		return nil
	}
	s.backend.Send(rowDescription(p.columns, formats))
	return nil
}

func (s *session) handleExecute(msg *pgproto3.Execute) error {
	bound := s.portals[msg.Portal]
	if bound == nil {
		return pgErrorf(stateNoPortal, "portal %q does not exist", msg.Portal)
	}
	if bound.stmt.kind == kindEmpty {
		s.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if !bound.executed {
		w := &rowWriter{s: s, formats: bound.formats, buffer: msg.MaxRows > 0}
		tag, err := s.execute(bound.stmt, bound.args, w)
		if err != nil {
			return err
		}
		bound.executed, bound.tag, bound.remaining = true, tag, w.buffered
	}
	return s.sendPortalRows(bound, int(msg.MaxRows))
}

// sendPortalRows sends up to limit buffered rows of a portal. A limit of 0
// sends all of them.
func (s *session) sendPortalRows(bound *portal, limit int) error {
	n := len(bound.remaining)
	if limit > 0 {
		n = min(n, limit)
	}
	for _, row := range bound.remaining[:n] {
		s.backend.Send(row)
	}
	bound.remaining = bound.remaining[n:]
	if len(bound.remaining) > 0 {
		s.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	s.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(bound.tag)})
	return nil
}

func (s *session) handleClose(msg *pgproto3.Close) error {
	switch msg.ObjectType {
	case 'S':
		if p := s.statements[msg.Name]; p != nil {
			p.close()
			delete(s.statements, msg.Name)
		}
	case 'P':
		delete(s.portals, msg.Name)
	}
	s.backend.Send(&pgproto3.CloseComplete{})
	return nil
}
