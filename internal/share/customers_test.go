package share

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// randomDialer opens connections after a random time, or fails.
type randomDialer struct {
	mu            sync.Mutex
	r             *rand.Rand
	failures      float64 // fraction of the dials
	open, maxOpen int     // includes dials in progress
}

func (d *randomDialer) Dial(_ context.Context, _ topology.Target, customer topology.CustomerID) (statement.Conn, error) {
	d.mu.Lock()
	d.open++
	d.maxOpen = max(d.maxOpen, d.open)
	wait, fails := time.Duration(d.r.IntN(40))*time.Millisecond, d.r.Float64() < d.failures
	d.mu.Unlock()
	time.Sleep(wait)
	if fails {
		d.close()
		return nil, &statement.DialError{Outcome: statement.DialTimedOut, Cause: errors.New("cut")}
	}
	return &ownedConn{dialer: d, customer: customer}, nil
}

func (d *randomDialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
}

type ownedConn struct {
	statement.Conn
	dialer   *randomDialer
	customer topology.CustomerID
	once     sync.Once
}

func (c *ownedConn) Alive() bool { return true }
func (c *ownedConn) Close()      { c.once.Do(c.dialer.close) }

// Whatever requests, probes, failures and changes of the customers do, a request only
// gets a connection that was opened for its customer, and the pool never has more
// connections than its size, dials in progress included.
func TestConnectionsOnlyServeTheirCustomer(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			size := 1 + r.IntN(9)
			var ids []topology.CustomerID
			for i := range 2 + r.IntN(20) {
				ids = append(ids, topology.CustomerID(fmt.Sprintf("c%d", i)))
			}
			configure := func() *Customers {
				if r.IntN(6) == 0 {
					return nil // the customers were removed
				}
				c := &Customers{Known: map[topology.CustomerID]bool{}}
				var weights []CustomerWeight
				for _, id := range ids {
					if r.IntN(4) > 0 {
						c.Known[id] = true
						weights = append(weights, CustomerWeight{id, r.Float64()})
					}
				}
				c.Preopen = Preopen(weights, size)
				return c
			}
			dialer := &randomDialer{r: rand.New(rand.NewPCG(seed, 8)), failures: r.Float64() * 0.3}
			pool := NewPool(Options{Dialer: dialer, Size: size, OnDial: func(topology.TargetID, error) {}, Customers: configure()})
			var requests sync.WaitGroup
			for range 500 {
				time.Sleep(time.Duration(r.IntN(8)) * time.Millisecond)
				customer, hold, usable := ids[r.IntN(len(ids))], time.Duration(r.IntN(50))*time.Millisecond, r.IntN(20) > 0
				switch action := r.IntN(40); {
				case action == 0:
					pool.SetCustomers(configure())
				case action == 1:
					pool.DropIdle()
				case action < 5:
					if c := pool.TryAcquireAny(); c != nil {
						requests.Go(func() { time.Sleep(hold); pool.Release(c, usable) })
					}
				default:
					requests.Go(func() {
						c, err := pool.Acquire(customer, time.Now().Add(time.Second), 200*time.Millisecond, int(hold)%3)
						if err != nil {
							return
						}
						if got := c.Conn.(*ownedConn).customer; got != customer || c.Customer != customer {
							t.Errorf("seed %d: %s got a connection of %s", seed, customer, got)
						}
						time.Sleep(hold)
						pool.Release(c, usable)
					})
				}
			}
			requests.Wait()
			load := pool.Load()
			qt.Check(t, load.Waiting, qt.Equals, 0)
			for _, d := range pool.DumpCustomers() {
				qt.Check(t, d.InUse, qt.Equals, 0, qt.Commentf("seed %d: %+v", seed, d))
				qt.Check(t, d.Waiting, qt.Equals, 0, qt.Commentf("seed %d: %+v", seed, d))
			}
			pool.Close()
			time.Sleep(time.Second)
			synctest.Wait()
			dialer.mu.Lock()
			defer dialer.mu.Unlock()
			qt.Check(t, dialer.maxOpen <= size, qt.IsTrue, qt.Commentf("seed %d: %d connections, size %d", seed, dialer.maxOpen, size))
			qt.Check(t, dialer.open, qt.Equals, 0)
		})
	}
}

