package relay

import (
	"context"
	"strings"
	"sync"
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

// versions holds the configuration in force and notifies of changes, like catalog.Store.
type versions struct {
	mu      sync.Mutex
	config  *catalog.Configuration
	changed chan struct{}
}

func (v *versions) Configuration() *catalog.Configuration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.config
}

func (v *versions) notify() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// set puts a new version with these customers into force.
func (v *versions) set(customers ...catalog.Customer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.config
	next.Version++
	next.Customers, next.KeyOwners = nil, nil
	next.SetCustomers(customers)
	v.config = &next
	close(v.changed)
	v.changed = make(chan struct{})
}

var (
	acme       = catalog.Customer{ID: "acme", Keys: []string{"k1"}}
	bolt       = catalog.Customer{ID: "bolt", Keys: []string{"k2"}}
	acmeNoKey  = catalog.Customer{ID: "acme"}
	boltBoth   = catalog.Customer{ID: "bolt", Keys: []string{"k1", "k2"}}
	rollbackTx = statement.Statement{Kind: statement.Rollback, Text: "ROLLBACK"}
	setValue   = statement.Statement{Kind: statement.Set, Name: "tz", Value: "utc", Text: "SET tz utc"}
)

// withCustomers puts customers into the fixture's configuration and gives its session the
// key.
func (f *fixture) withCustomers(key string, customers ...catalog.Customer) *versions {
	v := &versions{config: f.config, changed: make(chan struct{})}
	v.set(customers...)
	f.server.opts.Catalog = v
	f.key = key
	f.credentials.Store(&credentials{database: f.database, key: key})
	return v
}

// cutOff makes the server believe that the newest confirmation is that old.
func (f *fixture) cutOff(policy keys.Policy, age time.Duration) {
	f.server.opts.Revocation = policy
	f.server.opts.ConfirmedAt = func() time.Time { return steady.Now().Add(-age) }
}

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

// refusingCaller records the refusal of its startup.
type refusingCaller struct {
	scriptedCaller
	startup Startup
	ready   bool
	refused []statement.Code
}

func (c *refusingCaller) ReadStartup() (Startup, error) { return c.startup, nil }
func (c *refusingCaller) Ready() error                  { c.ready = true; return nil }
func (c *refusingCaller) Refuse(code statement.Code, _ string) error {
	c.refused = append(c.refused, code)
	return nil
}

// A caller with an unknown key must not get a session. While the configuration can't be
// confirmed, its key may have been added, so that NOAUTH could be wrong.
func TestUnknownKeyIsRefusedAtStartup(t *testing.T) {
	for _, test := range []struct {
		key    string
		policy keys.Policy
		age    time.Duration
		want   []statement.Code
	}{
		{"k1", keys.Policy{Timeout: time.Second}, 0, nil},
		{"k9", keys.Policy{Timeout: time.Second}, 0, []statement.Code{statement.NoAuth}},
		{"", keys.Policy{Timeout: time.Second}, 0, []statement.Code{statement.NoAuth}},
		{"k9", keys.Policy{Timeout: time.Second}, time.Minute, []statement.Code{statement.Busy}},
		{"k1", keys.Policy{Timeout: time.Second}, time.Minute, nil},
		{"k1", keys.Policy{Strict: true, Timeout: time.Second}, time.Minute, []statement.Code{statement.Busy}},
	} {
		f := newFixture(t, catalog.LatestData)
		f.withCustomers("", acme)
		f.cutOff(test.policy, test.age)
		c := &refusingCaller{startup: Startup{Database: "db", Key: test.key}}
		s := f.server.newSession(c)
		qt.Check(t, s.start(), qt.Equals, test.want == nil, qt.Commentf("%+v", test))
		qt.Check(t, c.refused, qt.DeepEquals, test.want, qt.Commentf("%+v", test))
		qt.Check(t, c.ready, qt.Equals, test.want == nil)
	}
}

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
			qt.Check(t, a.Code, qt.Equals, statement.NoAuth, comment)
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

