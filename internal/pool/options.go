package pool

import (
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Freshness estimates how stale a target's data is.
type Freshness interface {
	// Age returns an upper bound on the age of data at the log position
	// applied, and false if no bound is known.
	Age(group topology.GroupID, applied topology.Position) (time.Duration, bool)
}

// Options configures a Manager. Confirm and Freshness may be nil: commits are
// then answered without confirmation, and the age of data is unknown.
type Options struct {
	Self      topology.Host
	Boot      uint64 // identifies this process, as in the StreamIDs of its callers
	Login     target.Login
	Dial      target.DialFunc // nil: net.Dialer
	Confirm   Confirmer
	Freshness Freshness
	Peers     peer.Caller // nil: streams of a failed entry host end only when their idle timeout expires
	Log       logr.Logger

	// Primary returns the highest known term of a group and the primary of that
	// term. If Primary is nil, writes at a replaced primary that is silent end
	// only at their deadline.
	Primary func(topology.GroupID) (term uint64, primary topology.TargetID, ok bool)

	// AnyHostLeaving reports whether any host is leaving. Such a host keeps its slot
	// locks until its streams have ended, so a refused lock does not mean that
	// its owner is silent. If AnyHostLeaving is nil, no host is taken to be leaving.
	AnyHostLeaving func() bool

	// OnCommit is called for a request with a session, before its commit is
	// answered. The slot lock was verified after the commit.
	OnCommit func(id topology.TargetID, slot int, session string, position topology.Position)
	// OnLock is called when a slot lock was acquired, before VerifySlot
	// succeeds and before any request runs on the slot. Cached state of the
	// slot's sessions may be outdated, because another host may have held the
	// lock in the meantime.
	OnLock func(id topology.TargetID, slot int)
	// OnStatus is called for each status of a held target. For each failed
	// connect or status it is called with an error of type *HealthError and a
	// Status that names only the target.
	OnStatus func(st target.Status, err error, sentAt time.Time)
	// OnUsage is called for each batch that a target answered, even if its
	// commit is not confirmed in time. It returns the customer's meter
	// including the batch.
	OnUsage func(customer topology.CustomerID, group topology.GroupID, used Usage) Meter
}

// HeldSlot is a slot that this host should hold.
type HeldSlot struct {
	Target   topology.Target
	Slot     int
	Takeover bool // the previous holder is gone or silent; its connection may be closed at once
}

// reservedConnections is how many connections of each target are left for
// probes and for a new holder that takes over a slot.
const reservedConnections = 2

// slotShare returns how many connections a slot may open, including its control
// connection. It leaves at least one data connection.
func slotShare(t topology.Target) int {
	share := (t.Connections - reservedConnections) / max(t.Slots, 1)
	return max(share, 2)
}
