package limit

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Router returns a router that admits each batch under its customer's limits
// before next runs it. Batches of an open transaction are always admitted: the
// transaction already occupies a connection, and a refusal would only prolong it.
func (l *Limiter) Router(next routing.Router, customers customer.View) routing.Router {
	return &router{limiter: l, next: next, customers: customers}
}

// router is a routing.Router with admission control.
type router struct {
	limiter   *Limiter
	next      routing.Router
	customers customer.View
}

// Open implements routing.Router.
func (r *router) Open(id topology.CustomerID, group topology.GroupID) routing.Conn {
	return &conn{Conn: r.next.Open(id, group), router: r, id: id, group: group, retry: NewRetryState()}
}

// conn is one caller's connection. It runs one batch at a time.
type conn struct {
	routing.Conn
	router        *router
	id            topology.CustomerID
	group         topology.GroupID
	retry         *RetryState
	inTransaction bool
}

const txStatusIdle = 'I' // status of a connection outside a transaction

// Run implements routing.Conn.
func (c *conn) Run(ctx context.Context, call *routing.Call, emit func([]byte) error) (routing.Outcome, error) {
	release, err := c.admit(ctx, call)
	if err != nil {
		return routing.Outcome{}, err
	}
	defer release()
	outcome, err := c.Conn.Run(ctx, call, emit)
	c.inTransaction = err == nil && outcome.TxStatus != txStatusIdle
	return outcome, err
}

// admit acquires admission for one batch and returns the function that releases it.
func (c *conn) admit(ctx context.Context, call *routing.Call) (release func(), err error) {
	found, ok := c.router.customers.Customer(c.id)
	if c.inTransaction || !ok {
		return func() {}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	return c.router.limiter.Acquire(ctx, c.retry, found, c.group)
}
