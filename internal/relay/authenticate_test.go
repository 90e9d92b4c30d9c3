package relay

import (
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/funcr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/keys"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// A statement runs for the customer that holds the session's key at that moment.
func TestStatementRunsForTheKeysCustomer(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	v := f.withCustomers("k1", acme, bolt)
	f.caller = &scriptedCaller{}
	qt.Check(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	qt.Check(t, f.customer, qt.Equals, topology.CustomerID("acme"))
	v.set(acmeNoKey, boltBoth)
	qt.Check(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	qt.Check(t, f.customer, qt.Equals, topology.CustomerID("bolt"))
	v.set(acmeNoKey, bolt)
	ran := len(f.leader.receivedTexts())
	for _, st := range []statement.Statement{write("b"), read("b"), begin, setValue, commit} {
		a := f.serveStatement(st)
		qt.Check(t, a.Code, qt.Equals, statement.NoAuth, qt.Commentf("%s", st.Text))
		qt.Check(t, a.State, qt.Equals, statement.Idle)
	}
	qt.Check(t, f.serveStatement(rollbackTx).Code, qt.Equals, statement.Malformed)
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, ran)
	v.set(acme, bolt)
	qt.Check(t, f.serveStatement(write("c")).OK(), qt.IsTrue)
}

// Without customers no key matters, and a public route needs none.
func TestKeyIsIgnoredWithoutCustomersAndOnPublicRoutes(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.caller = &scriptedCaller{}
	v := f.withCustomers("junk")
	f.cutOff(keys.Policy{Strict: true, Timeout: time.Second}, time.Hour)
	qt.Check(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	qt.Check(t, f.refuseStartup(), qt.IsFalse)
	qt.Check(t, f.server.trust.get(), qt.Equals, keys.Trust(0))
	route := v.config.Routes["db"]
	route.Public = true
	v.config.Routes["db"] = route
	v.set(acme)
	qt.Check(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	qt.Check(t, f.customer, qt.Equals, topology.CustomerID(""))
	qt.Check(t, f.refuseStartup(), qt.IsFalse)
}

// A statement that arrived while the process was frozen must wait for news, also in lax mode:
// its key may have been removed meanwhile. A host that was not frozen doesn't wait.
func TestStatementWaitsForNewsAfterFreeze(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	v := f.withCustomers("k1", acme)
	f.caller = &scriptedCaller{}
	policy := keys.Policy{Timeout: 5 * time.Second}
	f.cutOff(policy, time.Minute)
	began := time.Now()
	qt.Check(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	f.server.trust.assessedAt = steady.Now().Add(-6 * time.Second)
	var confirmed atomic.Bool
	f.server.opts.ConfirmedAt = func() time.Time {
		if confirmed.Load() {
			return steady.Now()
		}
		return steady.Now().Add(-time.Minute)
	}
	news := time.AfterFunc(50*time.Millisecond, func() {
		v.set(acmeNoKey)
		confirmed.Store(true)
	})
	defer news.Stop()
	qt.Check(t, f.serveStatement(write("b")).Code, qt.Equals, statement.NoAuth)
	qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x"})
	qt.Check(t, time.Since(began) < 5*time.Second, qt.IsTrue)
}

// endOfTransaction is the answer to a caller whose key was removed or moved during its
// transaction. A key that moved is present, so that NOAUTH would be wrong, and callers
// don't repeat an operation after it.
var endOfTransaction = map[string]statement.Code{"removed": statement.NoAuth, "moved": statement.Aborted}

// A transaction whose key was removed or moved must be rolled back at its target, and its
// commit must be refused. Until the caller ends it, it counts as failed: otherwise the
// rest of its statements would run one by one after the key is back.
func TestTransactionEndsWithItsKey(t *testing.T) {
	for name, next := range map[string][]catalog.Customer{"removed": {acmeNoKey, bolt}, "moved": {acmeNoKey, boltBoth}} {
		for _, st := range []statement.Statement{write("b"), read("b"), setValue, commit} {
			f := newFixture(t, catalog.LatestData)
			comment := qt.Commentf("%s, %s", name, st.Text)
			v := f.withCustomers("k1", acme, bolt)
			f.caller = &scriptedCaller{}
			qt.Assert(t, f.serveStatement(begin).OK(), qt.IsTrue, comment)
			qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue, comment)
			conn := f.tx.conn.Conn.(*transactionConn)
			qt.Assert(t, conn.inTransaction, qt.IsTrue, comment)
			v.set(next...)
			a := f.serveStatement(st)
			qt.Check(t, a.Code, qt.Equals, endOfTransaction[name], comment)
			qt.Check(t, conn.inTransaction, qt.IsFalse, comment)
			qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x"}, comment)
			if st.Kind == statement.Commit {
				qt.Check(t, a.State, qt.Equals, statement.Idle, comment)
				qt.Check(t, f.tx, qt.IsNil, comment)
				continue
			}
			qt.Check(t, a.State, qt.Equals, statement.Failed, comment)
			v.set(acme, bolt)
			qt.Check(t, f.serveStatement(write("c")).Code, qt.Equals, statement.Malformed, comment)
			a = f.serveStatement(rollbackTx)
			qt.Check(t, a.OK(), qt.IsTrue, comment)
			qt.Check(t, a.State, qt.Equals, statement.Idle, comment)
		}
	}
}

// A transaction that hasn't run anything yet has no connection of a customer, so that it
// must not end because its key moved.
func TestKeyMayMoveBeforeTransactionRuns(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	v := f.withCustomers("k1", acme, bolt)
	f.caller = &scriptedCaller{}
	f.serveStatement(begin)
	v.set(acmeNoKey, boltBoth)
	qt.Check(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	qt.Check(t, f.customer, qt.Equals, topology.CustomerID("bolt"))
	qt.Check(t, f.serveStatement(commit).OK(), qt.IsTrue)
}

// In strict mode nothing that needs a key may run while the configuration can't be
// confirmed, also in open transactions, and everything runs again after a newer read. In
// lax mode everything runs on.
func TestUnconfirmedConfiguration(t *testing.T) {
	for _, strict := range []bool{true, false} {
		f := newFixture(t, catalog.LatestData)
		f.withCustomers("k1", acme)
		f.caller = &scriptedCaller{}
		var lines []string
		f.server.opts.Log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
		policy := keys.Policy{Strict: strict, Timeout: 5 * time.Second}
		f.cutOff(policy, 0)
		f.serveStatement(begin)
		qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
		conn := f.tx.conn.Conn.(*transactionConn)
		f.cutOff(policy, 6*time.Second)
		a := f.serveStatement(write("b"))
		qt.Check(t, a.OK(), qt.Equals, !strict)
		qt.Check(t, conn.inTransaction, qt.Equals, !strict)
		if strict {
			qt.Check(t, a.Code, qt.Equals, statement.Busy)
			qt.Check(t, a.Detail, qt.Equals, unconfirmedDetail)
			qt.Check(t, a.State, qt.Equals, statement.Failed)
		}
		f.serveStatement(rollbackTx)
		qt.Check(t, f.serveStatement(write("c")).OK(), qt.Equals, !strict)
		f.cutOff(policy, time.Second)
		qt.Check(t, f.serveStatement(write("d")).OK(), qt.IsTrue)
		qt.Assert(t, lines, qt.HasLen, 3)
		qt.Check(t, lines[1], qt.Matches, `.*"confirmed_ms_ago"=(5999|6\d\d\d) .*`)
		qt.Check(t, lines[2], qt.Contains, `"trust"="confirmed"`)
	}
}

// The log must show which key was refused without revealing it, and must not grow with
// the number of refusals.
func TestKeyRefusalsAreLoggedSampledWithoutTheKey(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.withCustomers("secret-key", acme)
	f.caller = &scriptedCaller{}
	var lines []string
	f.log = funcr.New(func(_, args string) { lines = append(lines, args) }, funcr.Options{})
	counted := keyRefusals["unknown"].Get()
	const refusals = 200
	for range refusals {
		f.serveStatement(write("a"))
	}
	qt.Check(t, keyRefusals["unknown"].Get(), qt.Equals, counted+refusals)
	qt.Check(t, len(lines) >= 1 && len(lines) < refusals/4, qt.IsTrue, qt.Commentf("%d lines", len(lines)))
	for _, line := range lines {
		qt.Check(t, strings.Contains(line, "secret-key"), qt.IsFalse)
		qt.Check(t, line, qt.Contains, `"key_hash"="`+keys.Hash("secret-key")+`"`)
	}
}
