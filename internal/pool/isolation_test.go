package pool

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/result"
)

// Callers that time out, are released or lose their connection never cause
// another caller to get their response. Guards against reusing a connection
// after a timeout: the late response would then reach the next caller.
func TestResponsesNeverReachAnotherCaller(t *testing.T) {
	f := newFixture(t)
	const callers, rounds = 24, 60
	var wg sync.WaitGroup
	answered := make([]int, callers)
	stop := make(chan struct{})
	go breakConnections(f.fake, stop)
	for caller := range callers {
		random := rand.New(rand.NewPCG(7, uint64(caller)))
		wg.Go(func() {
			for round := range rounds {
				if echo(t, f, random, fmt.Sprintf("%d.%d%s", caller, round, strings.Repeat("x", random.IntN(4)))) {
					answered[caller]++
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	total := 0
	for _, n := range answered {
		total += n
	}
	qt.Assert(t, total > callers*rounds/4, qt.IsTrue, qt.Commentf("%d answered", total))
	state := f.mgr.Dump().(State)
	qt.Assert(t, state.Streams, qt.Equals, 0)
	qt.Assert(t, state.Slots[0].Streams, qt.Equals, 0)
	qt.Assert(t, f.fake.readInt(func() int { return f.fake.peakConns }) <= f.fake.connLimit, qt.IsTrue)
}

// echo sends one request, sometimes with a short deadline or a concurrent
// release, and reports whether the request was answered.
func echo(t *testing.T, f *fixture, random *rand.Rand, text string) bool {
	req := f.query(Write, "ECHO "+text)
	switch random.IntN(4) {
	case 0:
		req.TimeLeft = time.Duration(random.IntN(4000)) * time.Microsecond
	case 1:
		after := time.Duration(random.IntN(3000)) * time.Microsecond
		time.AfterFunc(after, func() { _ = f.mgr.Release(context.Background(), req.Stream) })
	}
	reply, err := f.exec(req)
	if err != nil {
		group := err.(*result.Error).Code.Group()
		qt.Check(t, group == result.GroupNotRun || group == result.GroupUnknown, qt.IsTrue, qt.Commentf("%v", err))
		return false
	}
	qt.Check(t, messageTypes(reply.Messages), qt.Equals, "DC")
	qt.Check(t, bytes.Contains(reply.Messages, []byte(text)), qt.IsTrue, qt.Commentf("%s got %q", text, reply.Messages))
	return true
}

// breakConnections closes a connection of the target at intervals until stop is
// closed.
func breakConnections(f *fakeTarget, stop chan struct{}) {
	ticker := time.NewTicker(15 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		f.withLock(func() {
			for c := range f.conns {
				_ = c.Close()
				return
			}
		})
	}
}
