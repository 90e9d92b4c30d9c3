package target

import (
	"regexp"
	"strings"

	"github.com/mattn/go-sqlite3"
)

// statementKind determines how a statement is executed.
type statementKind int

const (
	kindSQL statementKind = iota
	kindEmpty
	kindBegin
	kindCommit
	kindRollback
	kindSavepoint // SAVEPOINT, RELEASE and ROLLBACK TO
	kindSet       // SET, RESET, DISCARD, DEALLOCATE, LISTEN, UNLISTEN: accepted, mostly without effect
	kindShow
	kindControl // control functions and advisory locks
)

var controlPattern = regexp.MustCompile(`(?is)^\s*SELECT\s+(?:\*\s+FROM\s+)?(nettlewalk_\w+|pg_try_advisory_lock|pg_advisory_unlock|pg_advisory_unlock_all)\s*\(([^)]*)\)\s*;?\s*$`)

// prepared is a parsed statement. It belongs to the session's goroutine.
type prepared struct {
	sql        string
	kind       statementKind
	sqliteStmt *sqlite3.SQLiteStmt // kindSQL only
	readonly   bool
	params     []uint32
	columns    []column // nil if the statement returns no rows or was not described
	control    []string // function name, followed by its arguments
}

func (p *prepared) close() {
	if p.sqliteStmt != nil {
		p.sqliteStmt.Close()
		p.sqliteStmt = nil
	}
}

func statementKindOf(sql string) statementKind {
	words := append(firstWords(sql, 4), "", "", "")
	switch words[0] {
	case "":
		return kindEmpty
	case "BEGIN", "START":
		return kindBegin
	case "COMMIT", "END":
		return kindCommit
	case "ROLLBACK", "ABORT":
		if words[1] == "TO" || words[2] == "TO" {
			return kindSavepoint
		}
		return kindRollback
	case "SAVEPOINT", "RELEASE":
		return kindSavepoint
	case "SET", "RESET", "DISCARD", "DEALLOCATE", "LISTEN", "UNLISTEN":
		return kindSet
	case "SHOW":
		return kindShow
	}
	if controlPattern.MatchString(sql) {
		return kindControl
	}
	return kindSQL
}

// prepare parses one statement. The caller holds the session's mutex.
func (s *session) prepare(sql string) (*prepared, error) {
	p := &prepared{sql: sql, kind: statementKindOf(sql), readonly: true}
	switch p.kind {
	case kindSQL:
		st, err := s.db.Prepare(translateToSQLite(sql))
		if err != nil {
			return nil, err
		}
		p.sqliteStmt = st.(*sqlite3.SQLiteStmt)
		p.readonly = p.sqliteStmt.Readonly() && !rowLockPattern.MatchString(sql)
	case kindShow:
		p.columns = []column{{name: strings.ToLower(firstWords(sql+" x", 2)[1]), oid: oidText}}
	case kindControl:
		m := controlPattern.FindStringSubmatch(sql)
		p.control = append([]string{strings.ToLower(m[1])}, splitArguments(m[2])...)
		p.columns = controlColumns(p.control[0])
	}
	return p, nil
}

// describe fills in the parameter types and columns for the extended query
// protocol.
func (s *session) describe(p *prepared, declared []uint32) error {
	p.params = make([]uint32, countParams(p.sql))
	copy(p.params, declared)
	if p.kind != kindSQL {
		return nil
	}
	sch, err := readSchema(s.db)
	if err != nil {
		return err
	}
	p.params = inferParams(p.sql, declared, sch)
	p.columns, err = describeColumns(s.db, p.sql, p.sqliteStmt.Readonly())
	return err
}

func splitArguments(list string) []string {
	var args []string
	for _, arg := range strings.Split(list, ",") {
		if arg = strings.TrimSpace(arg); arg != "" {
			args = append(args, arg)
		}
	}
	return args
}
