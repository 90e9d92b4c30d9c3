package share

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

var start = time.Unix(1000, 0)

func atMS(n int) time.Time { return start.Add(time.Duration(n) * time.Millisecond) }

// newView returns a view in which each of the customers has one idle connection.
func newView(customers ...topology.CustomerID) *poolView {
	v := &poolView{size: 8, limit: 8, use: map[topology.CustomerID]*customerUse{}, hold: 10 * time.Millisecond, dialTime: 15 * time.Millisecond}
	for _, c := range customers {
		v.addIdle(c, 0)
	}
	return v
}

func (v *poolView) useOf(customer topology.CustomerID) *customerUse {
	if v.use[customer] == nil {
		v.use[customer] = &customerUse{ratedAt: start}
	}
	return v.use[customer]
}

func (v *poolView) addIdle(customer topology.CustomerID, lastUsedMS int) {
	v.useOf(customer).open++
	v.open++
	v.idle = append(v.idle, idleConn{customer, atMS(lastUsedMS)})
}

func (v *poolView) addWaiter(customer topology.CustomerID, priority, sinceMS, deadlineMS int) {
	v.useOf(customer).waiting++
	v.queue = append(v.queue, waitingRequest{customer, priority, atMS(sinceMS), atMS(deadlineMS)})
}

// serveAll returns the order in which the waiting requests are served, by customer and
// time of arrival.
func (v *poolView) serveAll() []string {
	var order []string
	for grants := uint64(0); ; grants++ {
		i := v.nextWaiter(grants)
		if i < 0 {
			return order
		}
		w := v.queue[i]
		v.queue = append(v.queue[:i:i], v.queue[i+1:]...)
		v.use[w.customer].lastGrant = grants + 1
		order = append(order, fmt.Sprintf("%s%d", w.customer, w.since.Sub(start).Milliseconds()))
	}
}

// A customer with many waiting requests must not delay those of others that came later.
func TestCustomersTakeTurns(t *testing.T) {
	v := newView("a", "b", "c")
	for i := range 4 {
		v.addWaiter("a", 1, i, 100+i)
	}
	v.addWaiter("b", 1, 10, 200)
	v.addWaiter("b", 1, 11, 201)
	v.addWaiter("c", 1, 12, 300)
	qt.Check(t, v.serveAll(), qt.DeepEquals, []string{"a0", "b10", "c12", "a1", "b11", "a2", "a3"})
}

// More urgent requests are served first, and of one customer's those first whose callers
// give up first.
func TestUrgentThenEarliestDeadline(t *testing.T) {
	v := newView("a", "b")
	v.addWaiter("a", 2, 0, 50)
	v.addWaiter("a", 1, 1, 900)
	v.addWaiter("a", 1, 2, 300)
	v.addWaiter("b", 0, 3, 4000)
	qt.Check(t, v.serveAll(), qt.DeepEquals, []string{"b3", "a2", "a1", "a0"})
}

// Less urgent requests get a small share although more urgent ones always wait.
func TestLessUrgentRequestsAreNotStarved(t *testing.T) {
	v := newView("a", "b")
	v.addWaiter("b", 2, 0, 10000)
	for i := range 100 {
		v.addWaiter("a", 0, 1+i, 10000)
	}
	order := v.serveAll()
	qt.Check(t, order[lessUrgentEvery-1], qt.Equals, "b0")
}

// A request without an idle connection of its customer isn't served on another one.
func TestWaiterNeedsConnectionOfItsCustomer(t *testing.T) {
	v := newView("a")
	v.addWaiter("b", 0, 0, 100)
	qt.Check(t, v.nextWaiter(0), qt.Equals, -1)
	v.addWaiter("a", 2, 0, 100)
	qt.Check(t, v.nextWaiter(0), qt.Equals, 1)
}

// The expected wait counts only the requests that are really served before: a flood of
// another customer's must not make a pool refuse a request that gets its turn at once.
func TestExpectedWaitCountsTurns(t *testing.T) {
	v := newView("a", "b")
	v.limit, v.active = 2, 2
	for i := range 40 {
		v.addWaiter("a", 1, i, 1000)
	}
	qt.Check(t, v.aheadOf("b", 1), qt.Equals, 1)
	qt.Check(t, v.aheadOf("a", 1), qt.Equals, 40)
	qt.Check(t, v.aheadOf("b", 0), qt.Equals, 0)
	qt.Check(t, v.aheadOf("b", 2), qt.Equals, 40)
	qt.Check(t, v.expectedCustomerWait("b", 1, 1, 0, start), qt.Equals, 10*time.Millisecond)
	qt.Check(t, v.expectedCustomerWait("a", 1, 1, 0, start), qt.Equals, 205*time.Millisecond)
	v.active = 1
	qt.Check(t, v.expectedCustomerWait("b", 1, 1, 0, start), qt.Equals, time.Duration(0))
}

