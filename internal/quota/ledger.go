package quota

import (
	"math"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// TokenLifetime is how long a host may spend tokens at most, from when it asked for them.
	TokenLifetime = 2 * time.Second
	// minLifetime is the shortest lifetime of tokens. Callers come at random, and a host
	// may ask for tokens again only after some tens of milliseconds.
	minLifetime = 600 * time.Millisecond
	// lifetimeFactor is the lifetime of tokens as a multiple of the demand in time that they
	// are sold for. Most are spent by then. Tokens that hosts out of contact hold take up
	// the depth until they expire, so they must not live longer than is of use.
	lifetimeFactor = 1.5
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
	minRetry = 25 * time.Millisecond
	maxRetry = 1 * time.Second
	// noticeTime is how long a loss of contact goes unnoticed (gossip.ContactWindow).
	noticeTime    = 800 * time.Millisecond
	addedParts    = 8
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
	// Expires tells that the host applies Grant.Lifetime. One of the previous version
	// keeps tokens for TokenLifetime.
	Expires bool
}

// Grant is the answer to a Request.
type Grant struct {
	Tokens     int
	Keep       int           // tokens that the host may keep after operations that wait got theirs
	RetryAfter time.Duration // when to ask again if Tokens is less than was needed
	Pace       float64       // tokens per second that the host may expect, if RetryAfter is set
	Began      bool          // the ledger got the tokens that one begins with in the last Window
	Lifetime   time.Duration // of the tokens, from when they were asked for; 0: TokenLifetime
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

	level       float64 // negative: more was sold than it should have been
	refilledAt  time.Time
	levelAtSale float64 // after the last sale
	// extra is what the level and the unspent tokens may be above the part of the depth
	// that belongs to share, since share was larger before.
	extra float64
	// added has what the level got in the last noticeTime, by the time modulo noticeTime.
	added    [addedParts]float64
	addedAt  int64 // number of the latest part since the epoch
	paused   bool
	begunAt  time.Time // when it last got what a ledger begins with
	holdings map[topology.HostID]*holding
	unspent  int // sum of holdings
	sweptAt  time.Time
	saleRate float64 // moving average of tokens sold per second
	soldAt   time.Time
}

// NewLedger returns the ledger of a host that begins to sell tokens for a customer.
func NewLedger(b Bounds, l Limit, version uint64, share float64, now time.Time) *Ledger {
	g := &Ledger{bounds: b, limit: l, version: version, share: share, refilledAt: now, begunAt: now, sweptAt: now, soldAt: now,
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
	tokens, g.level, g.levelAtSale = max(0, g.level), min(0, g.level), 0
	g.paused = true
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

// SetShare changes the part of the limit that this ledger may sell. After a reduction,
// what it may hold falls only as fast as others get tokens for the lost part: they begin
// with few. If it fell at once, the tokens unspent at hosts would take up all of it, and
// the customer would be refused below its limit until they were spent or had expired.
// Others may have sold for noticeTime already, so that what the lost part got in that time
// is given up. What was sold of it is owed: the level is negative until the rate made up
// for it.
func (g *Ledger) SetShare(share float64, now time.Time) {
	if share == g.share {
		return
	}
	g.refill(now)
	g.extra = max(0, g.extra+(g.share-share)*g.bounds.depth(g.limit))
	if share < g.share {
		g.giveUpAdded(share*g.bounds.rate(g.limit)*noticeTime.Seconds() + (g.share-share)*noticeParts.of(g.bounds, g.limit))
	}
	g.share = share
	g.refill(now)
}

// refill adds the tokens of the time since the last call, up to the depth.
func (g *Ledger) refill(now time.Time) {
	g.sweep(now)
	before := g.level
	defer func() { g.recordAdded(g.level-before, now) }()
	if elapsed := now.Sub(g.refilledAt); elapsed > 0 {
		g.extra = max(0, g.extra-g.bounds.rate(g.limit)*(1-g.share)*elapsed.Seconds())
		if g.paused {
			elapsed = 0
		}
		g.level += g.bounds.rate(g.limit) * g.share * elapsed.Seconds()
		g.refilledAt = now
	}
	g.level = min(g.level, max(0, g.capacity()-float64(g.unspent)))
}

// recordAdded records what the level got.
func (g *Ledger) recordAdded(tokens float64, now time.Time) {
	part := now.UnixNano() / int64(noticeTime/addedParts)
	for ; g.addedAt < part; g.addedAt++ {
		if part-g.addedAt > addedParts {
			g.addedAt = part - addedParts
		}
		g.added[(g.addedAt+1)%addedParts] = 0
	}
	g.added[part%addedParts] += max(0, tokens)
}

// giveUpAdded removes from the level what it got in the last noticeTime above what is
// allowed.
func (g *Ledger) giveUpAdded(allowed float64) {
	sum := 0.0
	for _, tokens := range g.added {
		sum += tokens
	}
	if sum <= allowed {
		return
	}
	g.level -= sum - allowed
	for i := range g.added {
		g.added[i] *= allowed / sum
	}
}

// capacity returns the limit on the level and the unspent tokens together. With most of the
// votes elsewhere, what a ledger begins with is on top of its part of the depth: the sum over
// all ledgers that share the votes is then at most the depth and one begin, as it is in the
// moment in which they begin. A third of the depth of a small customer is two operations,
// and its callers come at random.
func (g *Ledger) capacity() float64 {
	depth := g.share*g.bounds.depth(g.limit) + g.extra
	if g.share <= 0.5 {
		depth += g.share * g.bounds.start(g.limit)
	}
	return depth
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

// begin adds the tokens with which a ledger begins, without those that it had already.
func (g *Ledger) begin(now time.Time, had float64) {
	g.level += max(0, g.share*g.bounds.start(g.limit)-had)
	g.levelAtSale, g.begunAt = g.level, now
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
	n := min(max(0, int(g.level)), max(0, r.Need-held)+g.advance(r, now))
	g.level -= float64(n)
	g.levelAtSale = g.level
	// Operations that wait spend their tokens at once. Only the others remain unspent.
	h.tokens = max(0, held+n-r.Need)
	g.unspent += h.tokens - held
	lifetime := TokenLifetime
	if r.Expires {
		lifetime = min(max(time.Duration(lifetimeFactor*float64(g.horizon(now))), minLifetime), TokenLifetime)
	}
	if at := now.Add(lifetime + lifetimeMargin); held == 0 || at.After(h.expiresAt) { // if this answer is lost, the host keeps those held
		h.expiresAt = at
	}
	g.recordSale(n, now)
	grant := Grant{Tokens: n, Keep: h.tokens, Lifetime: lifetime, Began: now.Sub(g.begunAt) < g.bounds.Window}
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
	horizon := g.horizon(now).Seconds() * min(1, g.level/(scarceFraction*depth))
	room := advanceFraction*depth - float64(g.unspent)
	wanted := r.Demand*horizon - float64(r.Held)
	return max(0, int(math.Round(min(wanted, room))))
}

// horizon returns the demand, in time, that hosts may buy in advance while tokens aren't
// scarce. Hosts spend their tokens gradually, so that on average half of them are unspent.
func (g *Ledger) horizon(now time.Time) time.Duration {
	depth := g.share * g.bounds.depth(g.limit)
	return time.Duration(min(maxHorizon.Seconds(), 2*advanceFraction*depth/max(g.sales(now), 1)) * float64(time.Second))
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
