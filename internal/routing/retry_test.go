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
		Class:         rapid.SampledFrom([]pool.Class{pool.Write, pool.Read}).Draw(t, "class"),
		Repeatable:    rapid.Bool().Draw(t, "repeatable"),
		ReadOnly:      rapid.Bool().Draw(t, "read only"),
		MayCommit:     rapid.Bool().Draw(t, "may commit"),
		InTransaction: rapid.Bool().Draw(t, "in transaction"),
		Emitted:       rapid.Bool().Draw(t, "emitted"),
		TooStale:      rapid.Bool().Draw(t, "too stale"),
		TriesLeft:     rapid.IntRange(0, 3).Draw(t, "tries"),
		Rounds:        rapid.IntRange(0, 100).Draw(t, "rounds"),
		Elapsed:       time.Duration(rapid.IntRange(0, 5000).Draw(t, "elapsed")) * time.Millisecond,
		TimeLeft:      time.Duration(rapid.IntRange(-10, 5000).Draw(t, "left")) * time.Millisecond,
		Budget:        rapid.Bool().Draw(t, "budget"),
	}
}

func TestOnlyWhatMayRunAgainIsTriedAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawProgress(t)
		err := result.New(rapid.OneOf(rapid.SampledFrom(unknownCodes), rapid.SampledFrom(otherCodes)).Draw(t, "code"), "detail")
		s := After(p, err)
		if s.Action == GiveUp {
			checkFinal(t, p, err, s.Err)
			return
		}
		switch {
		case p.InTransaction:
			t.Fatalf("%v in a transaction: tried again", err)
		case !err.NotRun() && (!p.Repeatable || p.Emitted):
			t.Fatalf("%v: %+v tried again", err, p)
		case s.Action == TryNext && p.TriesLeft == 0:
			t.Fatalf("%v: no try is left", err)
		case s.Wait+leastTime > p.TimeLeft && s.Action == ChooseAgain:
			t.Fatalf("%v: waits %v of %v", err, s.Wait, p.TimeLeft)
		case s.Spend && !p.Budget:
			t.Fatalf("%v: the budget is used up", err)
		}
	})
}

// checkFinal: an answer never claims more certainty than the error behind it.
func checkFinal(t *rapid.T, p Progress, err, answer *result.Error) {
	if answer == nil {
		t.Fatalf("%v: given up without an answer", err)
	}
	if err.Code.Group() != result.GroupUnknown || !answer.NotRun() {
		return
	}
	if answer.Code != result.TransactionLost || !p.InTransaction || p.MayCommit {
		t.Fatalf("%v became %v in %+v", err, answer, p)
	}
}

func TestFinalCodes(t *testing.T) {
	alone := Progress{Class: pool.Write, MayCommit: true, TimeLeft: time.Second, Budget: true}
	inside := Progress{Class: pool.Write, InTransaction: true, TimeLeft: time.Second, Budget: true}
	commit := inside
	commit.MayCommit = true
	read := Progress{Class: pool.Read, Repeatable: true, TimeLeft: time.Millisecond}
	stale := Progress{Class: pool.Read, TooStale: true, TimeLeft: time.Second}
	for _, c := range []struct {
		progress Progress
		code     result.Code
		want     result.Code
	}{
		{alone, result.HolderLost, result.UnknownOutcome},
		{alone, result.UnconfirmedCommit, result.UnconfirmedCommit},
		{alone, result.QueueFull, result.QueueFull},
		{inside, result.HolderLost, result.TransactionLost},
		{inside, result.TargetDown, result.TransactionLost},
		{commit, result.HolderLost, result.UnknownOutcome},
		{commit, result.NotPrimary, result.TransactionLost},
		{commit, result.UnconfirmedCommit, result.UnconfirmedCommit},
		{read, result.BehindFloor, result.NoReadableTarget},
		{read, result.HostUnreachable, result.NoReadableTarget},
		{stale, result.TargetDown, result.TooStale},
	} {
		step := After(c.progress, result.New(c.code, "detail"))
		qt.Check(t, step.Action, qt.Equals, GiveUp, qt.Commentf("%d", c.code))
		qt.Check(t, step.Err.Code, qt.Equals, c.want, qt.Commentf("%d", c.code))
	}
}

func TestRefusalsThatWaitingHelpsTellWhenToComeBack(t *testing.T) {
	p := Progress{Class: pool.Write, MayCommit: true, TimeLeft: time.Millisecond}
	for _, code := range []result.Code{result.FailoverUnderway, result.NoMajority, result.NotHolder, result.TargetDown} {
		qt.Check(t, After(p, result.New(code, "")).Err.RetryAfter > 0, qt.IsTrue, qt.Commentf("%d", code))
	}
}

func TestBudgetIsAShareOfTheTraffic(t *testing.T) {
	b := NewBudget()
	for b.Allows() {
		b.Spend()
	}
	const requests = 1000
	retries := 0
	for range requests {
		b.Earn()
		for b.Allows() {
			b.Spend()
			retries++
		}
	}
	qt.Assert(t, retries <= requests*budgetShare, qt.IsTrue, qt.Commentf("%d retries", retries))
}
