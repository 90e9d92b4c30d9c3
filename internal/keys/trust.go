package keys

import "time"

// Policy bounds how long the configuration is trusted without news from the store.
type Policy struct {
	Strict  bool          // no key is accepted while the configuration is unconfirmed
	Timeout time.Duration // age of the newest read from which on the configuration is unconfirmed; 0: never
}

// Trust states how far the known configuration decides about keys.
type Trust uint8

// The states.
const (
	// Confirmed: the configuration was read recently enough to accept and to reject keys.
	Confirmed Trust = iota + 1
	// Lax: the configuration may be outdated. Keys in it are still accepted. Other keys
	// may have been added since, so they aren't rejected as unknown.
	Lax
	// Distrusted: the configuration may be outdated, and no key is accepted.
	Distrusted
)

// String returns the name used in logs, metrics and the state dump.
func (t Trust) String() string {
	return [...]string{"not_assessed", Confirmed: "confirmed", Lax: "unconfirmed", Distrusted: "distrusted"}[t]
}

// Assess decides how far the configuration is trusted. age is the time since the request
// of the newest read was sent that found no newer version than the known one.
func (p Policy) Assess(age time.Duration) Trust {
	switch {
	case p.Timeout <= 0 || age <= p.Timeout:
		return Confirmed
	case p.Strict:
		return Distrusted
	}
	return Lax
}

const (
	// frozenIntervals is the number of missed assessments after which the process counts as
	// having been frozen. Under load a few are late.
	frozenIntervals = 4
	// newsWait is how long after a freeze requests are held until the configuration is
	// confirmed: some rounds of gossip and the transfer of a configuration. Statements that
	// arrived during the freeze would otherwise run with keys that were removed meanwhile.
	newsWait = 500 * time.Millisecond
)

// WasFrozen reports whether the process didn't run between two assessments, which are due at
// an interval. last is zero if now is the first one.
func WasFrozen(last, now time.Time, interval time.Duration) bool {
	return !last.IsZero() && now.Sub(last) > frozenIntervals*interval
}

// AwaitsNews reports whether requests are held until the configuration is confirmed. wokeAt
// is the end of the last freeze, zero if there was none.
func AwaitsNews(t Trust, wokeAt, now time.Time) bool {
	return t != Confirmed && !wokeAt.IsZero() && now.Sub(wokeAt) < newsWait
}

// Outcome is the decision about one request.
type Outcome uint8

// The outcomes.
const (
	Permit      Outcome = iota
	Reject              // definitely no valid key
	Unconfirmed         // the key can't be judged at the moment
)

// Decide combines the verdict about a key with the trust in the configuration.
func Decide(v Verdict, t Trust) Outcome {
	switch {
	case v == NotNeeded, v == Accepted && t != Distrusted:
		return Permit
	case v == Accepted, t != Confirmed:
		return Unconfirmed
	}
	return Reject
}
