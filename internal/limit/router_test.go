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

// backend is a router whose batches answer with a transaction state.
type backend struct {
	status chan byte
	inside atomic.Int64 // batches that run
}

func (b *backend) Open(topology.CustomerID, topology.GroupID) routing.Conn { return b }
func (b *backend) Cancel(context.Context) error                            { return nil }
func (b *backend) Close()                                                  {}
func (b *backend) Run(context.Context, *routing.Call, func([]byte) error) (routing.Outcome, error) {
	b.inside.Add(1)
	defer b.inside.Add(-1)
	return routing.Outcome{TxStatus: <-b.status}, nil
}

// view has one customer.
type view struct {
	customer.View
	only *customer.Customer
}

func (v view) Customer(topology.CustomerID) (*customer.Customer, bool) { return v.only, true }

func TestTransactionsAreAdmittedOnce(t *testing.T) {
	c := qt.New(t)
	b := &backend{status: make(chan byte, 1)}
	l := limit.New(limit.Options{})
	r := l.Router(b, view{only: someCustomer(customer.Limits{Concurrent: 1})})
	call := &routing.Call{Deadline: time.Now().Add(time.Minute)}
	run := func(conn routing.Conn) error {
		_, err := conn.Run(context.Background(), call, nil)
		return err
	}
	first, second := r.Open("x", "g"), r.Open("x", "g")
	b.status <- 'T'
	c.Assert(run(first), qt.IsNil)

	blocked := make(chan error)
	go func() { blocked <- run(second) }() // runs, for the first one's batch is over
	for b.inside.Load() < 1 {
		time.Sleep(time.Millisecond)
	}
	c.Check(codeOf(run(r.Open("x", "g"))), qt.Equals, result.LimitReached)
	inside := make(chan error)
	go func() { inside <- run(first) }() // inside its transaction it needs no admission
	for b.inside.Load() < 2 {
		select {
		case err := <-inside:
			t.Fatalf("inside the transaction: %v", err)
		case <-time.After(time.Millisecond):
		}
	}
	b.status <- 'I'
	b.status <- 'I'
	c.Check(<-inside, qt.IsNil)
	c.Check(<-blocked, qt.IsNil)
	for l.Uses()[0].Running > 0 {
		time.Sleep(time.Millisecond)
	}
}
