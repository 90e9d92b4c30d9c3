package share

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// A target at its limit must not be dialled more often than needed: by a host without a
// connection often enough to find soon that there is room, by one that has a connection
// only about as often as connections of lost hosts end. On a day with 139 hosts a target
// refused 13,044 connections.
func TestPoolDialsFullTargetRarely(t *testing.T) {
	const minute = time.Minute
	customers := &Customers{Known: map[topology.CustomerID]bool{"a": true}, Preopen: []topology.CustomerID{"a", "a"}}
	for _, test := range []struct {
		limit, maxRefused int
		customers         *Customers
	}{{0, 95, nil}, {1, 26, nil}, {0, 95, customers}, {1, 26, customers}} {
		synctest.Test(t, func(t *testing.T) {
			d := &fakeDialer{limit: test.limit}
			refused := 0
			p := NewPool(Options{Dialer: d, Size: 2, Customers: test.customers, OnDial: func(_ topology.TargetID, err error) {
				var dialErr *statement.DialError
				if errors.As(err, &dialErr) {
					refused++
				}
			}})
			time.Sleep(minute)
			synctest.Wait()
			qt.Check(t, refused <= test.maxRefused, qt.IsTrue, qt.Commentf("%d dials refused with %d connections open, by customer: %t", refused, test.limit, test.customers != nil))
			d.mu.Lock()
			d.limit = 2
			d.mu.Unlock()
			time.Sleep(maxSurplusBackoff * 5 / 4)
			synctest.Wait()
			qt.Check(t, p.Load().Open, qt.Equals, 2)
			p.Close()
			synctest.Wait()
		})
	}
}

// Hosts that a target at its limit refuses together must not dial together again, whether
// connections belong to customers or not; each round of them would use up the room that
// is left at once and be refused once more.
func TestRefusedPoolsDialApart(t *testing.T) {
	const pools = 20
	for _, customers := range []*Customers{nil, {Preopen: []topology.CustomerID{"a"}}} {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			at := map[time.Time]int{}
			start := time.Now()
			for range pools {
				p := NewPool(Options{Dialer: &fakeDialer{}, Size: 1, Customers: customers, OnDial: func(topology.TargetID, error) {
					mu.Lock()
					defer mu.Unlock()
					at[time.Now()]++
				}})
				defer p.Close()
			}
			time.Sleep(10 * time.Second)
			synctest.Wait()
			mu.Lock()
			defer mu.Unlock()
			together := 0
			for when, dials := range at {
				if when.After(start) {
					together = max(together, dials)
				}
			}
			qt.Check(t, together > 0 && together <= pools/4, qt.IsTrue, qt.Commentf("%d of %d pools dialled together, by customer: %t", together, pools, customers != nil))
		})
	}
}

// A customer without a connection must get one by replacement if the target is at its limit
// and the pool's own connections are idle. Guards against this failure: a pool below its size
// only dialled for a further connection, which the target refused for as long as the others
// kept theirs, and the customer was served nothing for 30 s.
func TestCustomerIsServedWhileTargetIsFull(t *testing.T) {
	const size = 8
	synctest.Test(t, func(t *testing.T) {
		d := &fakeDialer{limit: size - 1}
		var preopen []topology.CustomerID
		for range size {
			preopen = append(preopen, "a")
		}
		var refused atomic.Int64 // two dials may be in progress
		p := NewPool(Options{Dialer: d, Size: size, Customers: &Customers{Preopen: preopen, Known: map[topology.CustomerID]bool{"a": true, "b": true, "c": true}}, OnDial: func(_ topology.TargetID, err error) {
			if err != nil {
				refused.Add(1)
			}
		}})
		defer p.Close()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		qt.Assert(t, p.Load().Open, qt.Equals, size-1)
		for _, customer := range []topology.CustomerID{"b", "c"} {
			start := time.Now()
			conn, err := p.Acquire(customer, start.Add(10*time.Second), 10*time.Second, 1)
			qt.Assert(t, err, qt.IsNil, qt.Commentf("%s after %v", customer, time.Since(start)))
			qt.Check(t, time.Since(start) <= 2*replaceAnywayAfter, qt.IsTrue, qt.Commentf("%s after %v", customer, time.Since(start)))
			p.Release(conn, true)
			time.Sleep(time.Second)
		}
		before := refused.Load()
		time.Sleep(time.Minute)
		synctest.Wait()
		after := refused.Load() - before
		qt.Check(t, after <= 26, qt.IsTrue, qt.Commentf("%d dials refused", after))
	})
}
