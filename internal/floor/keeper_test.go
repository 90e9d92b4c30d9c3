package floor

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// runHistory runs one move per step and returns the first violation, or "". The
// drawn moves of sim are interleaved while a host waits for a target.
func runHistory(sim *simulation, steps []int) string {
	for _, step := range steps {
		sim.mu.Lock()
		sim.active = step % 2
		sim.mu.Unlock()
		sim.makeMove(1+step/2, sim.hosts[step%2])
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.failure
}

func TestFloorIsNeverBelowTheLastAcknowledgedWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		moves := rapid.SliceOfN(rapid.IntRange(0, 6), 0, 60).Draw(t, "moves")
		steps := rapid.SliceOfN(rapid.IntRange(0, 11), 1, 30).Draw(t, "steps")
		if failure := runHistory(newSimulation(moves), steps); failure != "" {
			t.Fatalf("%s", failure)
		}
	})
}

// violatesFloor reports whether a floor falls below an acknowledged write in any of
// the seeded random histories.
func violatesFloor(histories int, change func(*simulation)) bool {
	random := rand.New(rand.NewPCG(1, 2))
	for range histories {
		sim := newSimulation(randomMoves(random, 60, 7))
		change(sim)
		if runHistory(sim, randomMoves(random, 30, 12)) != "" {
			return true
		}
	}
	return false
}

// Verifies that the property test can detect a fault: the property must fail when
// either lock check is disabled.
func TestFloorPropertyFailsWithoutLockChecks(t *testing.T) {
	qt.Check(t, violatesFloor(2000, func(*simulation) {}), qt.IsFalse)
	qt.Check(t, violatesFloor(10_000, func(sim *simulation) { sim.skipAnswerLockCheck = true }), qt.IsTrue)
	qt.Check(t, violatesFloor(10_000, func(sim *simulation) { sim.skipCommitLockCheck = true }), qt.IsTrue)
}

func randomMoves(random *rand.Rand, n, kinds int) []int {
	moves := make([]int, n)
	for i := range moves {
		moves[i] = random.IntN(kinds)
	}
	return moves
}

func TestCoalescerRunStartsAfterCallAndIncludesKey(t *testing.T) {
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

// The number of slots changes from 1 to 2; hosts that don't know yet write through slot 0.
func TestFloorCoversWritesOfHostsThatKnowAnotherNumberOfSlots(t *testing.T) {
	sim := newSimulation(nil)
	h := sim.hosts[0]
	sim.takeLock(0)
	session := "s"
	for SlotOf(session, 2) != 1 {
		session += "s"
	}
	floorAtSlot := func(slot int) topology.Position {
		floors, err := h.keeper.Floors(context.Background(), "g", targetID(0), slot, []string{session})
		qt.Assert(t, err, qt.IsNil)
		return floors[0]
	}
	floorAtSlot(0)
	floorAtSlot(1)
	sim.received[0], sim.received[1] = pos(1), pos(1)
	h.keeper.OnCommit(targetID(0), SlotOf(session, 1), session, pos(1))
	qt.Check(t, floorAtSlot(SlotOf(session, 1)), qt.Equals, pos(1))
	qt.Check(t, floorAtSlot(SlotOf(session, 2)), qt.Equals, pos(1))
}
