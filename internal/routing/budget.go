package routing

const (
	retryRatio = 0.1 // retries earned per request
	retryBurst = 100 // retries that can be saved up while few are needed
)

// RetryBudget limits retries to a fraction of the requests, so that retries
// don't multiply the load on a failing target. It is not safe for concurrent
// use.
type RetryBudget struct{ tokens float64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() RetryBudget { return RetryBudget{tokens: retryBurst} }

// Deposit credits the budget for one request.
func (b *RetryBudget) Deposit() { b.tokens = min(b.tokens+retryRatio, retryBurst) }

// Available reports whether the budget covers a retry.
func (b *RetryBudget) Available() bool { return b.tokens >= 1 }

// Withdraw charges one retry to the budget.
func (b *RetryBudget) Withdraw() { b.tokens = max(b.tokens-1, 0) }
