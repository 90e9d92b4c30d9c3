package peer

import "time"

const (
	heartbeatService          = "Peer"
	heartbeatMethod           = "Peer.Heartbeat"
	heartbeatInterval         = 150 * time.Millisecond // time without data after which a heartbeat is sent while a call is pending
	longPollHeartbeatInterval = time.Second            // the same while only long polls are pending
	checkInterval             = heartbeatInterval / 2  // between checks of a connection with pending calls
	firstCheckDelay           = heartbeatInterval / 4  // from the start of a call to the first check while it is pending
	silenceTimeout            = 400 * time.Millisecond // time without a sign of life, with a heartbeat in flight, after which a connection is abandoned
	idleTimeout               = 30 * time.Second       // after the latest call; shorter than ServerIdleTimeout
)

// Empty is an RPC argument or answer without content.
type Empty struct{}

// heartbeat is the RPC service that answers heartbeats.
type heartbeat struct{}

// Heartbeat returns at once. The answer shows the client that the connection works.
func (*heartbeat) Heartbeat(_ *Empty, _ *Empty) error { return nil }

// connAction is what to do with a connection after a check.
type connAction int

const (
	keepOpen       connAction = iota
	startHeartbeat            // send a heartbeat
	abandonSilent             // close it: a middlebox dropped its state, or the host hangs
	closeUnused               // close it: no call has used it for idleTimeout, or it is retired
)

// pendingCalls counts the calls without an answer yet, other than heartbeats:
// prompt those that aren't long polls.
type pendingCalls struct{ prompt, longPoll int }

func (c pendingCalls) empty() bool { return c.prompt == 0 && c.longPoll == 0 }

// heartbeatAfter returns the time without data after which a heartbeat is sent.
func (c pendingCalls) heartbeatAfter() time.Duration {
	if c.prompt > 0 {
		return heartbeatInterval
	}
	return longPollHeartbeatInterval
}

// chooseAction returns what to do with a connection. quietFor is the time since
// its peer's last sign of life (see silence), heartbeatAge the time since the heartbeat in flight was sent
// (negative: none is in flight) and sinceLastCall the time since the latest call
// began.
func chooseAction(quietFor time.Duration, pending pendingCalls, heartbeatAge, sinceLastCall time.Duration) connAction {
	silentFor := min(quietFor, heartbeatAge)
	switch {
	case silentFor >= silenceTimeout:
		return abandonSilent
	case heartbeatAge >= 0:
		return keepOpen
	case !pending.empty() && quietFor >= pending.heartbeatAfter():
		return startHeartbeat
	case pending.empty() && sinceLastCall >= idleTimeout:
		return closeUnused
	default:
		return keepOpen
	}
}

// nextCheckDelay returns the time until the next check of a connection that stays
// open. A call that begins earlier schedules a check itself (see trackPending).
func nextCheckDelay(quietFor time.Duration, pending pendingCalls, heartbeatAge, sinceLastCall time.Duration) time.Duration {
	switch {
	case heartbeatAge >= 0 || pending.prompt > 0:
		return checkInterval
	case pending.longPoll > 0:
		return max(longPollHeartbeatInterval-quietFor, checkInterval)
	default:
		return max(idleTimeout-sinceLastCall, checkInterval)
	}
}
