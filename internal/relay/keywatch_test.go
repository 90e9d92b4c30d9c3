package relay

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
)

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
			qt.Assert(t, f.runForwarded(args).OK(), qt.IsTrue)
		}
		v.set(next...)
		eventually(t, name, func() bool { return f.server.forwardedTxs.count() == 1 })
		args := &RunArgs{Database: "db", Key: "k1", Statement: commit, Within: time.Second, Transaction: Transaction{Key: "k1"}}
		a := f.runForwarded(args)
		qt.Check(t, a.Code, qt.Equals, endOfTransaction[name])
		qt.Check(t, a.State, qt.Equals, statement.Failed)
		args = &RunArgs{Database: "db", Key: "k2", Statement: commit, Within: time.Second, Transaction: Transaction{Key: "k2"}}
		qt.Check(t, f.runForwarded(args).OK(), qt.IsTrue, qt.Commentf("the other customer's transaction"))
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
		qt.Check(t, a.Code, qt.Equals, endOfTransaction[name], qt.Commentf("%s", name))
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
