package statement

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// A target that resets new connections may be at its connection limit for as long
// as it keeps the connections of hosts that lost power. After maxHandshakeOutage it counts
// as serving nobody.
func TestMuteTimeCountsFromTheFirstMuteDial(t *testing.T) {
	mute := &DialError{Outcome: DialNoHandshake, Cause: errors.New("EOF")}
	full := &DialError{Outcome: DialRejected, Code: TooManyConnections, Cause: errors.New("full")}
	now := time.Unix(1_000_000, 0)
	var m HandshakeMonitor
	qt.Check(t, m.RecordDial(mute, now), qt.IsTrue)
	qt.Check(t, m.RecordDial(mute, now.Add(maxHandshakeOutage-time.Millisecond)), qt.IsTrue)
	qt.Check(t, m.RecordDial(mute, now.Add(maxHandshakeOutage)), qt.IsFalse)
	qt.Check(t, m.RecordDial(full, now.Add(maxHandshakeOutage)), qt.IsTrue)
	qt.Check(t, m.RecordDial(mute, now.Add(2*maxHandshakeOutage)), qt.IsTrue)
	qt.Check(t, m.RecordDial(nil, now.Add(3*maxHandshakeOutage)), qt.IsTrue)
	qt.Check(t, m.RecordDial(mute, now.Add(4*maxHandshakeOutage)), qt.IsTrue)
}
