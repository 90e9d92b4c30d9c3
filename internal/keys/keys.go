// Package keys decides whether a caller's key permits a request, and how far the
// configuration that says so may be trusted. It has no clock and no state.
package keys

import (
	"crypto/sha256"
	"encoding/hex"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Verdict is what a version of the configuration says about a key.
type Verdict uint8

// The verdicts.
const (
	NotNeeded Verdict = iota // the route is public, or there are no customers
	Accepted                 // a customer holds the key
	Unknown                  // no customer holds the key
	Moved                    // a customer other than the expected one holds the key
)

// String returns the name used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{NotNeeded: "not_needed", Accepted: "accepted", Unknown: "unknown", Moved: "moved"}[v]
}

// Check looks up a caller's key. The customer is the one for whom a request may run, ""
// for none. A missing key is unknown. Callers of a public route need no key.
func Check(c *catalog.Configuration, public bool, key string) (topology.CustomerID, Verdict) {
	if public || c == nil || len(c.Customers) == 0 {
		return "", NotNeeded
	}
	if key == "" {
		return "", Unknown
	}
	customer, ok := c.CustomerByKey(key)
	if !ok {
		return "", Unknown
	}
	return customer.ID, Accepted
}

// CheckBound is like Check for a request of a transaction that runs for the customer
// bound. Such a transaction goes on if its route became public or the customers
// disappeared.
func CheckBound(c *catalog.Configuration, public bool, key string, bound topology.CustomerID) Verdict {
	customer, verdict := Check(c, public, key)
	if verdict == Accepted && customer != bound {
		return Moved
	}
	return verdict
}

// hashBytes is the length of the logged hash. It tells the keys of one incident apart, and
// is too short to confirm a guess of the key.
const hashBytes = 4

// Hash returns a short hash of a key for logs, or "" if there is no key.
func Hash(key string) string {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:hashBytes])
}
