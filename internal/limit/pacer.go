package limit

import (
	"time"

	"golang.org/x/time/rate"
)

// Pacer spaces the retry times of refused callers, so that callers that retry on time do
// not compete with each other. The zero value is ready to use. Not safe for concurrent
// use.
type Pacer struct{ limiter *rate.Limiter }

// Next returns after what time the next refused caller should retry if capacity becomes
// free at the given rate.
func (p *Pacer) Next(now time.Time, ratePerSecond float64) time.Duration {
	if p.limiter == nil {
		p.limiter = rate.NewLimiter(rate.Inf, 1)
	}
	ratePerSecond *= retryCapacityFraction
	p.limiter.SetLimitAt(now, rate.Limit(ratePerSecond))
	wait := p.limiter.ReserveN(now, 1).DelayFrom(now) + secondsToDuration(1/ratePerSecond)
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
