package statement

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// A target that resets new connections may be at its connection limit for as long
// as it keeps the connections of hosts that lost power. After maxMuteTime it counts
// as serving nobody.
func TestMuteTimeCountsFromTheFirstMuteDial(t *testing.T) {
	mute := &DialError{Outcome: DialMute, Cause: errors.New("EOF")}
	full := &DialError{Outcome: DialRejected, Code: TooMany, Cause: errors.New("full")}
	now := time.Unix(1_000_000, 0)
	var m Mute
	qt.Check(t, m.Note(mute, now), qt.IsTrue)
	qt.Check(t, m.Note(mute, now.Add(maxMuteTime-time.Millisecond)), qt.IsTrue)
	qt.Check(t, m.Note(mute, now.Add(maxMuteTime)), qt.IsFalse)
	qt.Check(t, m.Note(full, now.Add(maxMuteTime)), qt.IsTrue)
	qt.Check(t, m.Note(mute, now.Add(2*maxMuteTime)), qt.IsTrue)
	qt.Check(t, m.Note(nil, now.Add(3*maxMuteTime)), qt.IsTrue)
	qt.Check(t, m.Note(mute, now.Add(4*maxMuteTime)), qt.IsTrue)
}