// The fewer holders that there are where connections belong to customers stay within
// the limit, with spare connections.
func TestPlanForCustomersStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit, hosts := rapid.IntRange(1, 200).Draw(t, "limit"), rapid.IntRange(1, 300).Draw(t, "hosts")
		holders, size := PlanForCustomers(limit, hosts)
		if holders < 1 || size < 1 || holders > hosts || holders*size > limit-limit/spareDivisor {
			t.Fatalf("%d holders of %d hosts with %d connections each, limit %d", holders, hosts, size, limit)
		}
	})
	for _, test := range []struct{ limit, hosts, holders, size int }{{56, 67, 6, 8}, {62, 78, 6, 9}, {16, 3, 3, 4}, {3, 10, 3, 1}} {
		holders, size := PlanForCustomers(test.limit, test.hosts)
		qt.Check(t, []int{holders, size}, qt.DeepEquals, []int{test.holders, test.size}, qt.Commentf("%+v", test))
	}
}

// The loss of a holder moves only the customers that were at home there.
func TestLostHolderMovesOnlyItsCustomers(t *testing.T) {
	holders := []topology.HostID{"a", "b", "c", "d", "e", "f"}
	atHome := map[topology.HostID]int{}
	for i := range 300 {
		customer := topology.CustomerID(fmt.Sprintf("c%d", i))
		before, after := HomesOf("g", customer, holders, 0.001), HomesOf("g", customer, holders[1:], 0.001)
		qt.Assert(t, before.Count, qt.Equals, 1)
		atHome[before.Order[0]]++
		if before.Order[0] != "a" {
			qt.Assert(t, after.Order[0], qt.Equals, before.Order[0])
			continue
		}
		qt.Assert(t, after.Order[0], qt.Equals, before.Order[1])
	}
	for _, host := range holders {
		qt.Check(t, atHome[host] > 25 && atHome[host] < 80, qt.IsTrue, qt.Commentf("%s: %d of 300", host, atHome[host]))
	}
}

// A customer's homes have the connections that its load takes.
func TestHomeCountGrowsWithShare(t *testing.T) {
	for _, test := range []struct {
		share float64
		homes int
	}{{0, 1}, {0.005, 1}, {0.08, 1}, {0.1, 2}, {0.3, 4}, {1, 6}} {
		qt.Check(t, homeCount(test.share, 6), qt.Equals, test.homes, qt.Commentf("%g", test.share))
	}
	qt.Check(t, homeCount(0.3, 0), qt.Equals, 0)
}

// Holders are spread over the failure domains and chosen more often the more capacity
// they have; a small host still holds for some groups.
func TestWeightedHolders(t *testing.T) {
	var hosts []topology.Host
	for i := range 67 {
		host := topology.Host{ID: topology.HostID(fmt.Sprintf("host-%d", i)), Domain: topology.Domain(fmt.Sprint(i % 3)), Weight: 0.192}
		if i < 6 {
			host.Weight = 0.8
		}
		hosts = append(hosts, host)
	}
	large, small := 0, 0
	for g := range 500 {
		byDomain := map[topology.Domain]int{}
		for _, holder := range WeightedHolders(topology.GroupID(fmt.Sprint(g)), 6, hosts) {
			byDomain[holder.Domain]++
			if holder.Weight > 0.5 {
				large++
			} else {
				small++
			}
		}
		qt.Assert(t, byDomain, qt.DeepEquals, map[topology.Domain]int{"0": 2, "1": 2, "2": 2})
	}
	perLarge, perSmall := float64(large)/6, float64(small)/61
	qt.Check(t, perLarge > 2.5*perSmall && perLarge < 5*perSmall, qt.IsTrue, qt.Commentf("%g, %g", perLarge, perSmall))
	qt.Check(t, WeightedHolders("g", 6, hosts[:2]), qt.HasLen, 2)
}

