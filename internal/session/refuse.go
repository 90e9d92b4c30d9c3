package session

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
)

// refuse answers a batch with an error before any of it is sent to a target. An
// open transaction is rolled back.
func (c *conn) refuse(b *batch, summary batchSummary, err error) error {
	if c.tx.pinned() {
		c.resetRouting()
	}
	return c.failBatch(b, summary, err)
}

// failBatch answers a batch with an error. The caller must make sure that no
// transaction is still open at a target.
func (c *conn) failBatch(b *batch, summary batchSummary, err error) error {
	if c.out.err != nil {
		return c.out.err
	}
	c.setTxState(c.tx.afterError(summary))
	refusal := result.As(err, result.UnknownOutcome)
	c.logRefusal(refusal)
	response := errorResponse(severityError, refusal)
	c.addHint(response, refusal)
	if refusal.Code == result.NotFound {
		response.Code = sqlStateInvalidStatementName
	}
	return c.sendError(b, response)
}

// setTxState changes the transaction state and counts lost transactions.
func (c *conn) setTxState(next txState) {
	if next == txLost && c.tx != txLost {
		transactionsLost.Inc()
	}
	c.tx = next
}

// abandonTransaction marks the transaction as lost after its BEGIN failed at the
// target.
func (c *conn) abandonTransaction() {
	c.resetRouting()
	c.setTxState(txLost)
}

// resetRouting replaces the routing connection, which rolls back a transaction that
// is open at a target.
func (c *conn) resetRouting() {
	c.closeRouting()
	c.openRouting()
}

// refuseFailedTx refuses a batch of a failed or lost transaction.
func (c *conn) refuseFailedTx(b *batch) error {
	return c.sendError(b, failedTransactionResponse())
}

func (c *conn) sendError(b *batch, response *pgproto3.ErrorResponse) error {
	c.out.send(response)
	return c.finishFailedBatch(b)
}

func (c *conn) logRefusal(refusal *result.Error) {
	countRefusal(refusal.Code)
	c.srv.opts.Log.V(1).Info("request refused", "code", int(refusal.Code), "detail", refusal.Detail,
		"customer", c.scope.customer, "group", c.scope.group, "user", c.user.Name, "transaction", c.tx.String())
}
