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

// parts are fractions of what the allowance exceeds the limit by: of the slack, and of the
// overage. The slack is most of it for a small customer, the overage for a large one.
type parts struct{ slack, overage float64 }

var (
	// depthParts may be used for bursts and for unspent tokens.
	depthParts = parts{slack: 0.4, overage: 0.25}
	// startParts is with what a ledger begins, so that a small customer isn't refused while
	// it fills: two operations at a deputy of one domain of three. A ledger that takes over
	// from a host that is in reach begins with one, and gets what that host has left.
	startParts = parts{slack: 0.36, overage: 0.05}
	// surplusParts are sold above the rate in each window. The rate of a small customer is
	// below one operation a second in a domain that is cut off, and its callers come at
	// random.
	surplusParts = parts{slack: 0.15, overage: 0.08}
	// noticeParts may be sold with votes until their loss is noticed, in addition to what is
	// given up then (Ledger.SetShare).
	noticeParts = parts{slack: 0.1, overage: 0.2}
	// The rest covers the time in which two hosts sell with the same votes: until gossip
	// notices a loss of contact, or until a host is told to stop.
)

func (p parts) of(b Bounds, l Limit) float64 {
	return p.slack*b.Slack + p.overage*b.Overage*(l.Rate*b.Window.Seconds()+l.Burst)
}

// depth is the limit on the tokens that a ledger has and those that it has sold and that
// may be unspent, together.
func (b Bounds) depth(l Limit) float64 { return l.Burst + depthParts.of(b, l) }

// start is the number of tokens with which a ledger begins.
func (b Bounds) start(l Limit) float64 { return startParts.of(b, l) }

// rate is the number of tokens that a ledger gets per second.
func (b Bounds) rate(l Limit) float64 { return l.Rate + surplusParts.of(b, l)/b.Window.Seconds() }
