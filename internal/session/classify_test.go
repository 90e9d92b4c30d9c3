package session

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var classifyCases = []struct {
	sql  string
	want statement // with an empty text
}{
	{"select 1", statement{kind: kindRead, sideEffectFree: true}},
	{"(select count(*) from t where x in (1, 2))", statement{kind: kindRead, sideEffectFree: true}},
	{"select confirm_crew(7)", statement{kind: kindRead}},
	{"select * from t for update", statement{writes: true}},
	{"select * into u from t", statement{}},
	{"select * into temp u from t", statement{kind: kindUnsupported, name: "SELECT INTO TEMPORARY"}},
	{"with d as (delete from t returning *) select * from d", statement{writes: true}},
	{"with d as (select 1) select * from d", statement{kind: kindRead, sideEffectFree: true}},
	{"values (1)", statement{kind: kindRead, sideEffectFree: true}},
	{"table t", statement{kind: kindRead, sideEffectFree: true}},
	{"show server_version", statement{kind: kindRead, sideEffectFree: true}},
	{"show nettlewalk.token", statement{kind: kindShow, name: settingToken}},
	{"insert into t values ('commit; select')", statement{writes: true}},
	{"explain analyze delete from t", statement{writes: true}},
	{"do $x$ begin commit; end $x$", statement{writes: true}},
	{"begin", statement{kind: kindBegin}},
	{"start transaction isolation level repeatable read , read only", statement{kind: kindBegin, readOnly: true}},
	{"begin read write", statement{kind: kindBegin, readWrite: true}},
	{"begin isolation level read committed", statement{kind: kindBegin}},
	{"commit", statement{kind: kindCommit}},
	{"end", statement{kind: kindCommit}},
	{"commit and chain", statement{kind: kindCommit, chained: true}},
	{"rollback", statement{kind: kindRollback}},
	{"abort", statement{kind: kindRollback}},
	{"rollback to savepoint a", statement{}},
	{"commit prepared 'x'", statement{kind: kindUnsupported, name: "two-phase commit"}},
	{"set nettlewalk.max_staleness = '5s'", statement{kind: kindSet, name: settingMaxStaleness, value: "5s"}},
	{"set session application_name to 'A b'", statement{kind: kindSet, name: "application_name", value: "A b"}},
	{"set nettlewalk.max_staleness to default", statement{kind: kindSet, name: settingMaxStaleness, toDefault: true}},
	{"set time zone 'utc'", statement{kind: kindSet, name: "timezone", value: "utc"}},
	{"set names 'utf8'", statement{kind: kindSet, name: "client_encoding", value: "utf8"}},
	{"set local work_mem = '1MB'", statement{}},
	{"set transaction read only", statement{}},
	{"set session authorization bob", statement{kind: kindUnsupported, name: "SET SESSION AUTHORIZATION"}},
	{"reset search_path", statement{kind: kindReset, name: "search_path", toDefault: true}},
	{"listen a", statement{kind: kindUnsupported, name: "LISTEN"}},
	{"copy t from stdin", statement{kind: kindUnsupported, name: "COPY"}},
	{"declare c cursor with hold for select 1", statement{kind: kindUnsupported, name: "DECLARE WITH HOLD"}},
	{"declare c cursor for select 1", statement{}},
	{"create temp table t (x int)", statement{kind: kindUnsupported, name: "CREATE TEMPORARY"}},
	{"create table temp (x int)", statement{writes: true}},
	{"select pg_advisory_lock(1)", statement{kind: kindUnsupported, name: "pg_advisory_lock"}},
	{"select pg_advisory_xact_lock(1)", statement{kind: kindRead}},
	{"select * from \"nettlewalk_promote\"(9)", statement{kind: kindUnsupported, name: "nettlewalk_promote"}},
	{"deallocate all", statement{kind: kindDeallocateAll}},
	{"deallocate a", statement{kind: kindUnsupported, name: "DEALLOCATE"}},
}

// classifyFirst returns the first statement, without its text, and the number of
// statements.
func classifyFirst(sql string) (statement, int) {
	all := parseStatements(sql)
	if len(all) == 0 {
		return statement{}, 0
	}
	first := all[0]
	first.text = ""
	return first, len(all)
}

func TestClassify(t *testing.T) {
	for _, c := range classifyCases {
		got, n := classifyFirst(c.sql)
		qt.Check(t, n, qt.Equals, 1, qt.Commentf("%s", c.sql))
		qt.Check(t, got, qt.Equals, c.want, qt.Commentf("%s", c.sql))
	}
}

// Comments, white space and the case of unquoted words must not affect the result.
func TestClassifyIgnoresLayout(t *testing.T) {
	separators := []string{" ", "\n", "\t ", " /* a; b */ ", " -- commit;\n", "/* /* nested */ ' */"}
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.SampledFrom(classifyCases).Draw(t, "case")
		if strings.ContainsAny(c.sql, `'"$`) {
			t.Skip("quoted text must keep its layout")
		}
		var text strings.Builder
		text.WriteString(rapid.SampledFrom(separators).Draw(t, "before"))
		for _, part := range strings.Split(c.sql, " ") {
			if rapid.Bool().Draw(t, "upper") {
				part = strings.ToUpper(part)
			}
			text.WriteString(part + rapid.SampledFrom(separators).Draw(t, "blank"))
		}
		text.WriteString(rapid.SampledFrom([]string{"", ";", " ; ", ";;"}).Draw(t, "end"))
		got, n := classifyFirst(text.String())
		if n != 1 || got != c.want {
			t.Fatalf("%q: %d statements, %+v, want %+v", text.String(), n, got, c.want)
		}
	})
}

// Within a transaction, a batch of several statements must always count as one
// that may commit, whatever the statements are.
func TestSeveralStatementsMayCommitInATransaction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first := rapid.SampledFrom(classifyCases).Draw(t, "first")
		second := rapid.SampledFrom(classifyCases).Draw(t, "second")
		sql := &parsedSQL{statements: parseStatements(first.sql + " ; " + second.sql)}
		b := &batch{ops: []op{{kind: opQuery, sql: sql}}}
		if summary := b.summarize(); len(sql.statements) != 2 || !summary.mayCommitInTx || summary.onlyEnd || summary.onlyBegin {
			t.Fatalf("%d statements, %+v", len(sql.statements), summary)
		}
	})
}

func FuzzClassify(f *testing.F) {
	for _, c := range classifyCases {
		f.Add(c.sql)
	}
	for _, sql := range []string{"", ";", "$$", "$a$ $b$ $a$", "e'\\'", "'", "\"", "/*", "/**", "--", "select $1$", "((", "set", "set =", "set a", "e'"} {
		f.Add(sql)
	}
	f.Fuzz(func(t *testing.T, sql string) {
		total := 0
		for _, s := range parseStatements(sql) {
			total += len(s.text)
		}
		if total > len(sql) {
			t.Fatalf("statements have %d bytes, their text only %d", total, len(sql))
		}
	})
}
