package membudget

import (
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func soon() time.Time { return time.Now().Add(10 * time.Millisecond) }

// A holder that releases twice must not make room for more than the budget.
func TestBudgetBoundsWhatIsHeld(t *testing.T) {
	b := New("test_bound", 10)
	first, second := b.Acquire(5, soon()), b.Acquire(5, soon())
	qt.Assert(t, first != nil && second != nil, qt.IsTrue)
	qt.Check(t, b.Acquire(5, soon()), qt.IsNil)
	first.Release()
	first.Release()
	third := b.Acquire(5, soon())
	qt.Assert(t, third, qt.IsNotNil)
	qt.Check(t, b.Acquire(5, soon()), qt.IsNil)
	runtime.KeepAlive(second)
	runtime.KeepAlive(third)
}

// A waiter gets what is released before its deadline.
func TestAcquireWaitsForRelease(t *testing.T) {
	b := New("test_wait", 10)
	h := b.Acquire(10, soon())
	time.AfterFunc(20*time.Millisecond, h.Release)
	qt.Check(t, b.Acquire(10, time.Now().Add(5*time.Second)), qt.IsNotNil)
}

// An answer that nobody delivers must not keep its part of the budget.
func TestUnreferencedHoldIsReleased(t *testing.T) {
	b := New("test_lost", 10)
	qt.Assert(t, b.Acquire(10, soon()), qt.IsNotNil)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		runtime.GC()
		if b.Acquire(10, soon()) != nil {
			return
		}
	}
	t.Fatal("the hold was not released")
}

func TestNilBudgetHasNoBound(t *testing.T) {
	var b *Budget
	h := b.Acquire(1<<40, soon())
	qt.Assert(t, h, qt.IsNotNil)
	h.Release()
}
