package session

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/routing"
)

// outcomeGracePeriod is the time after a batch's deadline in which routing may
// still find out the batch's outcome.
const outcomeGracePeriod = 2 * time.Second

// handle executes one batch and sends the response. An error ends the connection.
func (c *conn) handle(b *batch) error {
	switch {
	case b.fatal:
		return b.refusal
	case c.skippingToSync:
		return c.skipToSync(b)
	case b.refusal != nil:
		return c.refuse(b, batchSummary{}, b.refusal)
	}
	if err := c.refreshCustomer(); err != nil {
		return err
	}
	if c.tx == txIdle {
		beginBatch, rest := b.splitBegin()
		if beginBatch != nil {
			_ = c.answerOps(beginBatch) // a single BEGIN can't fail in the idle state
		}
		b = rest
	}
	summary := b.summarize()
	switch {
	case summary.unsupported != "":
		return c.refuse(b, summary, result.New(result.UnsupportedFeature, "%s is not supported: its effect is bound to one target connection", summary.unsupported))
	case c.canAnswerLocally(b, summary):
		return c.answerLocally(b)
	case c.tx == txLost:
		return c.refuseFailedTx(b)
	case summary.partlyLocal:
		return c.refuse(b, summary, result.New(result.UnsupportedFeature, "session settings cannot be combined with other statements in one batch"))
	}
	return c.route(b, summary)
}

// skipToSync drops a batch after an error, up to the one that ends with Sync.
func (c *conn) skipToSync(b *batch) error {
	if !b.wantsReady || b.isQuery() {
		return nil
	}
	c.skippingToSync = false
	return c.sendReady()
}

func (b *batch) isQuery() bool { return len(b.ops) > 0 && b.ops[0].kind == opQuery }

// refreshCustomer applies a changed customer configuration between transactions.
// It returns an error if the session's customer, user or database was removed.
func (c *conn) refreshCustomer() error {
	if c.tx != txIdle {
		return nil
	}
	cust, ok := c.srv.opts.Customers.Customer(c.scope.customer)
	if ok && cust == c.customer {
		return nil
	}
	if !ok {
		return result.New(result.UnknownCustomer, "customer %s was removed", c.scope.customer)
	}
	user, ok := findUser(cust, c.user.Name)
	if !ok || cust.Databases[c.databaseName] != c.scope.group {
		return result.New(result.UnknownCustomer, "user or database of customer %s was removed", cust.ID)
	}
	c.customer, c.user = cust, user
	c.floor.readOnly = user.ReadOnly
	return nil
}

// route runs a batch on a target and sends the response.
func (c *conn) route(b *batch, summary batchSummary) error {
	pl := planner{customer: c.customer, user: c.user, settings: &c.settings}
	if c.tx == txBegun {
		opened, err := c.openTransaction(b, summary, pl)
		if err != nil || !opened {
			return err
		}
	}
	p, err := c.plan(pl, summary)
	if err != nil {
		return c.refuse(b, summary, err)
	}
	sawError := false
	emit := func(chunk []byte) error {
		sawError = sawError || containsError(chunk)
		return c.out.writeChunk(chunk)
	}
	outcome, err := c.runBatch(p, b, emit)
	if err != nil {
		return c.failBatch(b, summary, err)
	}
	c.applyOutcome(p, outcome)
	if sawError {
		return c.finishFailedBatch(b)
	}
	return c.finishBatch(b)
}

// plan decides how to route a batch.
func (c *conn) plan(pl planner, summary batchSummary) (batchPlan, error) {
	if c.tx.pinned() {
		return pl.planInTx(c.txClass, summary)
	}
	return pl.planOutsideTx(summary)
}

// openTransaction sends the pending BEGIN, which the client has already received
// a response to, to a target. It reports whether the transaction is open. If not,
// it has sent the error response for the batch.
func (c *conn) openTransaction(b *batch, summary batchSummary, pl planner) (bool, error) {
	p, err := pl.planBegin(c.pendingBegin)
	if err != nil {
		return false, c.refuse(b, summary, err)
	}
	message, err := (&pgproto3.Query{String: pl.beginSQL(c.pendingBegin)}).Encode(nil)
	if err != nil {
		return false, err
	}
	var response []byte
	collect := func(chunk []byte) error {
		response = append(response, chunk...)
		return nil
	}
	outcome, err := c.runBatch(p, &batch{messages: message}, collect)
	if err != nil {
		return false, c.failBatch(b, summary, err)
	}
	c.applyOutcome(p, outcome)
	if c.tx == txOpen {
		return true, nil
	}
	c.abandonTransaction()
	if err := c.out.writeChunk(response); err != nil {
		return false, err
	}
	return false, c.finishFailedBatch(b)
}

// runBatch passes a batch to routing and waits for its outcome.
func (c *conn) runBatch(p batchPlan, b *batch, emit func([]byte) error) (routing.Outcome, error) {
	deadline := time.Now().Add(c.batchDeadline())
	ctx, cancel := context.WithDeadline(c.requestCtx, deadline.Add(outcomeGracePeriod))
	defer cancel()
	c.setRunning(true)
	defer c.setRunning(false)
	defer batchDuration(p.class).UpdateDuration(time.Now())
	return c.currentRouting().Run(ctx, &routing.Call{
		Class:        p.class,
		Idempotent:   p.idempotent,
		ReadOnly:     p.readOnly,
		MayCommit:    p.mayCommit,
		Deadline:     deadline,
		Floor:        c.floor.source(),
		MaxStaleness: p.maxStaleness,
		ServeStale:   p.serveStale,
		Messages:     b.messages,
		Statements:   b.statements,
	}, emit)
}

func (c *conn) batchDeadline() time.Duration {
	if c.settings.deadline > 0 {
		return c.settings.deadline
	}
	return c.srv.opts.DefaultDeadline
}

// applyOutcome updates the transaction state and the floor after a batch that was
// answered by a target. After a write it reports the new token to the client.
func (c *conn) applyOutcome(p batchPlan, outcome routing.Outcome) {
	c.recordTarget(outcome)
	if !c.tx.pinned() {
		c.txClass = p.class
	}
	c.tx = txStateOf(outcome.TxStatus)
	c.floor.raiseForRead(outcome.ReadAt)
	if outcome.Position.IsZero() {
		return
	}
	c.floor.raise(outcome.Position)
	c.settings.token = signToken(c.srv.opts.TokenKey, c.scope, c.floor.position)
	c.out.send(&pgproto3.ParameterStatus{Name: settingToken, Value: c.settings.token})
}

// recordTarget records which target answered.
func (c *conn) recordTarget(outcome routing.Outcome) {
	if outcome.Replica {
		batchesReplica.Inc()
		c.settings.servedBy = string(outcome.Target) + " (replica)"
		return
	}
	batchesPrimary.Inc()
	c.settings.servedBy = string(outcome.Target) + " (primary)"
}

// finishBatch ends the response to a batch.
func (c *conn) finishBatch(b *batch) error {
	if !b.wantsReady {
		return c.out.flush()
	}
	return c.sendReady()
}

// finishFailedBatch ends the response to a batch that ended with an error.
func (c *conn) finishFailedBatch(b *batch) error {
	c.skippingToSync = !b.wantsReady
	return c.finishBatch(b)
}

// sendReady sends ReadyForQuery and flushes the output.
func (c *conn) sendReady() error {
	c.out.send(&pgproto3.ReadyForQuery{TxStatus: c.tx.status()})
	return c.out.flush()
}
