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

// attempt takes one batch through its tries.
type attempt struct {
	conn    *conn
	call    *Call
	emit    func([]byte) error
	floor   topology.Position
	began   time.Time
	emitted bool
	rounds  int
	reason  Reason        // why the batch went on to the primary
	gate    *gate         // at which a held write waits, nil before that
	probe   bool          // it is the gate's probe
	failure *result.Error // of the latest try
	open    *result.Error // of a try that may have committed: no later refusal is "not run"
}

func (a *attempt) run(ctx context.Context) (out Outcome, err error) {
	defer func() { a.leaveGate(err == nil) }()
	for {
		ask, d := a.choose()
		out, step := a.tryAll(ctx, ask, d)
		if step == nil {
			return out, nil
		}
		if step.Action == GiveUp {
			return Outcome{}, a.answer(step.Err)
		}
		a.rounds++
		if !a.wait(ctx, ask.Slot, step.Wait) {
			return Outcome{}, a.answer(a.overdue(ctx))
		}
	}
}

// answer returns what the caller is told for err.
func (a *attempt) answer(err *result.Error) *result.Error {
	if a.open != nil && err.NotRun() {
		return a.open
	}
	return err
}

// wait holds the batch before its next decision, false if ctx ended first.
func (a *attempt) wait(ctx context.Context, slot int, backoff time.Duration) bool {
	if a.call.Class != pool.Write {
		return sleep(ctx, backoff)
	}
	if a.gate == nil {
		a.gate = a.conn.group.gate(slot)
	}
	probe, ok := a.gate.wait(ctx, a.probe, backoff)
	a.probe = probe
	return ok
}

func (a *attempt) leaveGate(success bool) {
	if a.probe {
		a.gate.leave(success)
	}
}

func (a *attempt) choose() (Ask, Decision) {
	view := a.conn.router.view(a.conn.group)
	ask := a.ask(view)
	d := Choose(ask, view)
	if d.Reason != "" {
		a.reason = d.Reason
	}
	return ask, d
}

func (a *attempt) ask(view GroupView) Ask {
	return Ask{
		Class:        a.call.Class,
		ReadOnly:     a.call.ReadOnly,
		Floor:        a.floor,
		FloorAge:     a.conn.group.floorAge(a.floor),
		MaxStaleness: a.call.MaxStaleness,
		ServeStale:   a.call.ServeStale,
		Slot:         a.slot(view),
		Draw:         rand.Uint64(),
	}
}

// slot returns the primary's slot that must run what may write: the one whose
// holder keeps the session's floor.
func (a *attempt) slot(view GroupView) int {
	if a.call.Floor.Session == "" {
		return anySlot
	}
	for _, c := range view.Candidates {
		if c.Target.ID == view.Primary {
			return floor.SlotOf(a.call.Floor.Session, c.Target.Slots)
		}
	}
	return anySlot
}

// tryAll returns a nil step when the batch was answered whole.
func (a *attempt) tryAll(ctx context.Context, ask Ask, d Decision) (Outcome, *Step) {
	if len(d.Tries) == 0 {
		step := After(a.progress(Try{}, 0, false), noTarget(ask))
		return Outcome{}, &step
	}
	for len(d.Tries) > 0 {
		try := d.Tries[0]
		if ctx.Err() != nil {
			return Outcome{}, &Step{Action: GiveUp, Err: a.overdue(ctx)}
		}
		out, err := a.exec(ctx, a.newStream(try))
		if err == nil {
			return out, nil
		}
		a.failure = err
		a.noteFailure(ctx, try, err)
		d.Tries = remaining(d.Tries[1:], try, err.Code)
		step := After(a.progress(try, len(d.Tries), false), err)
		if step.Spend {
			a.conn.router.spend()
		}
		if step.Action != TryNext {
			return Outcome{}, &step
		}
	}
	return Outcome{}, &Step{Action: GiveUp, Err: a.failure}
}

func (a *attempt) newStream(try Try) *stream {
	r := a.conn.router
	return &stream{
		id:    r.newStream(),
		try:   try,
		exec:  r.cfg.Executor(try.Host),
		floor: a.floor,
	}
}

func (a *attempt) noteFailure(ctx context.Context, try Try, err *result.Error) {
	r := a.conn.router
	a.conn.group.learnFailure(try.Target, err.Code)
	if err.Code.Group() == result.GroupUnknown && a.mayCommit(try) {
		a.open = unknown(a.progress(try, 0, false), err)
	}
	if a.call.Class == pool.Read && try.Replica {
		a.reason = reasonFor(err.Code)
	}
	switch err.Code {
	case result.HostUnreachable, result.HolderLost:
		if ctx.Err() == nil { // else the deadline may be to blame
			r.noteUnreached(try.Host)
		}
	case result.Draining:
		r.noteLeaving(try.Host)
	}
}

func (a *attempt) progress(try Try, triesLeft int, inTransaction bool) Progress {
	return Progress{
		Class:         a.call.Class,
		Repeatable:    a.repeatable(try),
		ReadOnly:      a.call.ReadOnly,
		MayCommit:     a.mayCommit(try),
		InTransaction: inTransaction,
		Emitted:       a.emitted,
		TooStale:      a.reason == TooStale,
		TriesLeft:     triesLeft,
		Rounds:        a.rounds,
		Elapsed:       time.Since(a.began),
		TimeLeft:      time.Until(a.call.Deadline),
		Budget:        a.conn.router.budgetAllows(),
	}
}

// repeatable tells whether the batch may run again after a try of which the
// outcome isn't known. A read that nobody declared harmless may have written at
// the primary.
func (a *attempt) repeatable(try Try) bool {
	harmless := a.call.Class == pool.Read && (try.Replica || a.call.ReadOnly)
	return a.call.Idempotent || harmless
}

func (a *attempt) mayCommit(try Try) bool {
	return a.call.MayCommit && try.Class == pool.Write
}

// overdue is the answer when ctx ended before another try was sent.
func (a *attempt) overdue(ctx context.Context) *result.Error {
	err := canceled(ctx)
	if a.failure == nil {
		return err
	}
	if a.failure.Code.Group() == result.GroupUnknown {
		return a.failure
	}
	return err.After(comeBackAfter)
}