// Connections are opened ahead of demand for the largest customers first, and none gets
// more than its part of the pool.
func TestPreopenFollowsWeights(t *testing.T) {
	got := Preopen([]CustomerWeight{{"small", 0.01}, {"large", 0.6}, {"medium", 0.1}}, 8)
	qt.Check(t, got, qt.DeepEquals, []topology.CustomerID{"large", "large", "large", "large", "medium", "medium", "medium", "medium"})
	got = Preopen([]CustomerWeight{{"a", 0.32}, {"b", 0.2}, {"c", 0.09}}, 6)
	qt.Check(t, got, qt.DeepEquals, []topology.CustomerID{"a", "b", "a", "a", "b", "c"})
	qt.Check(t, Preopen(nil, 4), qt.HasLen, 0)
}

// A statement of an operation follows the one before within milliseconds. Two customers
// that take turns at a pool of one connection must not replace it at every statement,
// and neither must wait for long.
func TestConnectionIsNotReplacedAtEachStatement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &simTarget{slots: make(chan struct{}, simWorkSlots)}
		pool := NewPool(Options{Dialer: dialer, Size: 1, OnDial: func(topology.TargetID, error) {}, Customers: &Customers{Known: map[topology.CustomerID]bool{"a": true, "b": true}}})
		defer pool.Close()
		served := map[topology.CustomerID]int{}
		var mu sync.Mutex
		var requests sync.WaitGroup
		for _, customer := range []topology.CustomerID{"a", "b"} {
			requests.Go(func() {
				for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
					if c, err := pool.Acquire(customer, time.Now().Add(3*time.Second), 3*time.Second, 1); err == nil {
						time.Sleep(10 * time.Millisecond)
						pool.Release(c, true)
						mu.Lock()
						served[customer]++
						mu.Unlock()
					}
				}
			})
		}
		requests.Wait()
		t.Logf("served %v with %d dials", served, dialer.dials)
		qt.Check(t, float64(dialer.dials) <= 10*dialRate(1)+minDialBurst, qt.IsTrue)
		qt.Check(t, dialer.dials*5 <= served["a"]+served["b"], qt.IsTrue, qt.Commentf("at most one dial for five statements"))
		qt.Check(t, served["a"] > 100 && served["b"] > 100, qt.IsTrue)
	})
}

// Whatever a customer sends, another one gets a connection of a pool whose connections are
// all in use: one that becomes free is replaced although its own customer waits for it.
func TestBusyPoolServesOtherCustomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &simTarget{slots: make(chan struct{}, simWorkSlots)}
		pool := NewPool(Options{Dialer: dialer, Size: 2, OnDial: func(topology.TargetID, error) {}, Customers: &Customers{
			Known: map[topology.CustomerID]bool{"a": true, "b": true}, Preopen: []topology.CustomerID{"a", "a"},
		}})
		defer pool.Close()
		time.Sleep(time.Second)
		var requests sync.WaitGroup
		end := time.Now().Add(3 * time.Second)
		for range 10 {
			requests.Go(func() {
				for time.Now().Before(end) {
					if c, err := pool.Acquire("a", end, time.Minute, 1); err == nil {
						time.Sleep(10 * time.Millisecond)
						pool.Release(c, true)
					} else {
						time.Sleep(time.Millisecond)
					}
				}
			})
		}
		time.Sleep(time.Second)
		c, err := pool.Acquire("b", end, 200*time.Millisecond, 1)
		qt.Assert(t, err, qt.IsNil)
		pool.Release(c, true)
		requests.Wait()
	})
}

// A transaction whose caller rests holds its connection, but nothing is in flight: it must
// not use up the limit on statements in flight.
func TestRestingTransactionIsNotInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &simTarget{slots: make(chan struct{}, simWorkSlots)}
		pool := NewPool(Options{Dialer: dialer, Size: 4, OnDial: func(topology.TargetID, error) {}, Customers: &Customers{
			Known: map[topology.CustomerID]bool{"a": true, "b": true}, Preopen: []topology.CustomerID{"a", "b"},
		}})
		defer pool.Close()
		time.Sleep(time.Second)
		pool.mu.Lock()
		pool.concurrency = concurrencyLimit{value: 1, windowStart: time.Now(), baselineStart: time.Now()}
		pool.mu.Unlock()
		a := pool.TryAcquire("a")
		qt.Check(t, pool.TryAcquire("b"), qt.IsNil)
		_, err := a.Exchange(time.Time{}, statement.Statement{Kind: statement.Read, Text: "5ms", Name: "more"})
		qt.Assert(t, err, qt.IsNil)
		b := pool.TryAcquire("b")
		qt.Assert(t, b, qt.IsNotNil)
		pool.Release(b, true)
		pool.Release(a, true)
		pool.mu.Lock()
		defer pool.mu.Unlock()
		qt.Check(t, pool.active, qt.Equals, 0)
	})
}

