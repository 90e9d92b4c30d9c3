package gossip

import "time"

const (
	// ContactWindow is how long a host counts as reachable after this host sent it a
	// request that it answered: a little over two rounds.
	ContactWindow = 800 * time.Millisecond
	// NewsDelay is how long news takes to reach a host that has come into contact
	// again: two rounds and the time of an exchange.
	NewsDelay = 2*roundInterval + 100*time.Millisecond
)

// Contact is the contact with a host or a failure domain: the present series of
// answers without a gap of ContactWindow. The zero value has no contact. It reads
// no clock; times are those of package steady, which advances during a suspension.
type Contact struct {
	since time.Time // when the first answer of the series arrived
	last  time.Time // send time of the latest request that was answered
}

// Record records at the time now the answer to a request sent at sentAt.
func (c *Contact) Record(sentAt, now time.Time) {
	if sentAt.Sub(c.last) >= ContactWindow {
		c.since = now
	}
	c.last = laterOf(c.last, sentAt)
}

// Connected reports whether a request of the last ContactWindow was answered.
func (c *Contact) Connected(now time.Time) bool { return now.Sub(c.last) < ContactWindow }

// Settled reports whether this host has heard of everything that concerns a duty
// which it acquired at the time acquired: the contact began before that, or has
// lasted for longer than NewsDelay.
func (c *Contact) Settled(acquired, now time.Time) bool {
	return c.Connected(now) && (!c.since.After(acquired) || now.Sub(c.since) > NewsDelay)
}
