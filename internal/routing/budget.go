package routing

const (
	budgetShare = 0.1 // retries per request
	budgetBurst = 100 // retries that a quiet time saves up
)

// Budget bounds retries to a share of the requests, so that they don't
// multiply the load on a target in distress. Not safe for concurrent use.
type Budget struct{ tokens float64 }

// NewBudget returns a full budget.
func NewBudget() Budget { return Budget{tokens: budgetBurst} }

// Earn counts a request.
func (b *Budget) Earn() { b.tokens = min(b.tokens+budgetShare, budgetBurst) }

// Allows tells whether a retry can be paid.
func (b *Budget) Allows() bool { return b.tokens >= 1 }

// Spend pays one retry.
func (b *Budget) Spend() { b.tokens = max(b.tokens-1, 0) }
