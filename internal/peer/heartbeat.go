package peer

import "time"

const (
	heartbeatService  = "Peer"
	heartbeatMethod   = "Peer.Heartbeat"
	heartbeatInterval = 150 * time.Millisecond // only while a call waits for its answer
	silentAfter       = 400 * time.Millisecond // without any byte, with a heartbeat on its way
	idleClose         = 30 * time.Second       // shorter than the server's IdleLimit
)

// Empty is an argument or answer without content.
type Empty struct{}

type heartbeat struct{}

// Heartbeat answers at once; its arrival shows that the connection works.
func (*heartbeat) Heartbeat(_ *Empty, _ *Empty) error { return nil }

// verdict is what to do with a connection at a heartbeat.
type verdict int

const (
	keep     verdict = iota
	probe            // send a heartbeat
	tooQuiet         // abandon it: something forgot it, or the host stands still
	unused           // close it, nobody needs it
)

// judge decides from how long nothing has arrived, how many calls wait, for
// how long a heartbeat has been on its way (negative: none is) and how long
// ago the last call began.
func judge(quiet time.Duration, waiting int, heartbeatFor, lastCall time.Duration) verdict {
	silent := min(quiet, heartbeatFor)
	switch {
	case silent >= silentAfter:
		return tooQuiet
	case heartbeatFor >= 0:
		return keep
	case waiting > 0 && quiet >= heartbeatInterval:
		return probe
	case waiting == 0 && lastCall >= idleClose:
		return unused
	default:
		return keep
	}
}