// Connections of a customer that was removed are closed once they are idle.
func TestConnectionsOfRemovedCustomerAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &simTarget{slots: make(chan struct{}, simWorkSlots)}
		both := &Customers{Known: map[topology.CustomerID]bool{"a": true, "b": true}, Preopen: []topology.CustomerID{"a", "b", "a", "b"}}
		pool := NewPool(Options{Dialer: dialer, Size: 4, OnDial: func(topology.TargetID, error) {}, Customers: both})
		defer pool.Close()
		time.Sleep(time.Second)
		held := pool.TryAcquire("b")
		pool.SetCustomers(&Customers{Known: map[topology.CustomerID]bool{"a": true}})
		qt.Check(t, dialer.openNow(), qt.Equals, 3)
		pool.Release(held, true)
		qt.Check(t, dialer.openNow(), qt.Equals, 2)
		qt.Check(t, pool.TryAcquire("b"), qt.IsNil)
		qt.Check(t, pool.TryAcquire("a"), qt.IsNotNil)
	})
}

// A request of a customer that was in flight when the customers were removed must not make
// the connections belong to customers for good: the pool would keep those of the customer
// and open none ahead of demand.
func TestPoolForgetsRemovedCustomersAfterLateRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialer := &simTarget{slots: make(chan struct{}, simWorkSlots)}
		customers := &Customers{Known: map[topology.CustomerID]bool{"a": true}, Preopen: []topology.CustomerID{"a", "a"}}
		pool := NewPool(Options{Dialer: dialer, Size: 2, OnDial: func(topology.TargetID, error) {}, Customers: customers})
		defer pool.Close()
		time.Sleep(time.Second)
		pool.SetCustomers(nil)
		late, err := pool.Acquire("a", time.Now().Add(time.Second), time.Second, 1)
		qt.Assert(t, err, qt.IsNil)
		pool.Release(late, true)
		qt.Check(t, pool.LoadFor("a").ByCustomer, qt.IsTrue)
		pool.SetCustomers(nil)
		time.Sleep(time.Second)
		qt.Check(t, pool.LoadFor("a").ByCustomer, qt.IsFalse)
		qt.Check(t, pool.TryAcquire("a"), qt.IsNil)
		qt.Check(t, pool.Load().Idle, qt.Equals, 2)
		qt.Check(t, pool.TryAcquire(""), qt.IsNotNil)
	})
}

// While a target refuses connections, a pool doesn't dial it more often for the
// requests that wait.
func TestFailedDialsAreFarApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int64
		dialer := dialerFunc(func(topology.CustomerID) (statement.Conn, error) {
			dials.Add(1)
			return nil, &statement.DialError{Outcome: statement.DialRejected, Cause: errors.New("too many connections")}
		})
		pool := NewPool(Options{Dialer: dialer, Size: 8, OnDial: func(topology.TargetID, error) {}, Customers: &Customers{Preopen: []topology.CustomerID{"a"}}})
		defer pool.Close()
		for range 1000 {
			_, _ = pool.Acquire("b", time.Now().Add(time.Second), 10*time.Millisecond, 1)
			time.Sleep(10 * time.Millisecond)
		}
		qt.Check(t, dials.Load() < 20, qt.IsTrue, qt.Commentf("%d dials in 10 s", dials.Load()))
	})
}

type dialerFunc func(topology.CustomerID) (statement.Conn, error)

func (f dialerFunc) Dial(_ context.Context, _ topology.Target, c topology.CustomerID) (statement.Conn, error) {
	return f(c)
}
