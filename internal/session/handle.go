package session

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/routing"
)

// answerGrace is how long past a batch's deadline routing may take to tell
// truthfully what became of it.
const answerGrace = 2 * time.Second

// handle answers one batch. An error ends the connection.
func (c *conn) handle(b *batch) error {
	switch {
	case b.fatal:
		return b.refusal
	case c.skipping:
		return c.skip(b)
	case b.refusal != nil:
		return c.refuse(b, batchFacts{}, b.refusal)
	}
	if err := c.refresh(); err != nil {
		return err
	}
	if c.tx == txIdle {
		begin, rest := b.splitBegin()
		if begin != nil {
			_ = c.answerOps(begin) // a BEGIN alone can't fail here
		}
		b = rest
	}
	f := b.facts()
	switch {
	case f.refused != "":
		return c.refuse(b, f, result.New(result.UnsupportedFeature, "%s isn't offered: it is bound to one connection of the target", f.refused))
	case c.answersLocally(b, f):
		return c.answerLocally(b)
	case c.tx == txLost:
		return c.refuseAborted(b)
	case f.mixed:
		return c.refuse(b, f, result.New(result.UnsupportedFeature, "a session's setting together with other statements in one batch"))
	}
	return c.route(b, f)
}

// skip drops what follows an error up to Sync.
func (c *conn) skip(b *batch) error {
	if !b.ready || b.isQuery() {
		return nil
	}
	c.skipping = false
	return c.ready()
}

func (b *batch) isQuery() bool { return len(b.ops) > 0 && b.ops[0].kind == opQuery }

// refresh takes up a change of the customer's configuration between
// transactions. A session whose user or database is gone ends.
func (c *conn) refresh() error {
	if c.tx != txIdle {
		return nil
	}
	cust, ok := c.srv.opts.Customers.Customer(c.scope.customer)
	if ok && cust == c.customer {
		return nil
	}
	if !ok {
		return result.New(result.UnknownCustomer, "customer %s is no more", c.scope.customer)
	}
	user, ok := findUser(cust, c.user.Name)
	if !ok || cust.Databases[c.database] != c.scope.group {
		return result.New(result.UnknownCustomer, "user or database of customer %s is no more", cust.ID)
	}
	c.customer, c.user = cust, user
	c.floor.readOnly = user.ReadOnly
	return nil
}

// route runs a batch at a target.
func (c *conn) route(b *batch, f batchFacts) error {
	r := access{customer: c.customer, user: c.user, settings: &c.settings}
	if c.tx == txBegun {
		opened, err := c.openTransaction(b, f, r)
		if err != nil || !opened {
			return err
		}
	}
	p, err := c.plan(r, f)
	if err != nil {
		return c.refuse(b, f, err)
	}
	failed := false
	emit := func(chunk []byte) error {
		failed = failed || holdsError(chunk)
		return c.out.chunk(chunk)
	}
	outcome, err := c.runBatch(p, b, emit)
	if err != nil {
		return c.fail(b, f, err)
	}
	c.settle(p, outcome)
	if failed {
		return c.finishFailed(b)
	}
	return c.finish(b)
}

func (c *conn) plan(r access, f batchFacts) (plan, error) {
	if c.tx.pinned() {
		return r.planInside(c.txClass, f)
	}
	return r.planAlone(f)
}

// openTransaction sends the BEGIN that the caller has had its answer to. It
// tells whether the transaction is open; if not, the batch is answered.
func (c *conn) openTransaction(b *batch, f batchFacts, r access) (bool, error) {
	p, err := r.planBegin(c.begin)
	if err != nil {
		return false, c.refuse(b, f, err)
	}
	message, err := (&pgproto3.Query{String: r.beginText(c.begin)}).Encode(nil)
	if err != nil {
		return false, err
	}
	var answer []byte
	keep := func(chunk []byte) error {
		answer = append(answer, chunk...)
		return nil
	}
	outcome, err := c.runBatch(p, &batch{messages: message}, keep)
	if err != nil {
		return false, c.fail(b, f, err)
	}
	c.settle(p, outcome)
	if c.tx == txOpen {
		return true, nil
	}
	c.dropTransaction()
	if err := c.out.chunk(answer); err != nil {
		return false, err
	}
	return false, c.finishFailed(b)
}

// runBatch hands a batch to routing.
func (c *conn) runBatch(p plan, b *batch, emit func([]byte) error) (routing.Outcome, error) {
	deadline := time.Now().Add(c.batchDeadline())
	ctx, cancel := context.WithDeadline(c.runs, deadline.Add(answerGrace))
	defer cancel()
	c.setRunning(true)
	defer c.setRunning(false)
	defer batchSeconds(p.class).UpdateDuration(time.Now())
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

// settle takes up what an answered batch tells.
func (c *conn) settle(p plan, outcome routing.Outcome) {
	c.noteTarget(outcome)
	if !c.tx.pinned() {
		c.txClass = p.class
	}
	c.tx = afterAnswer(outcome.TxStatus)
	c.floor.read(outcome.ReadAt)
	if outcome.Position.IsZero() {
		return
	}
	c.floor.wrote(outcome.Position)
	c.settings.token = signToken(c.srv.opts.TokenKey, c.scope, c.floor.position)
	c.out.send(&pgproto3.ParameterStatus{Name: setToken, Value: c.settings.token})
}

// noteTarget keeps which target answered.
func (c *conn) noteTarget(outcome routing.Outcome) {
	if outcome.Replica {
		batchesReplica.Inc()
		c.settings.servedBy = string(outcome.Target) + " (replica)"
		return
	}
	batchesPrimary.Inc()
	c.settings.servedBy = string(outcome.Target) + " (primary)"
}

// finish ends the answer to a batch that ran.
func (c *conn) finish(b *batch) error {
	if !b.ready {
		return c.out.flush()
	}
	return c.ready()
}

// finishFailed ends the answer to a batch that ended with an error.
func (c *conn) finishFailed(b *batch) error {
	c.skipping = !b.ready
	return c.finish(b)
}

func (c *conn) ready() error {
	c.out.send(&pgproto3.ReadyForQuery{TxStatus: c.tx.status()})
	return c.out.flush()
}
