package peer

import "time"

// largeBacklog is the number of bytes that a connection has been given and its peer hasn't
// acknowledged from which their progress counts as a sign of life. On a link of
// 10 Mbit/s they delay a heartbeat by 52 ms, so that smaller backlogs leave enough of
// silenceTimeout for its answer. Small requests must not count: the kernel of a host whose
// process hangs still acknowledges them, one after the other.
const largeBacklog = 64 << 10

// sendProgress tells when the peer last acknowledged bytes of a large backlog, from the
// state of the connection at successive checks. While such a backlog is being sent, a
// heartbeat waits behind it. It has no clock.
//
// Progress ends at the latest when the backlog has been sent, so a connection whose peer
// hangs is still abandoned, silenceTimeout after that. Bytes that only moved to a kernel
// buffer of this host aren't progress, except where their number can't be found out (see
// sendqueue_other.go): there, bytes in the send buffer count as delivered.
type sendProgress struct {
	delivered, backlog int64 // at the latest check
}

// check notes the present state of the connection. A state that can't be found out is no
// progress.
func (p *sendProgress) check(c *countedConn) (progress bool) {
	delivered, backlog, ok := c.delivery()
	return ok && p.note(delivered, backlog)
}

// note records the state of the connection and reports whether the peer acknowledged bytes
// of a large backlog since the previous check.
func (p *sendProgress) note(delivered, backlog int64) (progress bool) {
	progress = p.backlog >= largeBacklog && delivered > p.delivered
	p.delivered, p.backlog = delivered, backlog
	return progress
}

// silence returns for how long nothing has shown that the peer is alive: no data arrived,
// and no backlog made progress.
func silence(quietFor, sinceProgress time.Duration) time.Duration {
	return min(quietFor, sinceProgress)
}
