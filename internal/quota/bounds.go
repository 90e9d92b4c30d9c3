package quota

import "time"

// Limit is the rate of a customer over all hosts.
type Limit struct {
	Rate  float64 // operations per second; 0: no limit
	Burst float64 // operations above Rate that may run at once
}

// lowerThan reports whether the limit allows less than the other one.
func (l Limit) lowerThan(other Limit) bool { return l.Rate < other.Rate || l.Burst < other.Burst }

// Bounds states how exactly limits must be kept: in every window no more operations than
// (Rate x Window + Burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // operations
}

// Allowance returns how many operations may run in a window.
func (b Bounds) Allowance(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overage) + b.Slack
}

const (
	// depthFraction is the part of the tolerance (what the allowance exceeds the limit
	// by) that a ledger may use for its burst and for unspent tokens. The rest covers the
	// time in which two coordinators may act on the same votes.
	depthFraction = 0.4
	// startFraction is the part of the rest with which a ledger begins, so that a small
	// customer isn't refused while the ledger fills. Several ledgers may begin for a
	// customer within a window.
	startFraction = 0.125
)

func (b Bounds) tolerance(l Limit) float64 {
	return b.Allowance(l) - l.Rate*b.Window.Seconds() - l.Burst
}

// depth is the limit on the tokens that a ledger has and those that it has sold and
// that may be unspent, together.
func (b Bounds) depth(l Limit) float64 { return l.Burst + depthFraction*b.tolerance(l) }

func (b Bounds) start(l Limit) float64 {
	return startFraction * (1 - depthFraction) * b.tolerance(l)
}
