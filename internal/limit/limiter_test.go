package limit_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/limit"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func newCustomer(limits customer.Limits) *customer.Customer {
	return &customer.Customer{ID: "x", Limits: limits}
}

func TestQueueKeepsConcurrencyLimit(t *testing.T) {
	l := limit.New(limit.Options{})
	x := newCustomer(customer.Limits{Concurrent: 2, Queue: 100})
	var running, peak atomic.Int64
	var callers sync.WaitGroup
	for range 50 {
		callers.Go(func() {
			release, err := l.Acquire(context.Background(), nil, x, "g")
			if err != nil {
				t.Error(err)
				return
			}
			if n := running.Add(1); n > peak.Load() {
				peak.Store(n)
			}
			time.Sleep(time.Millisecond)
			running.Add(-1)
			release()
		})
	}
	callers.Wait()
	qt.Check(t, peak.Load(), qt.Equals, int64(2))
}

func TestCanceledWaiterFreesQueueSlot(t *testing.T) {
	c := qt.New(t)
	l := limit.New(limit.Options{})
	x := newCustomer(customer.Limits{Concurrent: 1, Queue: 1})
	release, err := l.Acquire(context.Background(), nil, x, "g")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	waitErr := make(chan error)
	go func() {
		_, err := l.Acquire(ctx, nil, x, "g")
		waitErr <- err
	}()
	for l.Uses()[0].Waiting == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err = l.Acquire(context.Background(), nil, x, "g")
	c.Check(codeOf(err), qt.Equals, result.QueueFull)
	c.Check(result.As(err, 0).RetryAfter > 0, qt.IsTrue)
	cancel()
	c.Check(codeOf(<-waitErr), qt.Equals, result.Canceled)
	release()
	release, refusal := l.Admit(x, "g", time.Now())
	c.Assert(refusal == nil, qt.IsTrue, qt.Commentf("%v", refusal))
	release()
}

func codeOf(err error) result.Code { return result.As(err, 0).Code }

// directPeers calls limiters directly. It implements peer.Caller.
type directPeers map[topology.HostID]*limit.Limiter

func (n directPeers) Call(_ context.Context, host topology.HostID, _ string, args, reply any) error {
	return n[host].Service().Share(args.(*limit.ShareArgs), reply.(*limit.ShareReply))
}

// With four hosts of which only one has demand, that host must get most of the
// customer's limit.
func TestBusyHostGetsMostOfLimit(t *testing.T) {
	var hosts []topology.Host
	for i := range 4 {
		hosts = append(hosts, topology.Host{ID: topology.HostID(fmt.Sprint("h", i)), State: topology.HostLive})
	}
	peers := directPeers{}
	for _, host := range hosts {
		peers[host.ID] = limit.New(limit.Options{Self: host.ID, Peers: peers, Hosts: func() []topology.Host { return hosts }})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, l := range peers {
		running.Go(func() { l.Run(ctx) })
	}
	x := newCustomer(customer.Limits{Concurrent: 40})
	deadline := time.Now().Add(10 * time.Second)
	admitted := 0
	for admitted < 35 && time.Now().Before(deadline) {
		if _, err := peers["h0"].Admit(x, "g", time.Now()); err == nil {
			admitted++
			continue
		}
		time.Sleep(10 * time.Millisecond)
	}
	cancel()
	running.Wait()
	qt.Check(t, admitted, qt.Equals, 35)
}
