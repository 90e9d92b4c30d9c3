package routing

import "nettlewalk.example/nettlewalk/internal/retry"

const (
	retryRatio = retry.Ratio // retries earned per request
	retryBurst = 100         // retries that can be saved up while few are needed
)

// NewRetryBudget returns a full budget. It limits retries to a fraction of the requests,
// so that retries don't multiply the load on a failing target.
func NewRetryBudget() retry.Budget { return retry.NewBudget(retryBurst) }
