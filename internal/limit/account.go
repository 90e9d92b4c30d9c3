package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	burstWindow           = 250 * time.Millisecond // the burst is what the full rate allows in this time
	defaultServiceTime    = 10 * time.Millisecond  // assumed before the first statement ends
	serviceTimeWeight     = 0.1                    // weight of the latest statement in the moving average
	retryCapacityFraction = 0.8                    // retries are paced at this fraction of the capacity, because execution times vary
	minRetryAfter         = 1 * time.Millisecond
	maxRetryAfter         = 60 * time.Second
)

// Decision is the outcome of admission control for a statement.
type Decision int

// Outcomes of Account.Admit.
const (
	Admitted Decision = iota
	Queued            // waits until a running statement ends
	Refused
)

// Account tracks the running and queued statements of one customer in one group at
// this host and decides about new ones. It reads no clock. Not safe for concurrent
// use.
type Account struct {
	limits             customer.Limits // this host's share of the customer's limits
	running            int
	waiting            int
	peakInFlight       int     // highest running+waiting since the last TakeDemand
	arrivals           float64 // statements since the last TakeDemand
	bucket             *rate.Limiter
	retryPacer         Pacer // spaces the retry times of refused callers
	reservations       reservations
	meanServiceSeconds float64 // moving average of a statement's execution time
}

// NewAccount returns an Account without statements.
func NewAccount(fleetLimits customer.Limits, share float64) *Account {
	a := &Account{bucket: rate.NewLimiter(rate.Inf, 1), meanServiceSeconds: defaultServiceTime.Seconds()}
	a.reservations.claimRate = 1
	a.SetLimits(fleetLimits, share)
	return a
}

// SetLimits sets the customer's limits for the whole fleet and this host's share of
// them.
func (a *Account) SetLimits(fleetLimits customer.Limits, share float64) {
	hostLimits := customer.Limits{
		Concurrent: max(1, int(math.Round(float64(fleetLimits.Concurrent)*share))),
		Queue:      int(math.Ceil(float64(fleetLimits.Queue) * share)),
		Rate:       fleetLimits.Rate * share,
	}
	if hostLimits == a.limits {
		return
	}
	a.limits = hostLimits
	a.bucket.SetLimit(rate.Inf)
	if hostLimits.Rate > 0 {
		a.bucket.SetLimit(rate.Limit(hostLimits.Rate))
		a.bucket.SetBurst(max(1, int(hostLimits.Rate*burstWindow.Seconds())))
	}
}

// Admit decides whether a statement runs, waits in the queue or is refused. The
// caller waits until deadline at most; with a zero deadline it does not wait. A
// caller that retries at the time it was given uses the capacity reserved for it.
// One that retries earlier is refused with the same retry time.
func (a *Account) Admit(retry *RetryState, now, deadline time.Time) (Decision, *result.Error) {
	a.arrivals++
	if retry.retryAt.After(now.Add(earlyRetryTolerance)) {
		e := result.New(result.LimitReached, "retried too early: the customer stays at its limit until the given retry time")
		return Refused, e.WithRetryAfter(retry.retryAt.Sub(now))
	}
	reserved := !retry.retryAt.IsZero() && a.reservations.claim(retry.retryAt)
	retry.retryAt = time.Time{}
	if e := a.checkConcurrency(retry, reserved, now, deadline); e != nil {
		return Refused, e
	}
	if e := a.checkRate(retry, reserved, now); e != nil {
		return Refused, e
	}
	defer a.updatePeak()
	if a.running >= a.limits.Concurrent {
		a.waiting++
		return Queued, nil
	}
	a.running++
	return Admitted, nil
}