// A host that runs statements for another one must check the key itself: its configuration
// may be newer than the sender's.
func TestForwardedStatementIsCheckedAgain(t *testing.T) {
	local, remote, _ := newHostPair(t)
	local.withCustomers("k1", acme, bolt)
	local.caller = &scriptedCaller{}
	v := remote.withCustomers("", acme, bolt)
	qt.Assert(t, local.serveStatement(write("a")).OK(), qt.IsTrue)
	v.set(acmeNoKey, bolt)
	a := local.serveStatement(write("b"))
	qt.Check(t, a.Code, qt.Equals, statement.NoAuth)
	qt.Check(t, a.State, qt.Equals, statement.Idle)
	local.serveStatement(begin)
	a = local.serveStatement(write("c"))
	qt.Check(t, a.Code, qt.Equals, statement.NoAuth)
	qt.Check(t, a.State, qt.Equals, statement.Failed)
	qt.Check(t, local.serveStatement(rollbackTx).State, qt.Equals, statement.Idle)
	qt.Check(t, remote.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x"})
	qt.Check(t, remote.server.forwardedTxs.count(), qt.Equals, 0)
}

// A forwarded statement runs for the customer that holds the key at the receiving host,
// whichever the sender names.
func TestForwardedCustomerIsNotBelieved(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	f.withCustomers("", acme, bolt)
	s := f.server.newSession(nil)
	s.applyForwarded(&RunArgs{Database: "db", Key: "k1", Customer: "bolt"})
	qt.Check(t, s.authenticate(), qt.IsNil)
	qt.Check(t, s.customer, qt.Equals, topology.CustomerID("acme"))
}

// A host of the previous version sends no key. Its caller may have a valid one, so that
// NOAUTH could be wrong, but nothing may run.
func TestForwardedStatementWithoutKeyIsRefusedAsBusy(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	v := f.withCustomers("", acme)
	args := &RunArgs{Database: "db", Statement: write("a"), Writes: true, Within: time.Second}
	qt.Check(t, f.server.runForwarded(args).Code, qt.Equals, statement.Busy)
	args.Transaction = Transaction{Key: "b/1", First: true}
	qt.Check(t, f.server.runForwarded(args).Code, qt.Equals, statement.Busy)
	qt.Check(t, f.server.forwardedTxs.count(), qt.Equals, 0)
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
	v.set()
	qt.Check(t, f.server.runForwarded(args).OK(), qt.IsTrue)
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); !ok(); {
		qt.Assert(t, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", what))
		<-time.After(time.Millisecond)
	}
}

// watchKeys runs WatchKeys until the test ends.
func watchKeys(t *testing.T, f *fixture, v *versions) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.server.WatchKeys(ctx, v.notify)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// A transaction that runs for another host's session must not hold its connection after
// its key was removed, although no statement arrives. The next statement is told why.
func TestTransactionOfAnotherHostEndsWithItsKey(t *testing.T) {
	for name, next := range map[string][]catalog.Customer{"removed": {acmeNoKey, bolt}, "moved": {acmeNoKey, boltBoth}} {
		f := newFixture(t, catalog.LatestData)
		v := f.withCustomers("", acme, bolt)
		f.config.TransactionIdle = time.Minute
		watchKeys(t, f, v)
		for _, key := range []string{"k1", "k2"} {
			args := &RunArgs{Database: "db", Key: key, Statement: write("a"), Writes: true, Within: time.Second, Transaction: Transaction{Key: key, First: true}}
			qt.Assert(t, f.server.runForwarded(args).OK(), qt.IsTrue)
		}
		v.set(next...)
		eventually(t, name, func() bool { return f.server.forwardedTxs.count() == 1 })
		args := &RunArgs{Database: "db", Key: "k1", Statement: commit, Within: time.Second, Transaction: Transaction{Key: "k1"}}
		a := f.server.runForwarded(args)
		if name == "removed" {
			qt.Check(t, a.Code, qt.Equals, statement.NoAuth)
		} else {
			qt.Check(t, a.Code, qt.Equals, statement.Aborted)
		}
		qt.Check(t, a.State, qt.Equals, statement.Failed)
		args = &RunArgs{Database: "db", Key: "k2", Statement: commit, Within: time.Second, Transaction: Transaction{Key: "k2"}}
		qt.Check(t, f.server.runForwarded(args).OK(), qt.IsTrue, qt.Commentf("the other customer's transaction"))
	}
}

// A transaction whose first statement hasn't run yet has no customer. A new version must not
// end it as if its key had moved.
func TestTransactionOfAnotherHostMayBeginDuringChange(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	v := f.withCustomers("", acme, bolt)
	args := &RunArgs{Database: "db", Key: "k1", Statement: write("a"), Writes: true, Within: time.Second, Transaction: Transaction{Key: "k1", First: true}}
	entry := f.server.forwardedTxs.findOrCreate(args)
	v.set(acmeNoKey, boltBoth)
	f.server.forwardedTxs.endUnlessPermitted("k1", entry)
	qt.Check(t, f.server.forwardedTxs.count(), qt.Equals, 1)
	f.server.forwardedTxs.expire("k1", entry)
}

// waitingCaller sends statements from a channel and can be interrupted.
type waitingCaller struct {
	scriptedCaller
	startup     Startup
	mu          sync.Mutex
	interrupted chan struct{}
	statements  chan statement.Statement
	answered    chan statement.Answer
	closed      bool
}

func newWaitingCaller(key string) *waitingCaller {
	return &waitingCaller{startup: Startup{Database: "db", Key: key}, interrupted: make(chan struct{}, 1),
		statements: make(chan statement.Statement), answered: make(chan statement.Answer, 1)}
}

func (c *waitingCaller) ReadStartup() (Startup, error) { return c.startup, nil }
func (c *waitingCaller) Interrupt() {
	select {
	case c.interrupted <- struct{}{}:
	default:
	}
}

func (c *waitingCaller) ClearInterrupt() {
	select {
	case <-c.interrupted:
	default:
	}
}

func (c *waitingCaller) Next(deadline time.Time) (statement.Statement, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return statement.Statement{}, ErrSessionEnded
	}
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		timeout = time.After(time.Until(deadline))
	}
	select {
	case st := <-c.statements:
		return st, nil
	case <-c.interrupted:
	case <-timeout:
	}
	return statement.Statement{}, ErrNoMessage
}

