package limit

import (
	"context"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Router returns a router that admits each batch under its customer's limits
// before next runs it. Batches of an open transaction are admitted always: the
// transaction has its connection, and refusing them would only keep it longer.
func (l *Limiter) Router(next routing.Router, customers customer.View) routing.Router {
	return &router{limiter: l, next: next, customers: customers}
}

type router struct {
	limiter   *Limiter
	next      routing.Router
	customers customer.View
}

// Open implements routing.Router.
func (r *router) Open(id topology.CustomerID, group topology.GroupID) routing.Conn {
	return &conn{Conn: r.next.Open(id, group), router: r, id: id, group: group, caller: NewCaller()}
}

// conn is one caller's connection. It runs one batch at a time.
type conn struct {
	routing.Conn
	router        *router
	id            topology.CustomerID
	group         topology.GroupID
	caller        *Caller
	inTransaction bool
}

const txIdle = 'I' // transaction state outside a transaction

// Run implements routing.Conn.
func (c *conn) Run(ctx context.Context, call *routing.Call, emit func([]byte) error) (routing.Outcome, error) {
	release, err := c.admit(ctx, call)
	if err != nil {
		return routing.Outcome{}, err
	}
	defer release()
	outcome, err := c.Conn.Run(ctx, call, emit)
	c.inTransaction = err == nil && outcome.TxStatus != txIdle
	return outcome, err
}

func (c *conn) admit(ctx context.Context, call *routing.Call) (release func(), err error) {
	found, ok := c.router.customers.Customer(c.id)
	if c.inTransaction || !ok {
		return func() {}, nil
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	return c.router.limiter.Acquire(ctx, c.caller, found, c.group)
}
