package target

import (
	"context"
	"database/sql/driver"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/mattn/go-sqlite3"
)

// column is one column of a result.
type column struct {
	name string
	oid  uint32
}

var (
	paramPattern     = regexp.MustCompile(`\$(\d+)`)
	castAfter        = regexp.MustCompile(`^\s*::\s*(\w+)`)
	comparisonBefore = regexp.MustCompile(`(\w+)"?\s*(?:=|<>|!=|<=|>=|<|>|\+|-|\*)\s*$`)
	inListBefore     = regexp.MustCompile(`(?i)(\w+)"?\s+in\s*\([^)]*$`)
	limitBefore      = regexp.MustCompile(`(?i)\b(limit|offset)\s*$`)
	insertPattern    = regexp.MustCompile(`(?is)^\s*insert\s+(?:or\s+\w+\s+)?into\s+"?(\w+)"?\s*(?:\(([^)]*)\))?\s*values\s*`)
	changedTable     = regexp.MustCompile(`(?is)^\s*(?:insert\s+(?:or\s+\w+\s+)?into|update|delete\s+from)\s+"?(\w+)"?`)
	returningPattern = regexp.MustCompile(`(?is)\breturning\b(.*)$`)
	functionName     = regexp.MustCompile(`^(\w+)\(.*\)$`)
)

// castOID returns the type OID for the type name in a cast.
func castOID(name string) uint32 {
	switch strings.ToLower(name) {
	case "int2", "smallint", "int4", "int", "integer", "int8", "bigint":
		return oidInt8
	case "timestamptz":
		return oidTimestamptz
	case "":
		return 0
	default:
		return columnOID(name)
	}
}

// schema maps each table to its columns with their declared types.
type schema map[string][]column

func readSchema(conn *sqlite3.SQLiteConn) (schema, error) {
	rows, err := queryAll(conn, `SELECT m.name, p.name, p.type FROM sqlite_master m JOIN pragma_table_info(m.name) p WHERE m.type = 'table' ORDER BY p.cid`)
	if err != nil {
		return nil, err
	}
	s := schema{}
	for _, row := range rows {
		table := strings.ToLower(fmt.Sprint(row[0]))
		s[table] = append(s[table], column{name: strings.ToLower(fmt.Sprint(row[1])), oid: columnOID(fmt.Sprint(row[2]))})
	}
	return s, nil
}

// columnType returns the type of the named column in any table that has it, or
// 0. If several tables have it, an arbitrary one is used.
func (s schema) columnType(name string) uint32 {
	for _, columns := range s {
		for _, c := range columns {
			if c.name == strings.ToLower(name) {
				return c.oid
			}
		}
	}
	return 0
}

func queryAll(conn *sqlite3.SQLiteConn, sql string) ([][]driver.Value, error) {
	rows, err := conn.Query(sql, nil)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	var all [][]driver.Value
	for {
		row := make([]driver.Value, len(rows.Columns()))
		if err := rows.Next(row); err == io.EOF {
			return all, nil
		} else if err != nil {
			return nil, err
		}
		all = append(all, row)
	}
}

// countParams returns the highest $n parameter outside quoted text.
func countParams(sql string) int {
	highest := 0
	for _, part := range splitQuoted(sql) {
		if part == "" || part[0] == '\'' || part[0] == '"' {
			continue
		}
		for _, m := range paramPattern.FindAllStringSubmatch(part, -1) {
			n, _ := strconv.Atoi(m[1])
			highest = max(highest, n)
		}
	}
	return highest
}

// inferParams infers the type of each undeclared parameter from its context.
// The type stays 0 if the context doesn't determine it.
func inferParams(sql string, declared []uint32, sch schema) []uint32 {
	params := make([]uint32, countParams(sql))
	copy(params, declared)
	positions := paramPattern.FindAllStringSubmatchIndex(sql, -1)
	inserted := insertTypes(sql, sch)
	for _, match := range positions {
		n, _ := strconv.Atoi(sql[match[2]:match[3]])
		if n == 0 || n > len(params) || params[n-1] != 0 {
			continue
		}
		params[n-1] = inferParam(sql[:match[0]], sql[match[1]:], inserted[match[0]], sch)
	}
	return params
}

