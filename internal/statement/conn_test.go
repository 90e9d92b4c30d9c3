package statement

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

// A target that resets new connections may be at its limit, for as long as it
// keeps those of hosts without power. After that it serves nobody.
func TestMuteCountsFromTheFirstDialWithoutAWord(t *testing.T) {
	mute := &DialError{Outcome: DialMute, Cause: errors.New("EOF")}
	full := &DialError{Outcome: DialRejected, Code: TooMany, Cause: errors.New("full")}
	now := time.Unix(1_000_000, 0)
	var m Mute
	qt.Check(t, m.Note(mute, now), qt.IsTrue)
	qt.Check(t, m.Note(mute, now.Add(muteFor-time.Millisecond)), qt.IsTrue)
	qt.Check(t, m.Note(mute, now.Add(muteFor)), qt.IsFalse)
	qt.Check(t, m.Note(full, now.Add(muteFor)), qt.IsTrue)
	qt.Check(t, m.Note(mute, now.Add(2*muteFor)), qt.IsTrue)
	qt.Check(t, m.Note(nil, now.Add(3*muteFor)), qt.IsTrue)
	qt.Check(t, m.Note(mute, now.Add(4*muteFor)), qt.IsTrue)
}
