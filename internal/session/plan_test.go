package session

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

func TestPlanOutsideTransaction(t *testing.T) {
	keywords := func(p *planner) { p.customer.ReadKeywords = true }
	lag := func(d time.Duration) func(*planner) { return func(p *planner) { p.settings.maxStaleness = &d } }
	readOnlySession := func(p *planner) { p.settings.readOnly = true }
	readOnlyUser := func(p *planner) { p.user.ReadOnly = true }
	idempotent := func(p *planner) { p.settings.idempotent = true }
	for _, c := range []struct {
		sql        string
		configure  []func(*planner)
		class      pool.Class
		idempotent bool
		code       result.Code
	}{
		{"select 1", nil, pool.Write, false, 0},
		{"select 1", []func(*planner){keywords}, pool.Read, true, 0},
		{"select 1", []func(*planner){lag(time.Second)}, pool.Read, true, 0},
		{"select 1", []func(*planner){keywords, lag(0)}, pool.Write, false, 0},
		{"select 1", []func(*planner){readOnlyUser}, pool.Read, true, 0},
		{"select confirm_crew(7)", []func(*planner){keywords}, pool.Read, false, 0},
		{"select confirm_crew(7)", []func(*planner){keywords, idempotent}, pool.Read, true, 0},
		{"select roster_of(7)", []func(*planner){readOnlySession}, pool.Read, true, 0},
		{"insert into t values (1)", []func(*planner){keywords}, pool.Write, false, 0},
		{"insert into t values (1)", []func(*planner){idempotent}, pool.Write, true, 0},
		{"insert into t values (1)", []func(*planner){readOnlySession}, pool.Write, false, result.ReadOnlySession},
		{"insert into t values (1)", []func(*planner){readOnlyUser}, pool.Write, false, result.ReadOnlySession},
		{"select 1; insert into t values (1)", []func(*planner){keywords}, pool.Write, false, 0},
		{"select 1; delete from t", []func(*planner){readOnlyUser}, pool.Write, false, result.ReadOnlySession},
		{"explain select 1", []func(*planner){readOnlyUser}, pool.Read, true, 0},
	} {
		pl := planner{customer: &customer.Customer{}, settings: &settings{}}
		for _, apply := range c.configure {
			apply(&pl)
		}
		b := &batch{ops: []op{{kind: opQuery, sql: prepareSQL(c.sql, nil)}}}
		p, err := pl.planOutsideTx(b.summarize())
		if c.code != 0 {
			qt.Check(t, result.As(err, result.OK).Code, qt.Equals, c.code, qt.Commentf("%+v", c))
			continue
		}
		qt.Check(t, err, qt.IsNil, qt.Commentf("%+v", c))
		qt.Check(t, p.class, qt.Equals, c.class, qt.Commentf("%+v", c))
		qt.Check(t, p.idempotent, qt.Equals, c.idempotent, qt.Commentf("%+v", c))
		qt.Check(t, p.mayCommit, qt.IsTrue)
	}
}

func TestPlanBegin(t *testing.T) {
	for _, c := range []struct {
		sql             string
		readOnlyUser    bool // the user is read-only
		readOnlySession bool // the session is declared read-only
		class           pool.Class
		sentSQL         string
		refused         bool // refused with errReadOnly
	}{
		{"begin", false, false, pool.Write, "begin", false},
		{"begin read only", false, false, pool.Read, "begin read only", false},
		{"begin", false, true, pool.Read, "begin READ ONLY", false},
		{"begin", true, false, pool.Read, "begin READ ONLY", false},
		{"begin -- roster", false, true, pool.Read, "begin READ ONLY", false},
		{"begin read write", false, true, pool.Write, "begin read write", false},
		{"begin read write", true, false, pool.Write, "", true},
	} {
		pl := planner{
			customer: &customer.Customer{},
			user:     customer.User{ReadOnly: c.readOnlyUser},
			settings: &settings{readOnly: c.readOnlySession},
		}
		begin := parseStatements(c.sql)[0]
		p, err := pl.planBegin(begin)
		if c.refused {
			qt.Check(t, err, qt.Equals, error(errReadOnly))
			continue
		}
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, p.class, qt.Equals, c.class, qt.Commentf("%+v", c))
		qt.Check(t, pl.beginSQL(begin), qt.Equals, c.sentSQL)
	}
}
