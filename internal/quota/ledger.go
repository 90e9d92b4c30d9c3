package quota

import (
	"math"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// TokenLifetime is how long a host may spend tokens, from when it asked for them.
	TokenLifetime = 2 * time.Second
	// lifetimeMargin is how much longer the ledger counts sold tokens: clocks may differ
	// by a few percent over the lifetime.
	lifetimeMargin = 50 * time.Millisecond
	// maxHorizon is the demand that a host may buy in advance, in time. It is below
	// TokenLifetime, so that few tokens expire unspent.
	maxHorizon = 1400 * time.Millisecond
	// advanceFraction is the part of the depth that may be unspent at hosts.
	advanceFraction = 0.75
	// scarceFraction is the part of the depth below which less is sold in advance, so
	// that hosts without tokens find some.
	scarceFraction = 0.25
	// activePeriod is how long a host counts as one that asks for tokens.
	activePeriod = 1 * time.Second
	// minRetry and maxRetry limit the time after which a host that got too few tokens
	// asks again. Within maxRetry no ledger fills, so that no token is lost.
	minRetry      = 25 * time.Millisecond
	maxRetry      = 1 * time.Second
	sweepInterval = 100 * time.Millisecond // between checks for expired tokens
	saleTimeConst = 1.0                    // seconds, of the moving average of sales
)

// Request is a host's request for tokens.
type Request struct {
	Seq    uint64  // increases with each request of the host for the customer
	Need   int     // operations that wait
	Held   int     // unspent tokens from this ledger
	Credit int     // tokens of operations that certainly didn't run, since the last request
	Demand float64 // operations per second at the host, refused ones included
}

// Grant is the answer to a Request.
type Grant struct {
	Tokens     int
	Keep       int           // tokens that the host may keep after operations that wait got theirs
	RetryAfter time.Duration // when to ask again if Tokens is less than was needed
	Pace       float64       // tokens per second that the host may expect, if RetryAfter is set
}

// holding is what one host may hold.
type holding struct {
	tokens    int
	expiresAt time.Time
	seq       uint64
	askedAt   time.Time
}

// Ledger is the account of one customer at a host that sells its tokens. It reads no
// clock and isn't safe for concurrent use.
//
// Its level and the unspent tokens at hosts are together at most the depth. Operations
// of a window spend tokens that were unspent when it began, or that the ledger had then,
// or that it got in the window, so they are at most depth + rate x Window (Bounds).
type Ledger struct {
	bounds  Bounds
	limit   Limit
	version uint64  // of the configuration that has the limit
	share   float64 // part of the limit that this ledger may sell, between 0 and 1

	level       float64
	refilledAt  time.Time
	levelAtSale float64 // after the last sale
	paused      bool
	holdings    map[topology.HostID]*holding
	unspent     int // sum of holdings
	sweptAt     time.Time
	saleRate    float64 // moving average of tokens sold per second
	soldAt      time.Time
}

// NewLedger returns the ledger of a host that begins to sell tokens for a customer.
func NewLedger(b Bounds, l Limit, version uint64, share float64, now time.Time) *Ledger {
	g := &Ledger{bounds: b, limit: l, version: version, share: share, refilledAt: now, sweptAt: now, soldAt: now,
		holdings: map[topology.HostID]*holding{}}
	g.level = share * b.start(l)
	return g
}

// Restart records that another host sold tokens in the meantime. What was added since the
// last sale here may have been sold there, except for what a ledger begins with.
func (g *Ledger) Restart(now time.Time) {
	g.refill(now)
	g.level = min(g.level, max(g.levelAtSale, g.share*g.bounds.start(g.limit)))
}

// HandOver gives up the tokens that are left, because another host sells from now on.
// Nothing is added until the next sale.
func (g *Ledger) HandOver(now time.Time) (tokens float64) {
	g.refill(now)
	tokens, g.level, g.levelAtSale, g.paused = g.level, 0, 0, true
	return tokens
}

// TakeOver adds the tokens that another host gave up.
func (g *Ledger) TakeOver(tokens float64, now time.Time) {
	g.refill(now)
	g.level += max(0, tokens)
	g.refill(now)
	g.levelAtSale = g.level
}

// SetLimit changes the limit to that of a newer configuration.
func (g *Ledger) SetLimit(l Limit, version uint64, now time.Time) {
	if version <= g.version {
		return
	}
	g.refill(now)
	g.limit, g.version = l, version
	g.refill(now)
}

