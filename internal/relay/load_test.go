package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// The test offers twice the load that the only target can serve, for two seconds.
const (
	overloadConns       = 4
	overloadServiceTime = 20 * time.Millisecond // 4 connections serve 200 requests a second
	overloadLatencyGoal = 100 * time.Millisecond
	overloadInterval    = 2500 * time.Microsecond // 400 requests a second
	overloadDuration    = 2 * time.Second
)

// idleDialer opens connections over which nothing is sent.
type idleDialer struct{}

func (idleDialer) Dial(context.Context, topology.Target, topology.CustomerID) (statement.Conn, error) {
	return idleConn{}, nil
}

type idleConn struct{ statement.Conn }

func (idleConn) Alive() bool { return true }
func (idleConn) Close()      {}

// An overloaded target serves what it serves within the latency goal, and the rest
// is refused at once or nearly so. With a maximum queue wait of two latency goals,
// all requests were served late.
func TestOverloadedTargetServesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := share.NewPool(share.Options{Dialer: idleDialer{}, Size: overloadConns, OnDial: func(topology.TargetID, error) {}})
		defer pool.Close()
		synctest.Wait()
		route := catalog.Route{LatencyGoal: overloadLatencyGoal, StatementTimeout: time.Second}
		var mu sync.Mutex
		var requests sync.WaitGroup
		inTime, late, refusedLate, refusedEarly := 0, 0, 0, 0
		sendRequest := func() {
			began := time.Now()
			c, err := pool.Acquire("", began.Add(route.StatementTimeout), maxQueueWait(&route, overloadServiceTime), 1)
			waited := time.Since(began)
			if err == nil {
				time.Sleep(overloadServiceTime)
				pool.Release(c, true)
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil && waited > overloadLatencyGoal/4:
				refusedLate++
			case err != nil:
				refusedEarly++
			case err == nil && waited+overloadServiceTime <= overloadLatencyGoal:
				inTime++
			case err == nil:
				late++
			}
		}
		for range overloadDuration / overloadInterval {
			requests.Go(sendRequest)
			time.Sleep(overloadInterval)
		}
		requests.Wait()
		capacity := int(overloadDuration/overloadServiceTime) * overloadConns
		t.Logf("capacity %d: served %d in time, %d late; refused %d after a wait, %d early", capacity, inTime, late, refusedLate, refusedEarly)
		qt.Check(t, inTime >= capacity*95/100, qt.IsTrue)
		qt.Check(t, refusedLate <= refusedEarly/10, qt.IsTrue)
	})
}

func TestMaxQueueWaitLeavesTimeForTheAnswer(t *testing.T) {
	route := catalog.Route{LatencyGoal: 200 * time.Millisecond, StatementTimeout: time.Second}
	qt.Check(t, maxQueueWait(&route, 40*time.Millisecond), qt.Equals, 160*time.Millisecond)
	qt.Check(t, maxQueueWait(&route, time.Minute), qt.Equals, 50*time.Millisecond)
	qt.Check(t, maxQueueWait(&catalog.Route{StatementTimeout: time.Second}, 0), qt.Equals, time.Second)
}
