package lease

import "time"

// Held is a host's latest lease on one group. It reads no clock; the caller passes the
// time of package steady.
type Held struct {
	lease     Lease
	sentAt    time.Time // when its request was sent
	endedAt   time.Time // when it was revoked; zero if it wasn't
	revokedAt time.Time // when a lease on the group was last revoked
}

// ValidAt reports whether the lease is valid.
func (h *Held) ValidAt(now time.Time) bool {
	return h.lease.Target != "" && h.endedAt.IsZero() && now.Sub(h.sentAt) < Lifetime
}

// CoversAt reports whether an answer that arrives now may be passed on.
func (h *Held) CoversAt(now time.Time) bool {
	if h.endedAt.IsZero() {
		return h.ValidAt(now)
	}
	return now.Sub(h.endedAt) < answerGrace && now.Sub(h.sentAt) < Lifetime
}

// Note records a granted lease whose request was sent at sentAt. It ignores a grant
// that may be older than a revocation, and one of an earlier holder.
func (h *Held) Note(l Lease, sentAt time.Time) {
	if !sentAt.After(h.revokedAt) || l.Token < h.lease.Token {
		return
	}
	if l.Token == h.lease.Token && sentAt.Before(h.sentAt) {
		return // answers came out of order
	}
	h.lease, h.sentAt, h.endedAt = l, sentAt, time.Time{}
}

// Revoke ends the lease. A revocation by an earlier holder has no effect.
func (h *Held) Revoke(token uint64, now time.Time) {
	if token < h.lease.Token {
		return
	}
	if h.ValidAt(now) {
		h.endedAt = now
	}
	h.revokedAt = now
}

// Lease returns the latest lease, valid or not.
func (h *Held) Lease() Lease { return h.lease }