// SetShare changes the part of the limit that this ledger may sell.
func (g *Ledger) SetShare(share float64, now time.Time) {
	if share == g.share {
		return
	}
	g.refill(now)
	g.share = share
	g.refill(now)
}

// refill adds the tokens of the time since the last call, up to the depth.
func (g *Ledger) refill(now time.Time) {
	g.sweep(now)
	if elapsed := now.Sub(g.refilledAt); elapsed > 0 {
		if g.paused {
			elapsed = 0
		}
		g.level += g.bounds.rate(g.limit) * g.share * elapsed.Seconds()
		g.refilledAt = now
	}
	g.level = max(0, min(g.level, g.share*g.bounds.depth(g.limit)-float64(g.unspent)))
}

// sweep removes expired tokens and hosts that no longer ask.
func (g *Ledger) sweep(now time.Time) {
	if now.Sub(g.sweptAt) < sweepInterval {
		return
	}
	g.sweptAt = now
	for id, h := range g.holdings {
		if h.tokens > 0 && !now.Before(h.expiresAt) {
			g.unspent -= h.tokens
			h.tokens = 0
		}
		if h.tokens == 0 && now.Sub(h.askedAt) > activePeriod {
			delete(g.holdings, id)
		}
	}
}

// Buy answers a host's request. A request that was overtaken by a later one gets nothing.
func (g *Ledger) Buy(host topology.HostID, r Request, now time.Time) Grant {
	g.sweep(now)
	h := g.holdings[host]
	if h == nil {
		h = &holding{}
		g.holdings[host] = h
	}
	if r.Seq != 0 && r.Seq <= h.seq {
		return Grant{RetryAfter: minRetry}
	}
	held := max(0, min(r.Held, h.tokens))
	g.unspent += held - h.tokens
	h.tokens, h.seq, h.askedAt = held, r.Seq, now
	g.refill(now)
	g.paused = false
	if r.Credit > 0 {
		g.level += float64(r.Credit)
		g.refill(now)
	}
	n := min(int(g.level), max(0, r.Need-held)+g.advance(r, now))
	g.level -= float64(n)
	g.levelAtSale = g.level
	// Operations that wait spend their tokens at once. Only the others remain unspent.
	h.tokens = max(0, held+n-r.Need)
	g.unspent += h.tokens - held
	h.expiresAt = now.Add(TokenLifetime + lifetimeMargin)
	g.recordSale(n, now)
	grant := Grant{Tokens: n, Keep: h.tokens}
	if held+n < r.Need {
		grant.RetryAfter, grant.Pace = g.retryAfter(), g.bounds.rate(g.limit)*g.share/float64(len(g.holdings))
	}
	return grant
}

// advance returns how many tokens a host gets beyond those for waiting operations.
func (g *Ledger) advance(r Request, now time.Time) int {
	depth := g.share * g.bounds.depth(g.limit)
	if depth <= 0 || r.Demand < minAdvanceDemand {
		return 0
	}
	// Hosts spend their tokens gradually, so that on average half of them are unspent.
	horizon := min(maxHorizon.Seconds(), 2*advanceFraction*depth/max(g.sales(now), 1))
	horizon *= min(1, g.level/(scarceFraction*depth))
	room := advanceFraction*depth - float64(g.unspent)
	wanted := r.Demand*horizon - float64(r.Held)
	return max(0, int(math.Round(min(wanted, room))))
}

// retryAfter returns when a host that got too few tokens asks again: all hosts that ask
// do so at the rate at which tokens become available, together.
func (g *Ledger) retryAfter() time.Duration {
	rate := g.bounds.rate(g.limit) * g.share
	if rate <= 0 {
		return maxRetry
	}
	wait := max(float64(len(g.holdings)), 1-g.level) / rate
	return min(max(time.Duration(min(wait, maxRetry.Seconds())*float64(time.Second)), minRetry), maxRetry)
}

func (g *Ledger) recordSale(n int, now time.Time) {
	g.saleRate, g.soldAt = g.sales(now)+float64(n)/saleTimeConst, now
}

// sales returns the moving average of tokens sold per second.
func (g *Ledger) sales(now time.Time) float64 {
	return g.saleRate * math.Exp(-max(0, now.Sub(g.soldAt).Seconds())/saleTimeConst)
}

// idlePeriod is how long a ledger without sales is kept. A new one begins without a
// burst, so that the first operations after a pause may be refused.
const idlePeriod = 5 * time.Minute

// Idle reports whether the ledger may be removed.
func (g *Ledger) Idle(now time.Time) bool { return now.Sub(g.soldAt) > idlePeriod }
