package routing

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	firstWait     = 5 * time.Millisecond
	longestWait   = 40 * time.Millisecond // keeps the end of a failover from being noticed late
	leastTime     = 2 * time.Millisecond  // with less time left a try can't be answered
	readPatience  = 2 * time.Second       // reads that no target can serve are refused after this
	writePatience = 4 * time.Second       // writes that meet no primary are refused after this: a change of primary is over long before
	comeBackAfter = 200 * time.Millisecond
	maxBusyRounds = 3 // rounds of refused connections; longer ones mean overload
)

// Progress is how far a batch has come when a try of it ends in an error.
type Progress struct {
	Class         pool.Class // of the batch
	Repeatable    bool       // it may have run and may run again
	ReadOnly      bool       // must not go on to the primary when a replica refuses to write
	MayCommit     bool       // the try may have committed a write
	InTransaction bool       // earlier batches of the transaction ran
	Emitted       bool       // a part of the answer reached the caller
	TooStale      bool       // a read that replicas can't serve for their age
	TriesLeft     int        // of the current decision
	Rounds        int        // decisions used up
	Elapsed       time.Duration
	TimeLeft      time.Duration
	Budget        bool // the retry budget allows one more
}

// Action is what follows a failed try.
type Action int

// The actions.
const (
	GiveUp      Action = iota // answer Step.Err
	TryNext                   // the next try of the same decision
	ChooseAgain               // after Step.Wait, by what is known then
)

// Step is what follows a failed try.
type Step struct {
	Action Action
	Wait   time.Duration
	Spend  bool // the retry costs the budget
	Err    *result.Error
}

// After decides what follows a try that ended in err.
func After(p Progress, err *result.Error) Step {
	switch {
	case p.InTransaction:
		return giveUp(lostTransaction(p, err))
	case err.Code.Group() == result.GroupUnknown:
		return afterUnknown(p, err)
	case err.NotRun():
		return afterNotRun(p, err)
	}
	return giveUp(err)
}

func giveUp(err *result.Error) Step { return Step{Action: GiveUp, Err: err} }

// lostTransaction returns what to answer when a transaction ends by err. Only
// a batch that may commit leaves its outcome open, and only once it was sent.
func lostTransaction(p Progress, err *result.Error) *result.Error {
	switch err.Code.Group() {
	case result.GroupNotRun:
		return result.New(result.TransactionLost, "transaction rolled back: %s", err.Detail)
	case result.GroupUnknown:
		if err.Code == result.UnconfirmedCommit {
			return err
		}
		if p.MayCommit {
			return result.New(result.UnknownOutcome, "%s", err.Detail)
		}
		return result.New(result.TransactionLost, "transaction rolled back: %s", err.Detail)
	}
	return err
}

// afterUnknown retries only what may run twice.
func afterUnknown(p Progress, err *result.Error) Step {
	if err.Code == result.UnconfirmedCommit || !p.Repeatable || p.Emitted || !p.Budget {
		return giveUp(unknown(p, err))
	}
	return again(p, err, true)
}

func unknown(p Progress, err *result.Error) *result.Error {
	if p.MayCommit && err.Code == result.HolderLost {
		return result.New(result.UnknownOutcome, "%s", err.Detail)
	}
	return err
}

func afterNotRun(p Progress, err *result.Error) Step {
	if err.Code == result.ReadOnlyTarget && p.ReadOnly {
		return giveUp(err)
	}
	switch err.Code {
	case result.NotHolder, result.Draining, result.HostUnreachable,
		result.BehindFloor, result.TooStale, result.ReadOnlyTarget:
		return again(p, err, false)
	case result.NotPrimary, result.NoMajority, result.FailoverUnderway, result.NoReadableTarget:
		return chooseAgain(p, err, false)
	case result.TargetDown:
		return again(p, err, p.Rounds == 0)
	case result.TooManyConnections:
		if p.TriesLeft == 0 && p.Rounds >= maxBusyRounds {
			return giveUp(err)
		}
		return again(p, err, true)
	case result.QueueFull, result.DeadlineTooClose:
		if p.TriesLeft == 0 || !p.Budget {
			return giveUp(err)
		}
		return Step{Action: TryNext, Spend: true}
	}
	return giveUp(err)
}

// again goes on with the next try of the decision, then with a new decision.
func again(p Progress, err *result.Error, spend bool) Step {
	if spend && !p.Budget {
		return giveUp(final(p, err))
	}
	if p.TriesLeft > 0 && p.TimeLeft > leastTime {
		return Step{Action: TryNext, Spend: spend}
	}
	return chooseAgain(p, err, spend)
}

// chooseAgain waits for the group or the fleet to change, as long as the
// deadline allows.
func chooseAgain(p Progress, err *result.Error, spend bool) Step {
	wait := max(waitAfter(p.Rounds), min(err.RetryAfter, longestWait))
	if wait+leastTime > p.TimeLeft {
		return giveUp(final(p, err))
	}
	if p.Class == pool.Read && (p.TooStale || p.Elapsed > readPatience) {
		return giveUp(final(p, err))
	}
	if p.Class == pool.Write && p.Elapsed > writePatience {
		return giveUp(final(p, err))
	}
	return Step{Action: ChooseAgain, Wait: wait, Spend: spend}
}

func waitAfter(rounds int) time.Duration {
	return min(firstWait<<min(rounds, 16), longestWait)
}

// final returns what a caller is told when no more tries are made.
func final(p Progress, err *result.Error) *result.Error {
	switch {
	case !err.NotRun():
	case p.Class == pool.Read && p.TooStale:
		err = result.New(result.TooStale, "every replica is older than allowed, and the primary can't serve: %s", err.Detail)
	case p.Class == pool.Read:
		err = result.New(result.NoReadableTarget, "no target can serve the read now: %s", err.Detail)
	}
	if err.RetryAfter > 0 {
		return err
	}
	return err.After(comeBackAfter)
}

// noTarget is the error of a decision without tries.
func noTarget(ask Ask) *result.Error {
	if ask.Class == pool.Read {
		return result.New(result.NoReadableTarget, "no target with a live holder is known")
	}
	return result.New(result.FailoverUnderway, "no primary with a live holder is known")
}
