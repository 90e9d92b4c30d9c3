package line

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	// receivesNothing is the receive lag of a replica that is to receive nothing more.
	receivesNothing = time.Hour
	// expiryDelay is the time between the end of a target and that of its entry.
	expiryDelay = time.Second
	// deathDelay is longer than a holder takes to count a target that is unregistered and
	// refuses connections as ended, and to get a later position of the leader.
	deathDelay = 7500 * time.Millisecond
	// lateness is the time after which a request without an answer is carried out.
	lateness = 6 * time.Second
	// attemptEnd is longer than a holder goes on with an attempt after the leader serves again.
	attemptEnd = 500 * time.Millisecond
)

// write writes items through a host, the ids with the given prefix, and fails the test if
// one isn't acknowledged.
func (w *writer) write(t *testing.T, b *Bed, host int, prefix string, count int) {
	t.Helper()
	c := b.Dial(host, "db")
	qt.Assert(t, c, qt.IsNotNil)
	defer c.Close()
	for n := range count {
		id := fmt.Sprintf("%s%d", prefix, n)
		qt.Assert(t, c.Exec(id+" WRITE "+id+" x"), qt.Equals, "COMPLETE")
		w.acked = append(w.acked, id)
	}
}

// checkNotPromoted fails the test, which goes on, if the promotion of the target is requested
// within d.
func checkNotPromoted(t *testing.T, b *Bed, id string, d time.Duration) {
	t.Helper()
	began := time.Now()
	for !slices.Contains(b.Promotions(), id) && time.Since(began) < d {
		<-time.After(20 * time.Millisecond)
	}
	qt.Check(t, slices.Contains(b.Promotions(), id), qt.IsFalse, qt.Commentf("promotion of %s was requested within %s", id, time.Since(began).Round(10*time.Millisecond)))
}

// newSettledBed returns a bed in which all hosts know the database db2, one of them holds
// the duty, and the replicas have received the same.
func newSettledBed(t *testing.T, opts Options) *Bed {
	t.Helper()
	b := NewBedWith(t, opts)
	b.Configure(2, "db", "db2")
	for i := range b.Hosts {
		b.Eventually("second route is in effect", func() bool { return b.Dial(i, "db2") != nil })
	}
	b.Eventually("a host holds the duty", b.DutyIsHeld)
	b.awaitReplicas()
	return b
}

// awaitReplicas waits until the replicas have received the primary's log.
func (b *Bed) awaitReplicas() {
	b.Eventually("replicas have received the log", func() bool {
		end := b.Members[0].Server.Status().Received
		return b.Members[1].Server.Status().Received == end && b.Members[2].Server.Status().Received == end
	})
}

// returnSecondTarget lets hosts reach the second target again, which registers, and waits until
// the group has a leader.
func (b *Bed) returnSecondTarget(t *testing.T) {
	t.Helper()
	qt.Assert(t, b.Members[1].Link.Heal(t.Context()), qt.IsNil)
	if r := b.Members[1].relay; r != nil {
		qt.Assert(t, r.open(), qt.IsNil)
	}
	b.Register(b.Members[1], "ready")
	b.Eventually("group has a leader", func() bool { return b.Dial(0, "db2").Exec("x READ nothing") == "COMPLETE" })
}

// holder returns the index of the host that holds the group's duty, as long as it has had
// one holder only.
func (b *Bed) holder() int {
	for i, h := range b.Hosts {
		if strings.Contains(logWithoutStatements(h.logPath), `"mine":true`) {
			return i
		}
	}
	b.tb.Fatal("no host holds the duty")
	return 0
}

// kill ends the host's process without notice and waits for that.
func (h *Host) kill(t *testing.T) {
	t.Helper()
	qt.Assert(t, h.Cmd.Process.Signal(syscall.SIGKILL), qt.IsNil)
	<-h.Done
}

// The only replica that has the acknowledged writes leaves the register, then the primary does.
func TestLineRestartedHostsRememberReplicaThatLeftTheRegister(t *testing.T) {
	b := newSettledBed(t, Options{})
	b.Members[2].Server.SetLag(receivesNothing, 0)
	w := &writer{}
	w.write(t, b, 0, "w", 20)
	qt.Assert(t, b.Members[1].Link.Cut(testbed.Upstream, testbed.Downstream), qt.IsNil)
	b.Unregister(b.Members[1])
	b.Crash(0)
	<-time.After(expiryDelay)
	b.Unregister(b.Members[0])
	for _, h := range b.Hosts {
		h.kill(t)
	}
	qt.Assert(t, b.Promotions(), qt.HasLen, 0)
	for _, h := range b.Hosts {
		b.Start(h)
	}
	checkNotPromoted(t, b, "t3", 6*time.Second)
	b.returnSecondTarget(t)
	w.checkAckedWrites(t, b)
}

