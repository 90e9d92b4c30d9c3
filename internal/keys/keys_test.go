package keys

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func configuration(customers ...catalog.Customer) *catalog.Configuration {
	c := &catalog.Configuration{Version: 1}
	c.SetCustomers(customers)
	return c
}

// A missing key must not identify a customer, even one with an empty key, and a public
// route must not need one.
func TestCheckFindsTheKeysCustomer(t *testing.T) {
	c := configuration(catalog.Customer{ID: "acme", Keys: []string{"", "k1", "k2"}}, catalog.Customer{ID: "bolt", Keys: []string{"k3"}})
	for _, test := range []struct {
		c        *catalog.Configuration
		public   bool
		key      string
		customer topology.CustomerID
		want     Verdict
	}{
		{c, false, "k2", "acme", Accepted},
		{c, false, "k3", "bolt", Accepted},
		{c, false, "k4", "", Unknown},
		{c, false, "", "", Unknown},
		{c, true, "k4", "", NotNeeded},
		{c, true, "k2", "", NotNeeded},
		{configuration(), false, "k4", "", NotNeeded},
		{nil, false, "k4", "", NotNeeded},
	} {
		customer, verdict := Check(test.c, test.public, test.key)
		qt.Check(t, verdict, qt.Equals, test.want, qt.Commentf("%+v", test))
		qt.Check(t, customer, qt.Equals, test.customer, qt.Commentf("%+v", test))
	}
}

// A transaction must not go on for a customer that lost its key to another one.
func TestCheckBoundFindsMovedKey(t *testing.T) {
	before := configuration(catalog.Customer{ID: "acme", Keys: []string{"k1"}}, catalog.Customer{ID: "bolt"})
	moved := configuration(catalog.Customer{ID: "acme"}, catalog.Customer{ID: "bolt", Keys: []string{"k1"}})
	qt.Check(t, CheckBound(before, false, "k1", "acme"), qt.Equals, Accepted)
	qt.Check(t, CheckBound(moved, false, "k1", "acme"), qt.Equals, Moved)
	qt.Check(t, CheckBound(moved, true, "k1", "acme"), qt.Equals, NotNeeded)
	qt.Check(t, CheckBound(moved, false, "k2", "acme"), qt.Equals, Unknown)
	// A route that was public when the transaction began has no customer.
	qt.Check(t, CheckBound(moved, false, "k1", ""), qt.Equals, Moved)
}

// In strict mode no key may be accepted once the newest read is older than the timeout.
// In lax mode keys are accepted on, but none is called unknown: it may have been added.
func TestTrustByAgeOfNewestRead(t *testing.T) {
	const timeout = 5 * time.Second
	strict, lax := Policy{Strict: true, Timeout: timeout}, Policy{Timeout: timeout}
	for _, test := range []struct {
		policy                  Policy
		age                     time.Duration
		accepted, unknown, none Outcome
	}{
		{strict, 0, Permit, Reject, Permit},
		{strict, timeout, Permit, Reject, Permit},
		{strict, timeout + 1, Unconfirmed, Unconfirmed, Permit},
		{strict, 1<<63 - 1, Unconfirmed, Unconfirmed, Permit}, // never read
		{lax, timeout, Permit, Reject, Permit},
		{lax, timeout + 1, Permit, Unconfirmed, Permit},
		{lax, 1<<63 - 1, Permit, Unconfirmed, Permit},
		{Policy{Strict: true}, time.Hour, Permit, Reject, Permit}, // no bound is set
	} {
		trust := test.policy.Assess(test.age)
		comment := qt.Commentf("%+v: %s", test, trust)
		qt.Check(t, Decide(Accepted, trust), qt.Equals, test.accepted, comment)
		qt.Check(t, Decide(Unknown, trust), qt.Equals, test.unknown, comment)
		qt.Check(t, Decide(Moved, trust), qt.Equals, test.unknown, comment)
		qt.Check(t, Decide(NotNeeded, trust), qt.Equals, test.none, comment)
	}
}

// A log line must not contain the key, and must tell two keys apart.
func TestHashHidesTheKey(t *testing.T) {
	qt.Check(t, Hash(""), qt.Equals, "")
	qt.Check(t, Hash("4f2a9c"), qt.HasLen, 2*hashBytes)
	qt.Check(t, Hash("4f2a9c"), qt.Not(qt.Equals), Hash("4f2a9d"))
}

// A request is held only after a freeze, only until news arrives, and not for longer than
// news takes. A host that is cut off must not hold requests.
func TestRequestsAwaitNewsAfterFreeze(t *testing.T) {
	const interval = 250 * time.Millisecond
	start := time.Unix(1000, 0)
	qt.Check(t, WasFrozen(time.Time{}, start, interval), qt.IsFalse)
	qt.Check(t, WasFrozen(start, start.Add(2*interval), interval), qt.IsFalse)
	qt.Check(t, WasFrozen(start, start.Add(5*interval), interval), qt.IsTrue)
	for _, trust := range []Trust{Lax, Distrusted} {
		qt.Check(t, AwaitsNews(trust, time.Time{}, start), qt.IsFalse)
		qt.Check(t, AwaitsNews(trust, start, start), qt.IsTrue)
		qt.Check(t, AwaitsNews(trust, start, start.Add(newsWait)), qt.IsFalse)
	}
	qt.Check(t, AwaitsNews(Confirmed, start, start), qt.IsFalse)
}
