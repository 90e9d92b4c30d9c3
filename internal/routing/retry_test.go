package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

var unknownCodes = []result.Code{result.UnknownOutcome, result.UnconfirmedCommit, result.HolderLost}

var otherCodes = []result.Code{
	result.QueueFull, result.DeadlineTooClose, result.TooManyConnections, result.TargetDown, result.NotPrimary,
	result.BehindFloor, result.TooStale, result.NotHolder, result.NoMajority, result.FailoverUnderway, result.Draining,
	result.HostUnreachable, result.LimitReached, result.ReadOnlyTarget, result.TransactionLost, result.NoReadableTarget,
	result.Canceled, result.DeadlinePassed,
	result.TargetError, result.UnsupportedFeature, result.MessageTooLarge,
}

func drawProgress(t *rapid.T) Progress {
	return Progress{
		Class:            rapid.SampledFrom([]pool.Class{pool.Write, pool.Read}).Draw(t, "class"),
		Repeatable:       rapid.Bool().Draw(t, "repeatable"),
		ReadOnly:         rapid.Bool().Draw(t, "read only"),
		MayCommit:        rapid.Bool().Draw(t, "may commit"),
		InTransaction:    rapid.Bool().Draw(t, "in transaction"),
		Emitted:          rapid.Bool().Draw(t, "emitted"),
		TooStale:         rapid.Bool().Draw(t, "too stale"),
		DestinationsLeft: rapid.IntRange(0, 3).Draw(t, "destinations left"),
		Rounds:           rapid.IntRange(0, 100).Draw(t, "rounds"),
		Elapsed:          time.Duration(rapid.IntRange(0, 5000).Draw(t, "elapsed")) * time.Millisecond,
		TimeLeft:         time.Duration(rapid.IntRange(-10, 5000).Draw(t, "time left")) * time.Millisecond,
		BudgetAvailable:  rapid.Bool().Draw(t, "budget"),
	}
}

func TestRetriesOnlyRepeatableBatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProgress(t)
		err := result.New(rapid.OneOf(rapid.SampledFrom(unknownCodes), rapid.SampledFrom(otherCodes)).Draw(t, "code"), "detail")
		s := NextStep(p, err)
		if s.Action == GiveUp {
			checkFinalError(t, p, err, s.Err)
			return
		}
		switch {
		case p.InTransaction:
			t.Fatalf("%v in a transaction: retried", err)
		case !err.NotRun() && (!p.Repeatable || p.Emitted):
			t.Fatalf("%v: %+v retried", err, p)
		case s.Action == TryNextDestination && p.DestinationsLeft == 0:
			t.Fatalf("%v: no destination is left", err)
		case s.Wait+minAttemptTime > p.TimeLeft && s.Action == ChooseAgain:
			t.Fatalf("%v: waits %v with %v left", err, s.Wait, p.TimeLeft)
		case s.ChargeBudget && !p.BudgetAvailable:
			t.Fatalf("%v: retry budget exhausted", err)
		}
	})
}

// checkFinalError checks that the returned error never claims more certainty
// than its cause.
func checkFinalError(t *rapid.T, p Progress, err, answer *result.Error) {
	if answer == nil {
		t.Fatalf("%v: gave up without an error", err)
	}
	if err.Code.Group() != result.GroupUnknown || !answer.NotRun() {
		return
	}
	if answer.Code != result.TransactionLost || !p.InTransaction || p.MayCommit {
		t.Fatalf("%v became %v in %+v", err, answer, p)
	}
}

func TestFinalErrorCodes(t *testing.T) {
	autocommit := Progress{Class: pool.Write, MayCommit: true, TimeLeft: time.Second, BudgetAvailable: true}
	inTransaction := Progress{Class: pool.Write, InTransaction: true, TimeLeft: time.Second, BudgetAvailable: true}
	committing := inTransaction
	committing.MayCommit = true
	read := Progress{Class: pool.Read, Repeatable: true, TimeLeft: time.Millisecond}
	staleRead := Progress{Class: pool.Read, TooStale: true, TimeLeft: time.Second}
	for _, c := range []struct {
		progress Progress
		code     result.Code
		want     result.Code
	}{
		{autocommit, result.HolderLost, result.UnknownOutcome},
		{autocommit, result.UnconfirmedCommit, result.UnconfirmedCommit},
		{autocommit, result.QueueFull, result.QueueFull},
		{inTransaction, result.HolderLost, result.TransactionLost},
		{inTransaction, result.TargetDown, result.TransactionLost},
		{committing, result.HolderLost, result.UnknownOutcome},
		{committing, result.NotPrimary, result.TransactionLost},
		{committing, result.UnconfirmedCommit, result.UnconfirmedCommit},
		{read, result.BehindFloor, result.NoReadableTarget},
		{read, result.HostUnreachable, result.NoReadableTarget},
		{staleRead, result.TargetDown, result.TooStale},
	} {
		step := NextStep(c.progress, result.New(c.code, "detail"))
		qt.Check(t, step.Action, qt.Equals, GiveUp, qt.Commentf("%d", c.code))
		qt.Check(t, step.Err.Code, qt.Equals, c.want, qt.Commentf("%d", c.code))
	}
}

func TestTransientRefusalsSetRetryAfter(t *testing.T) {
	p := Progress{Class: pool.Write, MayCommit: true, TimeLeft: time.Millisecond}
	for _, code := range []result.Code{result.FailoverUnderway, result.NoMajority, result.NotHolder, result.TargetDown} {
		qt.Check(t, NextStep(p, result.New(code, "")).Err.RetryAfter > 0, qt.IsTrue, qt.Commentf("%d", code))
	}
}

func TestRetryBudgetLimitsRetryRatio(t *testing.T) {
	b := NewRetryBudget()
	for b.Available() {
		b.Withdraw()
	}
	const requests = 1000
	retries := 0
	for range requests {
		b.Deposit()
		for b.Available() {
			b.Withdraw()
			retries++
		}
	}
	qt.Assert(t, retries <= requests*retryRatio, qt.IsTrue, qt.Commentf("%d retries", retries))
}