func (c *waitingCaller) Answer(a *statement.Answer) error {
	c.answered <- *a
	return nil
}

func (c *waitingCaller) CloseWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}

// exec returns the answer to a statement, or an unrecognized one if there is none in time.
func (c *waitingCaller) exec(st statement.Statement) statement.Answer {
	st.ID = "q"
	timeout := time.After(5 * time.Second)
	select {
	case c.statements <- st:
	case <-timeout:
		return statement.Answer{Code: statement.Unrecognized}
	}
	select {
	case a := <-c.answered:
		return a
	case <-timeout:
		return statement.Answer{Code: statement.Unrecognized}
	}
}

// serveCaller runs a session of the caller and returns a channel that is closed at its end.
func (f *fixture) serveCaller(c Caller) <-chan struct{} {
	s := f.server.newSession(c)
	f.server.mu.Lock()
	f.server.sessions[s] = true
	f.server.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.run(context.Background())
	}()
	return done
}

func isOpen(done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// An idle session whose key was removed must not hold memory and a descriptor. Other
// sessions stay open, also if their key moved.
func TestIdleSessionIsClosedWithItsKey(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	v := f.withCustomers("", acme, bolt, catalog.Customer{ID: "corn", Keys: []string{"k3"}})
	watchKeys(t, f, v)
	callers, ended := map[string]*waitingCaller{}, map[string]<-chan struct{}{}
	for _, key := range []string{"k1", "k2", "k3"} {
		callers[key] = newWaitingCaller(key)
		ended[key] = f.serveCaller(callers[key])
		qt.Assert(t, callers[key].exec(write("a")).OK(), qt.IsTrue)
	}
	closed := sessionsClosed[closedKeyRemoved].Get()
	v.set(acmeNoKey, bolt, catalog.Customer{ID: "dune", Keys: []string{"k3"}})
	eventually(t, "session without a key is closed", func() bool { return !isOpen(ended["k1"]) })
	qt.Check(t, sessionsClosed[closedKeyRemoved].Get(), qt.Equals, closed+1)
	for _, key := range []string{"k2", "k3"} {
		qt.Check(t, isOpen(ended[key]), qt.IsTrue)
		qt.Check(t, callers[key].exec(write("b")).OK(), qt.IsTrue)
	}
}

// An idle transaction whose key was removed or moved must not keep its connection and its
// locks until the caller's next statement. That statement is told why, and an idle session
// doesn't stay open for longer than a transaction may.
func TestIdleTransactionIsRolledBackWithItsKey(t *testing.T) {
	for name, next := range map[string][]catalog.Customer{"removed": {acmeNoKey, bolt}, "moved": {acmeNoKey, boltBoth}} {
		f := newFixture(t, catalog.LatestData)
		f.config.TransactionIdle = 300 * time.Millisecond
		v := f.withCustomers("", acme, bolt)
		watchKeys(t, f, v)
		c := newWaitingCaller("k1")
		ended := f.serveCaller(c)
		qt.Assert(t, c.exec(begin).OK(), qt.IsTrue)
		qt.Assert(t, c.exec(write("a")).OK(), qt.IsTrue)
		aborted := transactionsEndedByKey.Get()
		v.set(next...)
		eventually(t, name, func() bool { return transactionsEndedByKey.Get() == aborted+1 })
		a := c.exec(write("b"))
		qt.Check(t, a.Code, qt.Equals, statement.NoAuth, qt.Commentf("%s", name))
		qt.Check(t, a.State, qt.Equals, statement.Failed)
		qt.Check(t, f.leader.receivedTexts(), qt.DeepEquals, []string{"q WRITE a x"})
		if name == "moved" {
			qt.Check(t, c.exec(rollbackTx).OK(), qt.IsTrue)
			qt.Check(t, c.exec(write("c")).OK(), qt.IsTrue)
			c.CloseWrite()
			c.Interrupt()
		}
		eventually(t, "session ends", func() bool { return !isOpen(ended) })
	}
}