// checkConcurrency refuses a statement if the concurrency limit and the queue are
// full, or if the deadline passes before the statement would leave the queue.
func (a *Account) checkConcurrency(retry *RetryState, reserved bool, now, deadline time.Time) *result.Error {
	completionsPerSecond := float64(a.limits.Concurrent) / a.meanServiceSeconds
	expectedStay := secondsToDuration(a.meanServiceSeconds + float64(a.waiting)/completionsPerSecond)
	queue := a.limits.Queue
	if deadline.IsZero() {
		queue = 0
	}
	if a.running+a.waiting+a.reservedWithin(reserved, now, expectedStay) >= a.limits.Concurrent+queue {
		code := result.QueueFull
		if queue == 0 {
			code = result.LimitReached
		}
		e := result.New(code, "customer limit reached: %d statements running, %d waiting", a.running, a.waiting)
		return e.WithRetryAfter(a.scheduleRetry(retry, now, completionsPerSecond))
	}
	if a.running < a.limits.Concurrent {
		return nil
	}
	if wait := secondsToDuration(float64(a.waiting+1) / completionsPerSecond); now.Add(wait).After(deadline) {
		e := result.New(result.DeadlineTooClose, "deadline too close: the estimated wait in the customer's queue is %s", wait.Round(time.Millisecond))
		return e.WithRetryAfter(a.scheduleRetry(retry, now, completionsPerSecond))
	}
	return nil
}

// checkRate refuses a statement above the rate limit. Otherwise it takes a token
// from the bucket.
func (a *Account) checkRate(retry *RetryState, reserved bool, now time.Time) *result.Error {
	if a.limits.Rate <= 0 {
		return nil
	}
	othersReserved := a.reservedWithin(reserved, now, secondsToDuration(1/a.limits.Rate))
	if a.bucket.TokensAt(now) < float64(1+othersReserved) && !(reserved && a.bucket.TokensAt(now) >= 1) {
		e := result.New(result.LimitReached, "customer limit reached: too many statements per second")
		return e.WithRetryAfter(a.scheduleRetry(retry, now, a.limits.Rate))
	}
	a.bucket.AllowN(now, 1)
	return nil
}

// reservedWithin returns how many other callers are expected to claim a reservation
// within the given time. It is 0 for a caller that claimed a reservation itself.
func (a *Account) reservedWithin(reserved bool, now time.Time, within time.Duration) int {
	if reserved {
		return 0
	}
	return a.reservations.expectedClaims(now, now.Add(within))
}

// scheduleRetry returns after what time the caller should retry and reserves
// capacity for it. Retry times are spaced at the rate at which capacity becomes
// free, so that callers that retry on time do not compete with each other.
func (a *Account) scheduleRetry(retry *RetryState, now time.Time, ratePerSecond float64) time.Duration {
	wait := a.retryPacer.Next(now, ratePerSecond)
	if retry.tracked {
		retry.retryAt = now.Add(wait)
		a.reservations.add(retry.retryAt)
	}
	return wait
}

// StartQueued moves a statement from waiting to running.
func (a *Account) StartQueued() {
	a.waiting--
	a.running++
}

// LeaveQueue removes a waiting statement that has not run.
func (a *Account) LeaveQueue() { a.waiting-- }

// Finish records the end of a running statement and its execution time. It reports
// whether a waiting statement may start.
func (a *Account) Finish(took time.Duration) (canStart bool) {
	a.running--
	a.meanServiceSeconds += serviceTimeWeight * (took.Seconds() - a.meanServiceSeconds)
	a.meanServiceSeconds = max(a.meanServiceSeconds, time.Microsecond.Seconds())
	return a.waiting > 0 && a.running < a.limits.Concurrent
}

// Idle reports whether no statement is running or waiting and none has arrived
// since the last TakeDemand.
func (a *Account) Idle() bool { return a.running == 0 && a.waiting == 0 && a.arrivals == 0 }

// TakeDemand returns the demand in the last period as a fraction of the customer's
// fleet-wide limits (1 is the whole limit) and starts the next period.
func (a *Account) TakeDemand(fleetLimits customer.Limits, period time.Duration) float64 {
	demand := float64(a.peakInFlight) / float64(max(1, fleetLimits.Concurrent))
	if fleetLimits.Rate > 0 {
		demand = max(demand, a.arrivals/period.Seconds()/fleetLimits.Rate)
	}
	a.arrivals = 0
	a.peakInFlight = a.running + a.waiting
	return demand
}

// updatePeak raises peakInFlight to the present number of statements.
func (a *Account) updatePeak() { a.peakInFlight = max(a.peakInFlight, a.running+a.waiting) }

// secondsToDuration converts seconds to a Duration of at most maxRetryAfter.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
