package duty

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/confirm"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Kind is the kind of the store objects that contain claims, one per group.
const Kind = "nettlewalk-duties"

// Claim records which host holds a group's duty. A claim with a higher token
// supersedes one with a lower token.
type Claim struct {
	Group    topology.GroupID `json:"group"`
	Holder   topology.HostID  `json:"holder"`             // the holder's peer address
	Name     string           `json:"name"`               // the holder's host name, as the platform knows it
	Boot     uint64           `json:"boot"`               // identifies the holder's process across restarts
	Token    uint64           `json:"token"`              // fencing token
	Released bool             `json:"released,omitempty"` // the holder gave the duty up
	// Leadership is what the holder recorded for its successors. Update increases
	// with each record under the same token.
	Leadership
	Update uint64 `json:"update,omitempty"`
	// Electorate lists the voters on the group's commits. The store has it before any host
	// does, and none with a lower epoch replaces it.
	Electorate confirm.Electorate `json:"electorate,omitzero"`
}

// Leadership is a holder's knowledge of its group that its successor needs where
// neither the platform nor a replaced primary tells it.
type Leadership struct {
	// Leader is the target that led last, and Term a lower bound of its term.
	Leader topology.TargetID `json:"leader,omitempty"`
	Term   uint64            `json:"term,omitempty"`
	// Ordered is a target for which a promotion request was sent that may still be
	// carried out.
	Ordered topology.TargetID `json:"ordered,omitempty"`
}

// supersedes reports whether c is newer than old, a claim on the same group.
func (c *Claim) supersedes(old *Claim) bool {
	if c.Token != old.Token {
		return c.Token > old.Token
	}
	return c.Update > old.Update || c.Released && !old.Released
}

// sameTenure reports whether both claims are of one holder under one token.
func (c *Claim) sameTenure(other *Claim) bool {
	return c.Token == other.Token && c.Holder == other.Holder && c.Boot == other.Boot
}

const (
	// TakeoverAfter is how long the holder must have been silent before
	// another host acquires its duty: for this long, no host has heard from it
	// directly or by gossip. It equals five rounds of gossip.
	TakeoverAfter = 1500 * time.Millisecond
	// RequestEffectWindow is how long after the last sign of life from a
	// holder one of its promotion requests may still take effect. A holder
	// sends none after 800 ms without contact, and a request takes effect
	// within 1.2 s.
	RequestEffectWindow = 2 * time.Second
	// unknownClaimWait is how long a host that knows no claim for a group
	// waits for other hosts to report one before it acquires the duty: some
	// rounds of gossip. When all hosts start at once, each one knows only a
	// few others at first and would rank itself first.
	unknownClaimWait = 800 * time.Millisecond
	// rankDelay keeps hosts from racing for a duty: every host waits this
	// long per rank. A write to the store takes some milliseconds.
	rankDelay = 300 * time.Millisecond
)

// tokenEraShift is the number of bits of a token below the store's era.
const tokenEraShift = 32

// nextToken returns the token of the next claim after one with the token last. Tokens of
// a later era of the store are higher than all of earlier ones, also of claims that the
// store and all hosts have lost.
func nextToken(last, era uint64) uint64 { return max(last, era<<tokenEraShift) + 1 }

// electionState is the input of shouldAcquire: what a host knows when it
// decides whether to acquire a group's duty.
type electionState struct {
	connected       bool // hosts in most failure domains answered recently
	largeFleet      bool // see Hosts.LargeFleet
	self            topology.HostID
	boot            uint64
	claim           Claim         // zero if no claim is known
	holderSilentFor time.Duration // time since the holder was last heard from
	rank            int           // of this host among the live hosts; 0 is first
	waited          time.Duration // time since this host first saw that nobody holds the duty
}

// shouldAcquire reports whether the host should try to acquire the duty now.
func shouldAcquire(s electionState) bool {
	heldHere := s.claim.Holder == s.self && s.claim.Boot == s.boot && !s.claim.Released
	if heldHere || !s.connected {
		return false
	}
	rankWait := time.Duration(s.rank) * rankDelay
	switch {
	case s.claim.Token == 0:
		return s.waited >= unknownClaimWait+rankWait
	case s.claim.Released:
		return s.waited >= rankWait
	case s.claim.Holder == s.self: // held by an earlier process of this host
		return true
	}
	return s.holderSilentFor >= TakeoverTime(s.largeFleet)+rankWait
}

// TakeoverTime returns how long a holder must have been silent before another host
// acquires its duty.
func TakeoverTime(largeFleet bool) time.Duration {
	if largeFleet {
		return 2 * TakeoverAfter
	}
	return TakeoverAfter
}
