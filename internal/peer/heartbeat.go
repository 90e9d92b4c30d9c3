package peer

import "time"

const (
	heartbeatService  = "Peer"
	heartbeatMethod   = "Peer.Heartbeat"
	heartbeatInterval = 150 * time.Millisecond // only while a call waits for its answer
	patientInterval   = time.Second            // while only patient calls wait
	lookInterval      = heartbeatInterval / 2  // between looks at a connection with waiting calls
	firstLook         = heartbeatInterval / 4  // after a call began that has no answer yet
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

// calls counts the calls that wait for an answer.
type calls struct{ prompt, patient int }

func (c calls) none() bool { return c.prompt == 0 && c.patient == 0 }

// quietLimit is how long nothing may arrive before a heartbeat is sent.
func (c calls) quietLimit() time.Duration {
	if c.prompt > 0 {
		return heartbeatInterval
	}
	return patientInterval
}

// judge decides from how long nothing has arrived, which calls wait, for how
// long a heartbeat has been on its way (negative: none is) and how long ago
// the last call began.
func judge(quiet time.Duration, waiting calls, heartbeatFor, lastCall time.Duration) verdict {
	silent := min(quiet, heartbeatFor)
	switch {
	case silent >= silentAfter:
		return tooQuiet
	case heartbeatFor >= 0:
		return keep
	case !waiting.none() && quiet >= waiting.quietLimit():
		return probe
	case waiting.none() && lastCall >= idleClose:
		return unused
	default:
		return keep
	}
}

// nextLook returns when a connection that is kept is to be judged again. Calls
// that begin meanwhile see to an earlier look themselves.
func nextLook(quiet time.Duration, waiting calls, heartbeatFor, lastCall time.Duration) time.Duration {
	switch {
	case heartbeatFor >= 0 || waiting.prompt > 0:
		return lookInterval
	case waiting.patient > 0:
		return max(patientInterval-quiet, lookInterval)
	default:
		return max(idleClose-lastCall, lookInterval)
	}
}
