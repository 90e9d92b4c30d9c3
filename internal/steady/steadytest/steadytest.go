// Package steadytest replaces the clock of package steady in tests.
package steadytest

import (
	"testing"
	"time"

	"nettlewalk.example/nettlewalk/internal/steady/internal/clock"
)

// FollowBubble makes package steady follow the clock of time.Now until the test ends.
// In a bubble of testing/synctest, that is the bubble's clock, whereas the boot-time
// clock is real time. The replacement holds for the whole process, so the test must not
// run in parallel with others.
func FollowBubble(t testing.TB) {
	t.Helper()
	clock.Replace(time.Now)
	t.Cleanup(func() { clock.Replace(nil) })
}
