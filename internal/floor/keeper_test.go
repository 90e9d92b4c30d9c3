package floor

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// play lets the hosts act as drawn: a move per step, moves while they wait.
func play(w *world, steps []int) string {
	for _, step := range steps {
		w.mu.Lock()
		w.acting = step % 2
		w.mu.Unlock()
		w.act(1+step/2, w.hosts[step%2])
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failure
}

func TestFloorIsNeverBelowTheLastAcknowledgedWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		moves := rapid.SliceOfN(rapid.IntRange(0, 6), 0, 60).Draw(t, "moves")
		steps := rapid.SliceOfN(rapid.IntRange(0, 11), 1, 30).Draw(t, "steps")
		if failure := play(newWorld(moves), steps); failure != "" {
			t.Fatalf("%s", failure)
		}
	})
}

// breaks tells whether a floor falls below an acknowledged write in one of n
// seeded histories.
func breaks(n int, change func(*world)) bool {
	random := rand.New(rand.NewPCG(1, 2))
	for range n {
		w := newWorld(drawMoves(random, 60, 7))
		change(w)
		if play(w, drawMoves(random, 30, 12)) != "" {
			return true
		}
	}
	return false
}

// The property must be able to fail: it does without either check.
func TestFloorsFallBehindWithoutLockChecks(t *testing.T) {
	qt.Check(t, breaks(2000, func(*world) {}), qt.IsFalse)
	qt.Check(t, breaks(10_000, func(w *world) { w.uncheckedAnswers = true }), qt.IsTrue)
	qt.Check(t, breaks(10_000, func(w *world) { w.uncheckedCommits = true }), qt.IsTrue)
}

func drawMoves(random *rand.Rand, n, kinds int) []int {
	moves := make([]int, n)
	for i := range moves {
		moves[i] = random.IntN(kinds)
	}
	return moves
}

func TestCoalescerRunsAfterEachCallWithItsKey(t *testing.T) {
	began := make(chan []string)
	finish := make(chan struct{})
	c := newCoalescer(func(keys []string) (int, error) {
		began <- keys
		<-finish
		return len(keys), nil
	})
	var callers sync.WaitGroup
	ask := func(key string) {
		callers.Go(func() { _, _ = c.do(context.Background(), key) })
	}
	ask("first")
	qt.Assert(t, <-began, qt.DeepEquals, []string{"first"})
	later := c.join("second")
	c.join("third")
	finish <- struct{}{}
	qt.Assert(t, <-began, qt.HasLen, 2)
	finish <- struct{}{}
	<-later.done
	qt.Assert(t, later.value, qt.Equals, 2)
	callers.Wait()
}