func inferParam(before, after string, inserted uint32, sch schema) uint32 {
	if m := castAfter.FindStringSubmatch(after); m != nil {
		return castOID(m[1])
	}
	if inserted != 0 {
		return inserted
	}
	if m := comparisonBefore.FindStringSubmatch(before); m != nil {
		return sch.columnType(m[1])
	}
	if limitBefore.MatchString(before) {
		return oidInt8
	}
	if m := inListBefore.FindStringSubmatch(before); m != nil {
		return sch.columnType(m[1])
	}
	return 0
}

// insertTypes returns the column types for parameters in VALUES lists that
// stand directly as a value, keyed by their byte offset in sql.
func insertTypes(sql string, sch schema) map[int]uint32 {
	m := insertPattern.FindStringSubmatchIndex(sql)
	if m == nil {
		return nil
	}
	columns := sch[strings.ToLower(sql[m[2]:m[3]])]
	if m[4] >= 0 {
		columns = selectColumns(columns, sql[m[4]:m[5]])
	}
	types := map[int]uint32{}
	depth, index := 0, 0
	for i := m[1]; i < len(sql); i++ {
		switch sql[i] {
		case '(':
			if depth++; depth == 1 {
				index = 0
			}
		case ')':
			depth--
		case ',':
			if depth == 1 {
				index++
			}
		case '$':
			if depth == 1 && index < len(columns) {
				types[i] = columns[index].oid
			}
		}
	}
	return types
}

func selectColumns(columns []column, list string) []column {
	var selected []column
	for _, name := range strings.Split(list, ",") {
		name = strings.ToLower(strings.Trim(strings.TrimSpace(name), `"`))
		c := column{name: name}
		for _, tableColumn := range columns {
			if tableColumn.name == name {
				c = tableColumn
			}
		}
		selected = append(selected, c)
	}
	return selected
}

// describeColumns returns the result columns of a statement without executing
// it. Columns without a declared type are the exception: their types come from
// the first row of the query with all parameters NULL.
func describeColumns(conn *sqlite3.SQLiteConn, sql string, readonly bool) ([]column, error) {
	if !readonly {
		returning := returningPattern.FindStringSubmatch(sql)
		table := changedTable.FindStringSubmatch(sql)
		if returning == nil || table == nil {
			return nil, nil
		}
		sql = "SELECT " + returning[1] + " FROM " + table[1]
	}
	query := translateToSQLite(sql)
	rows, closeRows, err := queryWithNulls(conn, "SELECT * FROM ("+query+") LIMIT 0")
	if err != nil {
		return nil, err
	}
	names, decls := rows.Columns(), rows.DeclTypes()
	closeRows()
	columns := make([]column, len(names))
	untyped := false
	for i := range names {
		columns[i] = column{name: columnName(names[i]), oid: columnOID(decls[i])}
		untyped = untyped || columns[i].oid == 0
	}
	if untyped {
		inferTypesFromFirstRow(conn, query, columns)
	}
	return columns, nil
}

// queryWithNulls runs a query with all parameters set to NULL.
func queryWithNulls(conn *sqlite3.SQLiteConn, sql string) (*sqlite3.SQLiteRows, func(), error) {
	st, err := conn.Prepare(sql)
	if err != nil {
		return nil, nil, err
	}
	args := namedArgs(make([]Value, countParams(sql)))
	rows, err := st.(driver.StmtQueryContext).QueryContext(context.Background(), args)
	if err != nil {
		st.Close()
		return nil, nil, err
	}
	closeRows := func() {
		rows.Close()
		st.Close()
	}
	return rows.(*sqlite3.SQLiteRows), closeRows, nil
}

// inferTypesFromFirstRow derives the types of expression columns from the
// values in the first row. It doesn't run queries that call pg_sleep.
func inferTypesFromFirstRow(conn *sqlite3.SQLiteConn, sql string, columns []column) {
	row := make([]driver.Value, len(columns))
	if !strings.Contains(strings.ToLower(sql), "pg_sleep") {
		if rows, closeRows, err := queryWithNulls(conn, sql); err == nil {
			_ = rows.Next(row)
			closeRows()
		}
	}
	for i := range columns {
		if columns[i].oid == 0 {
			columns[i].oid = expressionOID(columns[i].name, row[i])
		}
	}
}

func expressionOID(name string, value any) uint32 {
	if value != nil {
		return valueOID(value)
	}
	switch name {
	case "count", "sum", "min", "max":
		return oidInt8
	default:
		return oidText
	}
}

// columnName returns the function name for a column that is a function call,
// as PostgreSQL does.
func columnName(name string) string {
	if m := functionName.FindStringSubmatch(name); m != nil {
		return strings.ToLower(m[1])
	}
	return name
}
