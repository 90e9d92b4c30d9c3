package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	burstTime      = 250 * time.Millisecond // of the rate that may come at once
	defaultService = 10 * time.Millisecond  // a statement's time before any was measured
	serviceWeight  = 0.1                    // of the latest statement in the mean
	promisedPart   = 0.8                    // of the room that is made; statements' times vary
	minRetryAfter  = 1 * time.Millisecond
	maxRetryAfter  = 60 * time.Second
)

// Decision is what becomes of a statement.
type Decision int

// The decisions.
const (
	Admitted Decision = iota
	Waiting           // until a running one ends
	Refused
)

// Account is the use of one customer in one group at this host. It reads no
// clock and is not safe for concurrent use.
type Account struct {
	limits   customer.Limits // this host's share
	running  int
	waiting  int
	peak     int     // most that ran and waited since the last Demand
	arrived  float64 // statements since the last Demand
	bucket   *rate.Limiter
	returns  *rate.Limiter // hands out the times to come back
	promises promises
	service  float64 // mean time of a statement, in seconds
}

// NewAccount returns the account of a customer that uses nothing yet.
func NewAccount(limits customer.Limits, share float64) *Account {
	a := &Account{bucket: rate.NewLimiter(rate.Inf, 1), returns: rate.NewLimiter(rate.Inf, 1), service: defaultService.Seconds()}
	a.promises.claimed = 1
	a.SetLimits(limits, share)
	return a
}

// SetLimits changes the limits and this host's share of them.
func (a *Account) SetLimits(limits customer.Limits, share float64) {
	own := customer.Limits{
		Concurrent: max(1, int(math.Round(float64(limits.Concurrent)*share))),
		Queue:      int(math.Ceil(float64(limits.Queue) * share)),
		Rate:       limits.Rate * share,
	}
	if own == a.limits {
		return
	}
	a.limits = own
	a.bucket.SetLimit(rate.Inf)
	if own.Rate > 0 {
		a.bucket.SetLimit(rate.Limit(own.Rate))
		a.bucket.SetBurst(max(1, int(own.Rate*burstTime.Seconds())))
	}
}

// Arrive decides about a statement whose caller waits until a deadline, with
// the zero time not at all. A
// caller that comes back when it was told to finds the room that was kept for
// it; one that comes earlier is told the same time again.
func (a *Account) Arrive(caller *Caller, now, deadline time.Time) (Decision, *result.Error) {
	a.arrived++
	if caller.promised.After(now.Add(promiseEarly)) {
		e := result.New(result.LimitReached, "the customer's limit is used up until the time that was told")
		return Refused, e.After(caller.promised.Sub(now))
	}
	kept := !caller.promised.IsZero() && a.promises.claim(caller.promised)
	caller.promised = time.Time{}
	if e := a.tooMany(caller, kept, now, deadline); e != nil {
		return Refused, e
	}
	if e := a.tooFast(caller, kept, now); e != nil {
		return Refused, e
	}
	defer a.notePeak()
	if a.running >= a.limits.Concurrent {
		a.waiting++
		return Waiting, nil
	}
	a.running++
	return Admitted, nil
}

// tooMany refuses a statement for which there is no room to run or wait, or no time.
func (a *Account) tooMany(caller *Caller, kept bool, now, deadline time.Time) *result.Error {
	perSecond := float64(a.limits.Concurrent) / a.service
	stay := seconds(a.service + float64(a.waiting)/perSecond)
	queue := a.limits.Queue
	if deadline.IsZero() {
		queue = 0
	}
	if a.running+a.waiting+a.owed(kept, now, stay) >= a.limits.Concurrent+queue {
		code := result.QueueFull
		if queue == 0 {
			code = result.LimitReached
		}
		e := result.New(code, "the customer has %d statements running and %d waiting", a.running, a.waiting)
		return e.After(a.comeBack(caller, now, perSecond))
	}
	if a.running < a.limits.Concurrent {
		return nil
	}
	if wait := seconds(float64(a.waiting+1) / perSecond); now.Add(wait).After(deadline) {
		e := result.New(result.DeadlineTooClose, "the customer's queue takes about %s", wait.Round(time.Millisecond))
		return e.After(a.comeBack(caller, now, perSecond))
	}
	return nil
}

// tooFast refuses a statement above the rate, and takes its share otherwise.
func (a *Account) tooFast(caller *Caller, kept bool, now time.Time) *result.Error {
	if a.limits.Rate <= 0 {
		return nil
	}
	owed := a.owed(kept, now, seconds(1/a.limits.Rate))
	if a.bucket.TokensAt(now) < float64(1+owed) && !(kept && a.bucket.TokensAt(now) >= 1) {
		e := result.New(result.LimitReached, "the customer's rate of statements is used up")
		return e.After(a.comeBack(caller, now, a.limits.Rate))
	}
	a.bucket.AllowN(now, 1)
	return nil
}

// owed returns for how many other callers room is kept within a time.
func (a *Account) owed(kept bool, now time.Time, within time.Duration) int {
	if kept {
		return 0
	}
	return a.promises.owed(now, now.Add(within))
}

// comeBack promises the caller a time, each as far after the one before as room
// is made, so that those who come back then don't refuse each other.
func (a *Account) comeBack(caller *Caller, now time.Time, perSecond float64) time.Duration {
	perSecond *= promisedPart
	a.returns.SetLimitAt(now, rate.Limit(perSecond))
	wait := a.returns.ReserveN(now, 1).DelayFrom(now) + seconds(1/perSecond)
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	if caller.known {
		caller.promised = now.Add(wait)
		a.promises.add(caller.promised)
	}
	return wait
}

// Start turns a waiting statement into a running one.
func (a *Account) Start() {
	a.waiting--
	a.running++
}

// GiveUp ends a waiting statement that never ran.
func (a *Account) GiveUp() { a.waiting-- }

// Done ends a running statement and tells whether a waiting one may start.
func (a *Account) Done(took time.Duration) (next bool) {
	a.running--
	a.service += serviceWeight * (took.Seconds() - a.service)
	a.service = max(a.service, time.Microsecond.Seconds())
	return a.waiting > 0 && a.running < a.limits.Concurrent
}

// Idle tells whether nothing runs, waits or arrived since the last Demand.
func (a *Account) Idle() bool { return a.running == 0 && a.waiting == 0 && a.arrived == 0 }

// Demand returns which part of the customer's whole limits was asked for in a
// period, 1 for all of it, and begins the next one.
func (a *Account) Demand(whole customer.Limits, period time.Duration) float64 {
	demand := float64(a.peak) / float64(max(1, whole.Concurrent))
	if whole.Rate > 0 {
		demand = max(demand, a.arrived/period.Seconds()/whole.Rate)
	}
	a.arrived = 0
	a.peak = a.running + a.waiting
	return demand
}

func (a *Account) notePeak() { a.peak = max(a.peak, a.running+a.waiting) }

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
