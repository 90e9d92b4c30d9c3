package session

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

// refuse answers a batch with an error before anything of it was sent. A
// transaction that was open ends with it, as with any error.
func (c *conn) refuse(b *batch, f batchFacts, err error) error {
	if c.tx.pinned() {
		c.dropRouting()
	}
	return c.fail(b, f, err)
}

// fail answers a batch with an error after which no transaction is open at a
// target.
func (c *conn) fail(b *batch, f batchFacts, err error) error {
	if c.out.err != nil {
		return c.out.err
	}
	c.setAfterError(c.tx.afterError(f))
	e := result.As(err, result.UnknownOutcome)
	c.logRefusal(e)
	response := errorResponse(severityError, e)
	if e.Code == result.NotFound {
		response.Code = stateNoStatement
	}
	return c.sendError(b, response)
}

func (c *conn) setAfterError(next txState) {
	if next == txLost && c.tx != txLost {
		transactionsLost.Inc()
	}
	c.tx = next
}

// dropTransaction ends a transaction whose BEGIN failed at the target.
func (c *conn) dropTransaction() {
	c.dropRouting()
	c.setAfterError(txLost)
}

// dropRouting rolls back what is open at a target.
func (c *conn) dropRouting() {
	c.closeRouting()
	c.openRouting()
}

// refuseAborted answers a statement of a transaction that is over or failed.
func (c *conn) refuseAborted(b *batch) error {
	return c.sendError(b, abortedResponse())
}

func (c *conn) sendError(b *batch, response *pgproto3.ErrorResponse) error {
	c.out.send(response)
	return c.finishFailed(b)
}

func (c *conn) logRefusal(e *result.Error) {
	countRefusal(e.Code)
	c.srv.opts.Log.V(1).Info("request refused", "code", int(e.Code), "detail", e.Detail,
		"customer", c.scope.customer, "group", c.scope.group, "user", c.user.Name, "transaction", c.tx.String())
}
