// Package retry bounds retries to a part of the first sendings, so that they don't
// multiply the load when many targets fail at once. With half of the targets failing and
// four tries for each statement, targets would otherwise get almost twice the statements.
package retry

// Ratio is how many retries a first sending earns. Targets have about a third of their
// capacity to spare, so that a tenth more statements doesn't overload those that are left.
const Ratio = 0.1

const (
	// FleetReserve is how many retries all hosts together may send above Ratio. It covers
	// the statements in flight when the targets of one failure domain fail at once:
	// 8 targets with 73 connections each, rounded up.
	FleetReserve = 640
	// MinReserve is the least reserve of one host: all retries of one statement, of which
	// a less urgent one may use two. At 4,500 hosts this is 18,000 retries, less than
	// 0.2 % of what they send in a second.
	MinReserve = 4
	// urgentPart is the part of the reserve that only urgent statements use.
	urgentPart = 1.0 / 3
)

// Budget is a number of retries that first sendings earn, up to a reserve. It is not safe
// for concurrent use.
type Budget struct{ tokens, reserve float64 }

// NewBudget returns a full budget.
func NewBudget(reserve float64) Budget { return Budget{tokens: reserve, reserve: reserve} }

// Deposit credits the budget for one first sending.
func (b *Budget) Deposit() { b.DepositPart(1) }

// DepositPart credits a part of what a first sending earns. Two hosts that share the work
// for a statement share what it earns.
func (b *Budget) DepositPart(part float64) { b.tokens = min(b.tokens+part*Ratio, b.reserve) }

// Available reports whether the budget covers a retry.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Withdraw charges one retry to the budget.
func (b *Budget) Withdraw() { b.tokens = max(b.tokens-1, 0) }

// Refund takes back the charge of a retry that wasn't sent.
func (b *Budget) Refund() { b.tokens = min(b.tokens+1, b.reserve) }

// Covers reports whether the budget covers a retry of an urgent, or of any other, statement.
func (b *Budget) Covers(urgent bool) bool {
	if urgent {
		return b.Available()
	}
	return b.tokens-1 >= b.reserve*urgentPart
}

// SetReserve changes the reserve. What it rises by can be used at once, so that the bound on
// retries holds only for callers that raise it once.
func (b *Budget) SetReserve(reserve float64) {
	b.tokens = min(b.tokens+max(reserve-b.reserve, 0), reserve)
	b.reserve = reserve
}

// Tokens returns how many retries the budget covers, and its reserve.
func (b *Budget) Tokens() (tokens, reserve float64) { return b.tokens, b.reserve }

// HostReserve returns the reserve of each of a number of hosts.
func HostReserve(hosts int) float64 { return max(FleetReserve/float64(max(hosts, 1)), MinReserve) }
