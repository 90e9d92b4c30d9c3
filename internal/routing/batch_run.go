package routing

import (
	"context"
	"math/rand/v2"
	"time"

	"nettlewalk.example/nettlewalk/internal/floor"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// batchRun routes one batch: it chooses destinations and sends the batch until
// it is answered or a step gives up.
type batchRun struct {
	conn          *conn
	call          *Call
	emit          func([]byte) error
	floor         topology.Position // position that a read must observe
	startedAt     time.Time
	emitted       bool
	rounds        int
	primaryReason Reason        // why a read falls back to the primary
	gate          *probeGate    // where a held write waits; nil before its first wait
	isProbe       bool          // this batch is the gate's probe
	lastErr       *result.Error // error of the latest attempt
	unknownErr    *result.Error // error of an attempt that may have committed; no later refusal may then be reported as "not run"
}

func (b *batchRun) run(ctx context.Context) (out Outcome, err error) {
	defer func() { b.endProbe(err == nil) }()
	for {
		criteria, decision := b.choose()
		out, step := b.tryDestinations(ctx, criteria, decision)
		if step == nil {
			return out, nil
		}
		if step.Action == GiveUp {
			return Outcome{}, b.callerError(step.Err)
		}
		b.rounds++
		if !b.wait(ctx, criteria.Slot, step.Wait) {
			return Outcome{}, b.callerError(b.deadlineError(ctx))
		}
	}
}

// callerError returns the error to report to the caller for err. If an earlier
// attempt may have committed, its unknown outcome replaces a "not run" error.
func (b *batchRun) callerError(err *result.Error) *result.Error {
	if b.unknownErr != nil && err.NotRun() {
		return b.unknownErr
	}
	return err
}

// wait delays the batch until its next decision. It returns false if ctx ends
// first.
func (b *batchRun) wait(ctx context.Context, slot int, backoff time.Duration) bool {
	if b.call.Class != pool.Write {
		return sleep(ctx, backoff)
	}
	if b.gate == nil {
		b.gate = b.conn.group.writeGate(slot)
	}
	probe, ok := b.gate.wait(ctx, b.isProbe, backoff)
	b.isProbe = probe
	return ok
}

// endProbe ends the batch's probe, if it is the gate's probe.
func (b *batchRun) endProbe(success bool) {
	if b.isProbe {
		b.gate.endProbe(success)
	}
}

func (b *batchRun) choose() (Criteria, Decision) {
	view := b.conn.router.view(b.conn.group)
	criteria := b.criteria(view)
	decision := Choose(criteria, view)
	if decision.Reason != "" {
		b.primaryReason = decision.Reason
	}
	return criteria, decision
}

func (b *batchRun) criteria(view GroupView) Criteria {
	return Criteria{
		Class:        b.call.Class,
		ReadOnly:     b.call.ReadOnly,
		Floor:        b.floor,
		FloorAge:     b.conn.group.floorAge(b.floor),
		MaxStaleness: b.call.MaxStaleness,
		ServeStale:   b.call.ServeStale,
		Slot:         b.requiredSlot(view),
		Random:       rand.Uint64(),
	}
}

// requiredSlot returns the slot of the primary that must run writes and
// undeclared reads: the one whose holder tracks the session's floor. It returns
// anySlot if the batch has no session or the primary is unknown.
func (b *batchRun) requiredSlot(view GroupView) int {
	if b.call.Floor.Session == "" {
		return anySlot
	}
	for _, c := range view.Candidates {
		if c.Target.ID == view.Primary {
			return floor.SlotOf(b.call.Floor.Session, c.Target.Slots)
		}
	}
	return anySlot
}

// tryDestinations sends the batch to each destination in turn. It returns a nil
// step if the batch was answered completely.
func (b *batchRun) tryDestinations(ctx context.Context, criteria Criteria, decision Decision) (Outcome, *Step) {
	if len(decision.Destinations) == 0 {
		step := NextStep(b.progress(Destination{}, 0, false), noDestinationError(criteria))
		return Outcome{}, &step
	}
	for len(decision.Destinations) > 0 {
		dest := decision.Destinations[0]
		if ctx.Err() != nil {
			return Outcome{}, &Step{Action: GiveUp, Err: b.deadlineError(ctx)}
		}
		out, err := b.execute(ctx, b.newStream(dest))
		if err == nil {
			return out, nil
		}
		b.lastErr = err
		b.recordFailure(ctx, dest, err)
		decision.Destinations = remainingDestinations(decision.Destinations[1:], dest, err.Code)
		step := NextStep(b.progress(dest, len(decision.Destinations), false), err)
		if step.ChargeBudget {
			b.conn.router.recordRetry()
		}
		if step.Action != TryNextDestination {
			return Outcome{}, &step
		}
	}
	return Outcome{}, &Step{Action: GiveUp, Err: b.lastErr}
}

func (b *batchRun) newStream(dest Destination) *stream {
	r := b.conn.router
	return &stream{
		id:    r.newStream(),
		dest:  dest,
		exec:  r.cfg.Executor(dest.Host),
		floor: b.floor,
	}
}

// recordFailure updates what is known about the group and the host after a
// failed attempt at dest.
func (b *batchRun) recordFailure(ctx context.Context, dest Destination, err *result.Error) {
	r := b.conn.router
	b.conn.group.observeFailure(dest.Target, err.Code)
	if err.Code.Group() == result.GroupUnknown && b.mayCommit(dest) {
		b.unknownErr = unknownOutcomeError(b.progress(dest, 0, false), err)
	}
	if b.call.Class == pool.Read && dest.Replica {
		b.primaryReason = reasonForRefusal(err.Code)
	}
	switch err.Code {
	case result.HostUnreachable, result.HolderLost:
		if ctx.Err() == nil { // otherwise the call may have failed only because of the deadline
			r.recordUnreachable(dest.Host)
		}
	case result.Draining:
		r.recordLeaving(dest.Host)
	}
}

func (b *batchRun) progress(dest Destination, destinationsLeft int, inTransaction bool) Progress {
	return Progress{
		Class:            b.call.Class,
		Repeatable:       b.repeatable(dest),
		ReadOnly:         b.call.ReadOnly,
		MayCommit:        b.mayCommit(dest),
		InTransaction:    inTransaction,
		Emitted:          b.emitted,
		TooStale:         b.primaryReason == TooStale,
		DestinationsLeft: destinationsLeft,
		Rounds:           b.rounds,
		Elapsed:          time.Since(b.startedAt),
		TimeLeft:         time.Until(b.call.Deadline),
		BudgetAvailable:  b.conn.router.retryAllowed(),
	}
}

// repeatable reports whether the batch may run again after an attempt at dest
// with an unknown outcome. A read that was not declared read-only may have
// written at the primary.
func (b *batchRun) repeatable(dest Destination) bool {
	sideEffectFree := b.call.Class == pool.Read && (dest.Replica || b.call.ReadOnly)
	return b.call.Idempotent || sideEffectFree
}

// mayCommit reports whether an attempt at dest may commit a write.
func (b *batchRun) mayCommit(dest Destination) bool {
	return b.call.MayCommit && dest.Class == pool.Write
}

// deadlineError returns the error for a batch whose ctx ended before another
// attempt was sent.
func (b *batchRun) deadlineError(ctx context.Context) *result.Error {
	err := contextError(ctx)
	if b.lastErr == nil {
		return err
	}
	if b.lastErr.Code.Group() == result.GroupUnknown {
		return b.lastErr
	}
	return err.WithRetryAfter(defaultRetryAfter)
}
