package limit_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/limit"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// backend is a router and connection whose batches return the next transaction
// status sent on status.
type backend struct {
	status   chan byte
	inFlight atomic.Int64 // running batches
}

func (b *backend) Open(topology.CustomerID, topology.GroupID) routing.Conn { return b }
func (b *backend) Cancel(context.Context) error                            { return nil }
func (b *backend) Close()                                                  {}
func (b *backend) Run(context.Context, *routing.Call, func([]byte) error) (routing.Outcome, error) {
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	return routing.Outcome{TxStatus: <-b.status}, nil
}

// fixedView is a customer.View that returns the same customer for every id.
type fixedView struct {
	customer.View
	only *customer.Customer
}

func (v fixedView) Customer(topology.CustomerID) (*customer.Customer, bool) { return v.only, true }

func TestOpenTransactionNeedsNoAdmission(t *testing.T) {
	c := qt.New(t)
	b := &backend{status: make(chan byte, 1)}
	l := limit.New(limit.Options{})
	r := l.Router(b, fixedView{only: newCustomer(customer.Limits{Concurrent: 1})})
	call := &routing.Call{Deadline: time.Now().Add(time.Minute)}
	run := func(conn routing.Conn) error {
		_, err := conn.Run(context.Background(), call, nil)
		return err
	}
	first, second := r.Open("x", "g"), r.Open("x", "g")
	b.status <- 'T'
	c.Assert(run(first), qt.IsNil)

	secondResult := make(chan error)
	go func() { secondResult <- run(second) }() // admitted, because the first connection's batch has ended
	for b.inFlight.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	c.Check(codeOf(run(r.Open("x", "g"))), qt.Equals, result.LimitReached)
	firstResult := make(chan error)
	go func() { firstResult <- run(first) }() // an open transaction needs no admission
	for b.inFlight.Load() < 2 {
		select {
		case err := <-firstResult:
			t.Fatalf("batch of the open transaction ended early: %v", err)
		case <-time.After(time.Millisecond):
		}
	}
	b.status <- 'I'
	b.status <- 'I'
	c.Check(<-firstResult, qt.IsNil)
	c.Check(<-secondResult, qt.IsNil)
	for l.Uses()[0].Running > 0 {
		time.Sleep(time.Millisecond)
	}
}
