package relay

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

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
	var sent bytes.Buffer
	qt.Assert(t, gob.NewEncoder(&sent).Encode(struct{ Database, Key, Customer string }{"db", "k1", "bolt"}), qt.IsNil)
	var received RunArgs
	qt.Assert(t, gob.NewDecoder(&sent).Decode(&received), qt.IsNil)
	s := f.server.newSession(nil)
	s.applyForwarded(&received)
	qt.Check(t, s.authenticate(), qt.IsNil)
	qt.Check(t, s.customer, qt.Equals, topology.CustomerID("acme"))
}

// A host of the previous version sends no key. Its caller may have a valid one, so that
// NOAUTH could be wrong, but nothing may run.
func TestForwardedStatementWithoutKeyIsRefusedAsBusy(t *testing.T) {
	f := newFixture(t, catalog.LatestData)
	v := f.withCustomers("", acme)
	args := &RunArgs{Database: "db", Statement: write("a"), Writes: true, Within: time.Second}
	qt.Check(t, f.runForwarded(args).Code, qt.Equals, statement.Busy)
	args.Transaction = Transaction{Key: "b/1", First: true}
	qt.Check(t, f.runForwarded(args).Code, qt.Equals, statement.Busy)
	qt.Check(t, f.server.forwardedTxs.count(), qt.Equals, 0)
	qt.Check(t, f.leader.receivedTexts(), qt.HasLen, 0)
	v.set()
	qt.Check(t, f.runForwarded(args).OK(), qt.IsTrue)
}
