package session

import (
	"fmt"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/limit"
	"nettlewalk.example/nettlewalk/internal/result"
)

const (
	// hintedReturnsPerSecond is how many callers a second are told to return to this host.
	// Nothing is known of when a refusal without a hint of its own ends, so that callers
	// are only kept from returning together.
	hintedReturnsPerSecond = 500
	// maxHint bounds the hints. Callers should find returned capacity within a second.
	maxHint = time.Second
)

// hintPacer spaces the hints of refusals that have none of their own.
type hintPacer struct {
	mu    sync.Mutex
	pacer limit.Pacer
	last  time.Time // the latest return that a caller was told
}

// next returns the next hint, or false if it would be later than limit. Only callers that
// are told a time move the next one: a crowd of others would leave none to later callers.
func (p *hintPacer) next(now time.Time, limit time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit = min(limit, maxHint)
	if p.last.Sub(now)+time.Second/hintedReturnsPerSecond > limit {
		return 0, false
	}
	wait := p.pacer.Next(now, hintedReturnsPerSecond)
	p.last = now.Add(wait)
	return wait, wait <= limit
}

// addHint adds the hint to return later to a refusal that has none, if waiting helps. A
// caller of a draining host needn't wait: other hosts serve.
func (c *conn) addHint(response *pgproto3.ErrorResponse, refusal *result.Error) {
	if !c.srv.opts.RetryTimes || response.Hint != "" {
		return
	}
	if refusal.Code == result.Draining {
		response.Hint = hintText(0)
		return
	}
	if result.Describe(refusal.Code).Retry != result.RetryLater {
		return
	}
	if wait, ok := c.srv.hintPacer.next(time.Now(), c.batchDeadline()); ok {
		response.Hint = hintText(max(wait, time.Millisecond))
	}
}

func hintText(wait time.Duration) string {
	return fmt.Sprintf("retry after %d ms", wait.Milliseconds())
}