// A customer's less urgent requests, which are served after it, must not make a pool refuse
// its urgent one.
func TestExpectedWaitIgnoresOwnLessUrgentRequests(t *testing.T) {
	v := newView("a")
	v.idle = nil
	v.use["a"].inUse = 1
	for i := range 40 {
		v.addWaiter("a", 2, i, 1000)
	}
	urgent := v.expectedCustomerWait("a", 0, 1, 0, start)
	qt.Check(t, urgent <= 2*v.hold, qt.IsTrue, qt.Commentf("%s", urgent))
	qt.Check(t, v.expectedCustomerWait("a", 2, 1, 0, start) >= 40*v.hold, qt.IsTrue)
}

// The expected wait of a customer without a connection includes the dial, and the dials
// for others that come first.
func TestExpectedWaitIncludesDial(t *testing.T) {
	v := newView("a")
	qt.Check(t, v.expectedCustomerWait("new", 1, 1, 0, start), qt.Equals, 15*time.Millisecond)
	qt.Check(t, v.expectedCustomerWait("new", 1, 1, 50*time.Millisecond, start), qt.Equals, 65*time.Millisecond)
	qt.Check(t, v.expectedCustomerWait("new", 1, 1, 0, start), qt.Equals, 15*time.Millisecond)
	v.addWaiter("x", 1, 0, 1000)
	v.addWaiter("y", 1, 0, 1000)
	qt.Check(t, v.expectedCustomerWait("new", 1, 1, 0, start), qt.Equals, 30*time.Millisecond)

	qt.Check(t, v.expectedCustomerWait("new", 1, 1, 50*time.Millisecond, start), qt.Equals, 330*time.Millisecond) // 8 dials a second

	full := newView()
	full.size = 1
	full.addIdle("steady", 0)
	qt.Check(t, full.expectedCustomerWait("new", 1, 1, 0, atMS(10)), qt.Equals, 15*time.Millisecond+replaceAnywayAfter)
	qt.Check(t, full.expectedCustomerWait("new", 1, 1, 0, start.Add(minReplaceIdle)), qt.Equals, 15*time.Millisecond)
}

// The connection of the customer that needs it least is replaced, and none that was used
// a moment ago unless a request has waited for long.
func TestReplacedConnection(t *testing.T) {
	v := newView()
	v.size = 3
	v.addIdle("steady", 0)
	v.addIdle("rare", 10)
	v.addIdle("rare", 0)
	for i := range 50 {
		v.useOf("steady").recordDemand(atMS(20 * i))
	}
	v.useOf("rare").recordDemand(atMS(10))
	v.addWaiter("new", 1, 1000, 2000)
	action, ok := nextDial(v, atMS(1000))
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, action, qt.Equals, dialAction{customer: "new", replace: 2, replaces: true})

	v = newView()
	v.size = 1
	v.addIdle("steady", 990)
	v.addWaiter("new", 1, 1000, 2000)
	_, ok = nextDial(v, atMS(1000))
	qt.Check(t, ok, qt.IsFalse)
	action, ok = nextDial(v, atMS(1000).Add(replaceAnywayAfter))
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, action.replace, qt.Equals, 0)
}

// Under the limit on statements in flight, requests wait although their customers have idle
// connections. A customer with several then gives one up for a customer without any.
func TestWaitingCustomersGiveUpSecondConnection(t *testing.T) {
	v := newView("b", "a", "a")
	v.size, v.limit, v.active = 3, 1, 1
	v.addWaiter("a", 1, 500, 2000)
	v.addWaiter("b", 1, 500, 2000)
	v.addWaiter("new", 1, 1000, 2000)
	_, ok := nextDial(v, atMS(1000))
	qt.Check(t, ok, qt.IsFalse)
	action, ok := nextDial(v, atMS(1000).Add(replaceAnywayAfter))
	qt.Check(t, ok, qt.IsTrue)
	qt.Check(t, action, qt.Equals, dialAction{customer: "new", replace: 1, replaces: true})
}

// Dials in progress are bounded: opening connections takes work slots away from
// statements.
func TestDialsInProgressAreBounded(t *testing.T) {
	v := newView()
	v.addWaiter("a", 1, 0, 1000)
	v.dialing = maxConcurrentDials
	_, ok := nextDial(v, start)
	qt.Check(t, ok, qt.IsFalse)
	v.dialing--
	_, ok = nextDial(v, start)
	qt.Check(t, ok, qt.IsTrue)
}

// One customer gets at most half of a pool while others have demand, and another
// connection only if its own are all held by transactions or too slow.
func TestCustomerGetsPartOfPool(t *testing.T) {
	v := newView()
	a := v.useOf("a")
	a.open, a.inUse, a.inTx, v.open = 4, 4, 4, 4
	v.addWaiter("a", 1, 0, 1000)
	_, ok := nextDial(v, start)
	qt.Check(t, ok, qt.IsTrue) // nobody else wants one
	v.useOf("b").recordDemand(start)
	_, ok = nextDial(v, start)
	qt.Check(t, ok, qt.IsFalse)
	a.open, a.inUse, a.inTx, v.open = 3, 3, 3, 3
	_, ok = nextDial(v, start)
	qt.Check(t, ok, qt.IsTrue)
	a.inTx = 0
	_, ok = nextDial(v, start)
	qt.Check(t, ok, qt.IsFalse) // one of three becomes free sooner than a dial takes
}
