package steadytest

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/steady"
)

func TestFollowBubble(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		FollowBubble(t)
		began := steady.Now()
		time.Sleep(time.Hour)
		qt.Check(t, steady.Now().Sub(began), qt.Equals, time.Hour)
	})
	began := steady.Now()
	qt.Check(t, began.Year() < 2000, qt.IsTrue, qt.Commentf("the time since boot, not that of the calendar"))
}
