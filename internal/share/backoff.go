package share

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/statement"
)

const (
	minDialBackoff = 100 * time.Millisecond // after the first failed dial; a target takes seconds to restart
	maxDialBackoff = 1 * time.Second        // upper bound on the delay between dials
	// minRejectedBackoff is the first delay after a target refused a connection
	// because it was at its limit, or accepted it without a protocol response.
	// Connections of hosts that lost power linger at the target for seconds.
	minRejectedBackoff = 200 * time.Millisecond
	// maxRejectedBackoff is the upper bound on that delay, which doubles with each
	// further such refusal.
	maxRejectedBackoff = 800 * time.Millisecond
	// maxSurplusBackoff is that upper bound for a pool that has a connection already. It
	// is as long as connections of lost hosts linger.
	maxSurplusBackoff = 3200 * time.Millisecond
	// backoffJitter is the part of a delay by which it is varied at random, so that hosts
	// that were refused together don't dial together.
	backoffJitter = 0.25
)

// dialBackoff determines the delays after failed dials of a target.
type dialBackoff struct{ failed, rejected time.Duration }

func newDialBackoff() dialBackoff { return dialBackoff{minDialBackoff, minRejectedBackoff} }

// next returns the delay after a dial that failed with err. connected tells whether
// the pool has an open connection.
func (b *dialBackoff) next(err error, connected bool) time.Duration {
	var dialErr *statement.DialError
	if !errors.As(err, &dialErr) || dialErr.Outcome != statement.DialRejected && dialErr.Outcome != statement.DialNoHandshake {
		wait := b.failed
		b.failed = min(2*b.failed, maxDialBackoff)
		return wait
	}
	longest := maxRejectedBackoff
	if connected {
		longest = maxSurplusBackoff
	}
	wait := min(b.rejected, longest)
	b.rejected = min(2*b.rejected, longest)
	return jittered(wait)
}

// atLimit reports whether a dial failed because the target is at its limit on connections.
func atLimit(err error) bool {
	var dialErr *statement.DialError
	return errors.As(err, &dialErr) && dialErr.Outcome == statement.DialRejected && dialErr.Code == statement.TooManyConnections
}

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + backoffJitter*(2*rand.Float64()-1)))
}
