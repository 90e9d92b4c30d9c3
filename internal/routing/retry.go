package routing

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	initialBackoff             = 5 * time.Millisecond
	maxBackoff                 = 40 * time.Millisecond  // bounds the delay until the end of a failover is noticed
	minAttemptTime             = 2 * time.Millisecond   // with less time left, no attempt can be answered
	maxReadWait                = 2 * time.Second        // time after which a read that no target can serve is refused
	maxWriteWait               = 4 * time.Second        // time after which a write that finds no primary is refused; a failover normally ends long before
	defaultRetryAfter          = 200 * time.Millisecond // suggested to the caller if the error has no retry delay of its own
	maxConnectionRefusedRounds = 3                      // rounds in which targets refused new connections; more rounds mean overload
)

// Progress describes the state of a batch when an attempt fails.
type Progress struct {
	Class            pool.Class // of the batch
	Repeatable       bool       // the batch may run again even if it has run
	ReadOnly         bool       // must not be retried at the primary if a replica rejects it as a write
	MayCommit        bool       // the attempt may have committed a write
	InTransaction    bool       // earlier batches of the transaction ran
	Emitted          bool       // part of the response reached the caller
	TooStale         bool       // replicas can't serve the read because their data is too old
	DestinationsLeft int        // in the current decision
	Rounds           int        // decisions used up
	Elapsed          time.Duration
	TimeLeft         time.Duration
	BudgetAvailable  bool // the retry budget covers another retry
}

// Action is what to do after a failed attempt.
type Action int

// Actions after a failed attempt.
const (
	GiveUp             Action = iota // return Step.Err to the caller
	TryNextDestination               // use the next destination of the same decision
	ChooseAgain                      // make a new decision after Step.Wait
)

// Step is an action with its parameters.
type Step struct {
	Action       Action
	Wait         time.Duration
	ChargeBudget bool // charge the retry to the retry budget
	Err          *result.Error
}

// NextStep decides what to do after an attempt that failed with err.
func NextStep(p Progress, err *result.Error) Step {
	switch {
	case p.InTransaction:
		return giveUpStep(transactionError(p, err))
	case err.Code.Group() == result.GroupUnknown:
		return stepAfterUnknown(p, err)
	case err.NotRun():
		return stepAfterNotRun(p, err)
	}
	return giveUpStep(err)
}

func giveUpStep(err *result.Error) Step { return Step{Action: GiveUp, Err: err} }

// transactionError returns the error for a transaction that err ended. The
// outcome is unknown only if the batch was sent and may commit.
func transactionError(p Progress, err *result.Error) *result.Error {
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

// stepAfterUnknown retries only batches that may run twice.
func stepAfterUnknown(p Progress, err *result.Error) Step {
	if err.Code == result.UnconfirmedCommit || !p.Repeatable || p.Emitted || !p.BudgetAvailable {
		return giveUpStep(unknownOutcomeError(p, err))
	}
	return retryStep(p, err, true)
}

// unknownOutcomeError returns err, or UnknownOutcome if the holder was lost and
// the attempt may have committed.
func unknownOutcomeError(p Progress, err *result.Error) *result.Error {
	if p.MayCommit && err.Code == result.HolderLost {
		return result.New(result.UnknownOutcome, "%s", err.Detail)
	}
	return err
}

func stepAfterNotRun(p Progress, err *result.Error) Step {
	if err.Code == result.ReadOnlyTarget && p.ReadOnly {
		return giveUpStep(err)
	}
	switch err.Code {
	case result.NotHolder, result.Draining, result.HostUnreachable,
		result.BehindFloor, result.TooStale, result.ReadOnlyTarget:
		return retryStep(p, err, false)
	case result.NotPrimary, result.NoMajority, result.FailoverUnderway, result.NoReadableTarget:
		return chooseAgainStep(p, err, false)
	case result.TargetDown:
		return retryStep(p, err, p.Rounds == 0)
	case result.TooManyConnections:
		if p.DestinationsLeft == 0 && p.Rounds >= maxConnectionRefusedRounds {
			return giveUpStep(err)
		}
		return retryStep(p, err, true)
	case result.QueueFull, result.DeadlineTooClose:
		if p.DestinationsLeft == 0 || !p.BudgetAvailable {
			return giveUpStep(err)
		}
		return Step{Action: TryNextDestination, ChargeBudget: true}
	}
	return giveUpStep(err)
}

// retryStep continues with the next destination of the decision, or with a new
// decision if there is none.
func retryStep(p Progress, err *result.Error, chargeBudget bool) Step {
	if chargeBudget && !p.BudgetAvailable {
		return giveUpStep(finalError(p, err))
	}
	if p.DestinationsLeft > 0 && p.TimeLeft > minAttemptTime {
		return Step{Action: TryNextDestination, ChargeBudget: chargeBudget}
	}
	return chooseAgainStep(p, err, chargeBudget)
}

// chooseAgainStep waits for the group or the fleet to change before a new
// decision, as long as the deadline allows it.
func chooseAgainStep(p Progress, err *result.Error, chargeBudget bool) Step {
	wait := max(retryBackoff(p.Rounds), min(err.RetryAfter, maxBackoff))
	if wait+minAttemptTime > p.TimeLeft {
		return giveUpStep(finalError(p, err))
	}
	if p.Class == pool.Read && (p.TooStale || p.Elapsed > maxReadWait) {
		return giveUpStep(finalError(p, err))
	}
	if p.Class == pool.Write && p.Elapsed > maxWriteWait {
		return giveUpStep(finalError(p, err))
	}
	return Step{Action: ChooseAgain, Wait: wait, ChargeBudget: chargeBudget}
}

// retryBackoff returns the exponential delay after the given number of rounds.
func retryBackoff(rounds int) time.Duration {
	return min(initialBackoff<<min(rounds, 16), maxBackoff)
}

// finalError returns the error for the caller when no more attempts are made.
func finalError(p Progress, err *result.Error) *result.Error {
	switch {
	case !err.NotRun():
	case p.Class == pool.Read && p.TooStale:
		err = result.New(result.TooStale, "every replica is older than allowed and the primary is unavailable: %s", err.Detail)
	case p.Class == pool.Read:
		err = result.New(result.NoReadableTarget, "no target can currently serve the read: %s", err.Detail)
	}
	if err.RetryAfter > 0 {
		return err
	}
	return err.WithRetryAfter(defaultRetryAfter)
}

// noDestinationError returns the error for a decision without destinations.
func noDestinationError(criteria Criteria) *result.Error {
	if criteria.Class == pool.Read {
		return result.New(result.NoReadableTarget, "no target with a live holder is known")
	}
	return result.New(result.FailoverUnderway, "no primary with a live holder is known")
}
