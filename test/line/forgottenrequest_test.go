package line

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// killAll ends all hosts without notice.
func (b *Bed) killAll(t *testing.T) {
	t.Helper()
	for _, h := range b.Hosts {
		h.kill(t)
	}
}

// startAll starts all hosts again and waits until they are ready.
func (b *Bed) startAll() {
	for _, h := range b.Hosts {
		b.Start(h)
	}
	for _, h := range b.Hosts {
		b.Eventually("host is ready", h.IsReady)
	}
}

// Guards against acknowledged commits that are lost to a promotion which was requested while the
// store was away, and is carried out after all hosts have restarted: nobody remembers it.
func TestLineRequestThatNoHostRemembersLosesNoCommit(t *testing.T) {
	b := newSettledBed(t, Options{Relays: true})
	w := &writer{}
	w.write(t, b, 0, "before", 10)
	b.awaitReplicas()
	primary, candidate := b.Members[0], b.Members[1]
	b.LoseAnswers(1000, lateness)
	b.cutStore()
	primary.relay.close()
	b.Eventually("a promotion is requested", func() bool { return len(b.Tokens()) > 0 })
	requested := time.Now()
	b.killAll(t)
	b.LoseAnswers(0, 0)
	candidate.Server.SetLag(receivesNothing, 0)
	qt.Assert(t, primary.relay.open(), qt.IsNil)
	b.healStore()
	b.startAll()
	w.runUntil(b, 0, requested.Add(lateness+time.Second))
	t.Logf("%d writes acknowledged, promotions %v, tokens %v", w.count(), b.Promotions(), b.Tokens())
	qt.Check(t, w.count() > 10, qt.IsTrue, qt.Commentf("no write was acknowledged after the restart"))
	b.Eventually("group has a leader", func() bool { return b.Dial(0, "db2").Exec("x READ nothing") == "COMPLETE" })
	w.checkAckedWrites(t, b)
}

// Guards against the same loss where the platform checks no tokens: no request is sent while
// the store can't take the record of it.
func TestLineUnfencedRequestWaitsForItsRecord(t *testing.T) {
	b := newSettledBed(t, Options{Unfenced: true, Relays: true})
	b.cutStore()
	b.Members[0].relay.close()
	<-time.After(3 * time.Second)
	qt.Check(t, b.Tokens(), qt.HasLen, 0)
	b.healStore()
	b.Eventually("a promotion is requested", func() bool { return len(b.Tokens()) > 0 })
	b.Eventually("writes succeed again", func() bool { return b.Dial(1, "db").Exec("w WRITE item x") == "COMPLETE" })
}
