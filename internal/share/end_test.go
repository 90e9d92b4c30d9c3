package share

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/steady"
)

// A statement that is queued when the target's notice ends must not reach it later, and one
// that arrives then is refused at once. A probe may still ask the target.
func TestEndedPoolServesNoRequests(t *testing.T) {
	p, _ := newPool(t, 1, 1)
	held := p.TryAcquire("")
	refused := make(chan error, 1)
	go func() {
		_, err := p.Acquire("", time.Now().Add(time.Minute), time.Minute, 1)
		refused <- err
	}()
	eventually(t, func() bool { return p.Load().Waiting == 1 })
	p.SetEnd(steady.Now().Add(20 * time.Millisecond))
	select {
	case err := <-refused:
		qt.Check(t, err, qt.Equals, ErrEnded)
	case <-time.After(5 * time.Second):
		t.Error("a waiting request isn't refused at the end")
	}
	qt.Check(t, p.Ended(), qt.IsTrue)
	p.Release(held, true)
	qt.Check(t, p.TryAcquire(""), qt.IsNil)
	_, err := p.Acquire("", time.Now().Add(time.Minute), time.Minute, 1)
	qt.Check(t, err, qt.Equals, ErrEnded)
	probe := p.TryAcquireAny()
	qt.Assert(t, probe, qt.IsNotNil)
	p.Release(probe, true)

	p.SetEnd(time.Time{})
	qt.Check(t, p.TryAcquire(""), qt.IsNotNil)
}

// A connection that is granted while the end comes isn't used.
func TestConnectionGrantedAtTheEndIsGivenBack(t *testing.T) {
	p, _ := newPool(t, 1, 1)
	held := p.TryAcquire("")
	refused := make(chan error, 1)
	go func() {
		_, err := p.Acquire("", time.Now().Add(time.Minute), time.Minute, 1)
		refused <- err
	}()
	eventually(t, func() bool { return p.Load().Waiting == 1 })
	p.mu.Lock()
	p.end = steady.Now() // its timer hasn't run yet
	p.mu.Unlock()
	p.Release(held, true)
	qt.Check(t, <-refused, qt.Equals, ErrEnded)
	qt.Check(t, p.Load().Idle, qt.Equals, 1)
}

// A later end, or none, replaces an earlier one, whose timer must not refuse anything.
func TestReplacedEndRefusesNothing(t *testing.T) {
	p, _ := newPool(t, 1, 1)
	held := p.TryAcquire("")
	served := make(chan error, 1)
	p.SetEnd(steady.Now().Add(20 * time.Millisecond))
	p.SetEnd(steady.Now().Add(time.Hour))
	go func() {
		_, err := p.Acquire("", time.Now().Add(time.Minute), time.Minute, 1)
		served <- err
	}()
	eventually(t, func() bool { return p.Load().Waiting == 1 })
	<-time.After(50 * time.Millisecond)
	p.Release(held, true)
	qt.Check(t, <-served, qt.IsNil)
}
