package pool

import (
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Freshness tells how old a target's data is at most.
type Freshness interface {
	// Age returns an upper bound on the age of data at position applied, false
	// when none is known.
	Age(group topology.GroupID, applied topology.Position) (time.Duration, bool)
}

// Options are what a Manager needs. Confirm and Freshness may be nil:
// commits are then answered unconfirmed, and ages are unknown.
type Options struct {
	Self      topology.Host
	Boot      uint64 // of this process, as in its callers' StreamIDs
	Login     target.Login
	Dial      target.DialFunc // nil dials directly
	Confirm   Confirmer
	Freshness Freshness
	Peers     peer.Caller // nil: streams of entry hosts that died end only after their idle time
	Log       logr.Logger

	// Primary returns the highest term that is known of a group and its primary.
	// nil: writes at a replaced primary that is silent end at their deadline.
	Primary func(topology.GroupID) (term uint64, primary topology.TargetID, ok bool)

	// Handovers tells whether a host is leaving: its slots' locks are then
	// refused for as long as its streams take to end. nil: none is.
	Handovers func() bool

	// OnCommit is called before a commit is answered whose request names a
	// session; the slot's lock was held after the commit.
	OnCommit func(id topology.TargetID, slot int, session string, position topology.Position)
	// OnLock is called when a slot's lock was taken, before VerifySlot succeeds
	// and any request runs there: what was known of its sessions may be outdated.
	OnLock func(id topology.TargetID, slot int)
	// OnStatus is called for each status of a held target, and with an error of
	// type *HealthError and a Status that names only the target for each
	// failed connect or status.
	OnStatus func(st target.Status, err error, sentAt time.Time)
	// OnUsage is called for each batch that a target answered, also when its
	// commit isn't confirmed in time, and returns the customer's meter after it.
	OnUsage func(customer topology.CustomerID, group topology.GroupID, used Usage) Meter
}

// Held is a slot that this host has to hold.
type Held struct {
	Target   topology.Target
	Slot     int
	Takeover bool // the predecessor is gone or silent: its connection may be ended at once
}

// reservedConnections of a target are left for probes and a successor's takeover.
const reservedConnections = 2

// slotShare returns how many connections a slot may open, its control
// connection included: at least one beside that.
func slotShare(t topology.Target) int {
	share := (t.Connections - reservedConnections) / max(t.Slots, 1)
	return max(share, 2)
}