// Hosts that started after such a replica had left the register take the duty.
func TestLineNewHolderRemembersReplicaThatLeftTheRegister(t *testing.T) {
	b := newSettledBed(t, Options{})
	b.Members[2].Server.SetLag(receivesNothing, 0)
	w := &writer{}
	w.write(t, b, 0, "w", 20)
	holder := b.holder()
	qt.Assert(t, b.Members[1].Link.Cut(testbed.Upstream, testbed.Downstream), qt.IsNil)
	b.Unregister(b.Members[1])
	for i, h := range b.Hosts {
		if i == holder {
			continue
		}
		h.kill(t)
		b.Start(h)
		b.Eventually("host is ready", h.IsReady)
	}
	b.Crash(0)
	<-time.After(expiryDelay)
	b.Unregister(b.Members[0])
	qt.Assert(t, b.Promotions(), qt.HasLen, 0)
	b.Hosts[holder].kill(t)
	checkNotPromoted(t, b, "t3", 6*time.Second)
	b.Start(b.Hosts[holder])
	b.returnSecondTarget(t)
	w.checkAckedWrites(t, b)
}

// No host reaches the replica, which is cut off from the register too; the primary does.
func TestLineReplicaCutFromAllHostsMayStillReceive(t *testing.T) {
	b := newSettledBed(t, Options{Relays: true})
	w := &writer{}
	w.write(t, b, 0, "before", 10)
	b.Members[1].relay.close()
	b.Unregister(b.Members[1])
	for i, unregistered := 0, time.Now(); time.Since(unregistered) < deathDelay; i++ {
		w.write(t, b, 0, fmt.Sprintf("cut%d-", i), 1)
		<-time.After(100 * time.Millisecond)
	}
	b.awaitReplicas()
	b.Members[2].Server.SetLag(receivesNothing, 0)
	w.write(t, b, 0, "last", 20)
	b.Crash(0)
	checkNotPromoted(t, b, "t3", 3*time.Second)
	b.returnSecondTarget(t)
	w.checkAckedWrites(t, b)
}

// runUntil writes items through a host until the given time.
func (w *writer) runUntil(b *Bed, host int, until time.Time) {
	stop := &atomic.Bool{}
	var wg sync.WaitGroup
	wg.Go(func() { w.run(b, host, stop) })
	<-time.After(time.Until(until))
	stop.Store(true)
	wg.Wait()
}

// checkLateRequest makes the holder request the promotion of the second target, with most
// voters sealed, while the primary refuses connections for a moment. The request gets no answer
// and is carried out after another target, but not the second one, could receive commits.
func checkLateRequest(t *testing.T, b *Bed, letAnotherReceive func()) {
	t.Helper()
	w := &writer{}
	w.write(t, b, 0, "before", 10)
	b.awaitReplicas()
	b.LoseAnswers(1000, lateness)
	primary, candidate := b.Members[0], b.Members[1]
	primary.relay.close()
	b.Eventually("a promotion is requested", func() bool { return len(b.Tokens()) > 0 })
	requested := time.Now()
	qt.Assert(t, strings.Count(b.dumps(), `"Sealed":true`) > len(b.Hosts)/2, qt.IsTrue)
	candidate.Server.SetLag(receivesNothing, 0)
	qt.Assert(t, primary.relay.open(), qt.IsNil)
	b.Eventually("group has a leader", func() bool { return b.Dial(0, "db2").Exec("y READ nothing") == "COMPLETE" })
	<-time.After(attemptEnd)
	letAnotherReceive()
	w.runUntil(b, 0, requested.Add(lateness+time.Second))
	t.Logf("%d writes acknowledged", w.count())
	b.Eventually("group has a leader", func() bool { return b.Dial(0, "db2").Exec("x READ nothing") == "COMPLETE" })
	w.checkAckedWrites(t, b)
}

// Another replica restarts, and would receive if it was paused.
func TestLineLateRequestAfterRestartOfReplica(t *testing.T) {
	b := newSettledBed(t, Options{Relays: true})
	checkLateRequest(t, b, b.Members[2].Line.Restart)
}

// A new target registers after the request, and receives.
func TestLineLateRequestAfterNewTargetHasRegistered(t *testing.T) {
	b := newSettledBed(t, Options{Relays: true})
	checkLateRequest(t, b, func() { b.AddTarget() })
}
