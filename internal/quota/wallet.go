package quota

import (
	"math"
	"time"

	"nettlewalk.example/nettlewalk/internal/limit"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Decision is what happens to an operation.
type Decision int

// The decisions of Wallet.Admit.
const (
	Admitted Decision = iota // a token was spent
	Wait                     // tokens have to be bought first
	Refused                  // the customer is at its limit
)

const (
	// demandTimeConst is that of the moving average of operations, in seconds. A single
	// operation must not count as a demand for which tokens are bought in advance.
	demandTimeConst = 2.0
	// purchaseTime is how long a purchase usually takes: a round trip between domains and
	// the time of two small hosts. Tokens are bought in advance when those left cover it.
	purchaseTime = 20 * time.Millisecond
	// minAdvanceDemand is the least number of operations per second for which tokens are
	// bought in advance: two in the lifetime of a token. Fewer would often expire.
	minAdvanceDemand = 1.0
	// maxAnswerTime is the age at which an answer is discarded. Tokens for operations that
	// wait count as spent when they are sold, so they must be spent soon after.
	maxAnswerTime = 150 * time.Millisecond
	// previousPeriod is how long the seller of the last tokens is reported to another
	// one: what it sold may still count in the window.
	previousPeriod = 7 * time.Second
)

// Wallet has one customer's tokens at one host. It reads no clock and isn't safe for
// concurrent use.
type Wallet struct {
	limit     Limit
	version   uint64
	limitAt   time.Time // when the limit last changed here
	tokens    int
	keep      int // of the last purchase
	expiresAt time.Time
	credit    int
	seq       uint64
	demand    float64 // moving average of operations per second, refused ones included
	arrivedAt time.Time
	// blockedUntil is when tokens may be asked for again after a purchase of too few.
	blockedUntil time.Time
	pace         float64     // tokens per second to expect at the limit
	pacer        limit.Pacer // spaces the retry times of refused callers
	seller       topology.HostID
	soldAt       time.Time
	began        bool // Grant.Began of the seller
}

// NewWallet returns a wallet without tokens. Its requests are numbered from firstSeq on,
// which must be above the numbers of this host's earlier wallets for the customer, also of
// those before a restart.
func NewWallet(firstSeq uint64) *Wallet { return &Wallet{seq: firstSeq} }

// SetLimit records the limit in force. Tokens bought under a higher limit are discarded.
func (w *Wallet) SetLimit(l Limit, version uint64, now time.Time) {
	if version <= w.version {
		return
	}
	if l != w.limit {
		w.limitAt = now
	}
	if l.lowerThan(w.limit) {
		w.tokens, w.credit = 0, 0
	}
	w.limit, w.version = l, version
}

// expire discards the tokens whose lifetime has passed.
func (w *Wallet) expire(now time.Time) {
	if !now.Before(w.expiresAt) {
		w.tokens = 0
	}
}

// Admit decides about one operation.
func (w *Wallet) Admit(now time.Time) Decision {
	w.recordArrival(now)
	w.expire(now)
	switch {
	case w.tokens > 0:
		w.tokens--
		return Admitted
	case now.Before(w.blockedUntil):
		return Refused
	}
	return Wait
}

func (w *Wallet) recordArrival(now time.Time) {
	w.decayDemand(now)
	w.demand += 1 / demandTimeConst
}

func (w *Wallet) decayDemand(now time.Time) {
	if elapsed := now.Sub(w.arrivedAt).Seconds(); elapsed > 0 {
		w.demand *= math.Exp(-elapsed / demandTimeConst)
		w.arrivedAt = now
	}
}

// Credit records that an operation certainly didn't run.
func (w *Wallet) Credit() { w.credit++ }

// ShouldRefill reports whether it is time to buy tokens in advance.
func (w *Wallet) ShouldRefill(now time.Time) bool {
	return w.demand >= minAdvanceDemand && float64(w.tokens) <= w.demand*purchaseTime.Seconds() && !now.Before(w.blockedUntil)
}

// Request returns the request to send to a seller. Tokens of another seller are
// discarded, since this one doesn't know of them.
func (w *Wallet) Request(seller topology.HostID, need int, now time.Time) (r Request, previous topology.HostID) {
	w.expire(now)
	w.decayDemand(now)
	if w.seller != "" && w.seller != seller {
		w.tokens = 0
		if now.Sub(w.soldAt) < previousPeriod {
			previous = w.seller
		}
	}
	w.seq++
	r = Request{Seq: w.seq, Need: need, Held: w.tokens, Credit: w.credit, Demand: w.demand, Expires: true}
	w.credit = 0
	return r, previous
}

// Add records the answer of a seller to a request sent at sentAt. A grant under an older
// configuration with a higher limit is discarded.
func (w *Wallet) Add(seller topology.HostID, g Grant, limit Limit, version uint64, sentAt, now time.Time) {
	if seller != w.seller {
		w.tokens = 0
		w.seller = seller
	}
	w.soldAt, w.began = now, g.Began
	if version < w.version && w.limit.lowerThan(limit) {
		w.blockedUntil = now.Add(minRetry)
		return
	}
	if now.Sub(sentAt) < maxAnswerTime {
		w.tokens += g.Tokens
		w.keep = g.Keep
		lifetime := TokenLifetime
		if g.Lifetime > 0 {
			lifetime = min(lifetime, g.Lifetime)
		}
		w.expiresAt = sentAt.Add(lifetime)
	}
	if g.RetryAfter > 0 {
		w.blockedUntil, w.pace = now.Add(g.RetryAfter), g.Pace
	}
}

// Trim discards the tokens of operations that no longer wait: the seller counts them as
// spent.
func (w *Wallet) Trim() { w.tokens = min(w.tokens, w.keep) }

// Spend spends a token for an operation that waited.
func (w *Wallet) Spend(now time.Time) bool {
	w.expire(now)
	if w.tokens == 0 {
		return false
	}
	w.tokens--
	return true
}

// Blocked reports whether tokens may not be asked for yet.
func (w *Wallet) Blocked(now time.Time) bool { return now.Before(w.blockedUntil) }

// RetryAfter returns when a refused caller should retry. Each caller gets its own time,
// spaced at the rate at which this host expects tokens.
func (w *Wallet) RetryAfter(now time.Time) time.Duration {
	pace := w.pace
	if pace <= 0 { // no seller has answered yet
		pace = max(w.limit.Rate, 1)
	}
	return max(0, w.blockedUntil.Sub(now)) + w.pacer.Next(now, pace)
}

// Idle reports whether the wallet has nothing worth keeping.
func (w *Wallet) Idle(now time.Time) bool {
	return now.Sub(w.arrivedAt) > previousPeriod && !now.Before(w.expiresAt)
}
