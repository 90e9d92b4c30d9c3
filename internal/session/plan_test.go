package session

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

func TestPlanAlone(t *testing.T) {
	keywords := func(r *access) { r.customer.ReadKeywords = true }
	stale := func(d time.Duration) func(*access) { return func(r *access) { r.settings.maxStaleness = &d } }
	declared := func(r *access) { r.settings.readOnly = true }
	viewer := func(r *access) { r.user.ReadOnly = true }
	idempotent := func(r *access) { r.settings.idempotent = true }
	for _, c := range []struct {
		sql        string
		declare    []func(*access)
		class      pool.Class
		idempotent bool
		code       result.Code
	}{
		{"select 1", nil, pool.Write, false, 0},
		{"select 1", []func(*access){keywords}, pool.Read, true, 0},
		{"select 1", []func(*access){stale(time.Second)}, pool.Read, true, 0},
		{"select 1", []func(*access){keywords, stale(0)}, pool.Write, false, 0},
		{"select 1", []func(*access){viewer}, pool.Read, true, 0},
		{"select confirm_crew(7)", []func(*access){keywords}, pool.Read, false, 0},
		{"select confirm_crew(7)", []func(*access){keywords, idempotent}, pool.Read, true, 0},
		{"select roster_of(7)", []func(*access){declared}, pool.Read, true, 0},
		{"insert into t values (1)", []func(*access){keywords}, pool.Write, false, 0},
		{"insert into t values (1)", []func(*access){idempotent}, pool.Write, true, 0},
		{"insert into t values (1)", []func(*access){declared}, pool.Write, false, result.ReadOnlySession},
		{"insert into t values (1)", []func(*access){viewer}, pool.Write, false, result.ReadOnlySession},
		{"select 1; insert into t values (1)", []func(*access){keywords}, pool.Write, false, 0},
		{"select 1; delete from t", []func(*access){viewer}, pool.Write, false, result.ReadOnlySession},
		{"explain select 1", []func(*access){viewer}, pool.Read, true, 0},
	} {
		r := access{customer: &customer.Customer{}, settings: &settings{}}
		for _, d := range c.declare {
			d(&r)
		}
		b := &batch{ops: []op{{kind: opQuery, definition: define(c.sql, nil)}}}
		p, err := r.planAlone(b.facts())
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
		sql      string
		user     bool // read-only
		session  bool // declared read-only
		class    pool.Class
		sent     string
		readOnly bool // refused as such
	}{
		{"begin", false, false, pool.Write, "begin", false},
		{"begin read only", false, false, pool.Read, "begin read only", false},
		{"begin", false, true, pool.Read, "begin READ ONLY", false},
		{"begin", true, false, pool.Read, "begin READ ONLY", false},
		{"begin -- roster", false, true, pool.Read, "begin READ ONLY", false},
		{"begin read write", false, true, pool.Write, "begin read write", false},
		{"begin read write", true, false, pool.Write, "", true},
	} {
		r := access{
			customer: &customer.Customer{},
			user:     customer.User{ReadOnly: c.user},
			settings: &settings{readOnly: c.session},
		}
		begin := parseStatements(c.sql)[0]
		p, err := r.planBegin(begin)
		if c.readOnly {
			qt.Check(t, err, qt.Equals, error(errReadOnly))
			continue
		}
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, p.class, qt.Equals, c.class, qt.Commentf("%+v", c))
		qt.Check(t, r.beginText(begin), qt.Equals, c.sent)
	}
}
