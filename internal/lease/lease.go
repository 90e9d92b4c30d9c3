package lease

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	// Lifetime is how long a lease is valid after its request was sent. Hosts renew
	// leases about every 300 ms, so some renewals may fail.
	Lifetime = 1 * time.Second
	// maxClockDrift is the largest difference in speed between the steady clocks of
	// two hosts, as a part of 1/maxClockDriftDivisor.
	maxClockDriftDivisor = 50
	// MaxLifetime is how long after a grant the grantor's clock may still show a
	// valid lease.
	MaxLifetime = Lifetime + Lifetime/maxClockDriftDivisor
	// answerGrace is how long after a confirmed revocation answers of the former
	// leader still count. It is shorter than a promotion takes at the least (see
	// promotion.MinEffectDelay), which begins after the confirmation.
	answerGrace = 80 * time.Millisecond
)

// Lease is the right to use a target as the leader of its group.
type Lease struct {
	Group  topology.GroupID
	Target topology.TargetID
	Token  uint64 // fencing token of the holder that granted it
}
