package confirm

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/steady/steadytest"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// playTakeover has host 0 begin a promotion and host 1 take the duty.
func playTakeover(t *testing.T, play func(ctx context.Context, f *fleet, before, after *simHost)) {
	synctest.Test(t, func(t *testing.T) {
		steadytest.FollowBubble(t)
		f := newFleet(3)
		f.play(nil)
		f.hosts[0].commit()
		qt.Assert(t, f.passed, qt.HasLen, 1)
		qt.Assert(t, f.hosts[0].holder.Seal(t.Context(), simGroup, 1).Known, qt.IsTrue)
		f.hosts[1].takeDuty()
		play(t.Context(), f, f.hosts[0], f.hosts[1])
		time.Sleep(lateWindow)
	})
}

func (h *simHost) confirms(term uint64) bool {
	h.fleet.newest++
	return h.confirmer.Confirm(context.Background(), simGroup, topology.Position{Term: term, Offset: h.fleet.newest}, time.Now().Add(100*time.Millisecond)) == nil
}

func TestNewHolderKeepsVotersSealedForRequestOfEarlierHolder(t *testing.T) {
	playTakeover(t, func(ctx context.Context, f *fleet, before, after *simHost) {
		qt.Assert(t, before.holder.Order(ctx, simGroup, "a"), qt.IsTrue)
		proof := Proof{Position: topology.Position{Term: 1, Offset: f.newest}, Term: 1, SentAt: time.Now(), NotOrdered: true}
		after.holder.Maintain(ctx, simGroup, proof)
		qt.Check(t, after.confirms(1), qt.IsFalse)
		proof.Target, proof.Term = "b", 2 // by another request
		after.holder.Maintain(ctx, simGroup, proof)
		qt.Check(t, after.confirms(2), qt.IsFalse)
		proof.Target = "a" // the request had its effect
		after.holder.Maintain(ctx, simGroup, proof)
		qt.Check(t, after.confirms(1), qt.IsFalse)
		qt.Check(t, after.confirms(2), qt.IsTrue)
	})
}

func TestSealWithoutRequestDoesNotOutlastItsHolder(t *testing.T) {
	playTakeover(t, func(ctx context.Context, f *fleet, before, after *simHost) {
		after.holder.Maintain(ctx, simGroup, Proof{Position: topology.Position{Term: 1, Offset: f.newest}, Term: 1, SentAt: time.Now(), NotOrdered: true})
		qt.Check(t, after.confirms(1), qt.IsTrue)
		qt.Check(t, before.holder.Order(ctx, simGroup, "a"), qt.IsFalse, qt.Commentf("a request would lose what is confirmed"))
	})
}

func TestVotersStaySealedWhileOwnRequestMayBeCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steadytest.FollowBubble(t)
		f := newFleet(3)
		f.play(nil)
		h := f.hosts[0]
		h.holder.Seal(t.Context(), simGroup, 1)
		qt.Assert(t, h.holder.Order(t.Context(), simGroup, "a"), qt.IsTrue)
		proof := Proof{Term: 1, SentAt: time.Now()}
		h.holder.Maintain(t.Context(), simGroup, proof)
		qt.Check(t, h.confirms(1), qt.IsFalse)
		proof.Settled = true
		h.holder.Maintain(t.Context(), simGroup, proof)
		qt.Check(t, h.confirms(1), qt.IsTrue)
		time.Sleep(lateWindow)
	})
}

// Floors of earlier epochs stand in the electorate.
func TestFloorOutlastsTheVotersThatRecordedIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steadytest.FollowBubble(t)
		f := newFleet(4)
		f.play(nil)
		f.hosts[0].commit()
		f.hosts[1].start()
		time.Sleep(changeInterval)
		f.hosts[0].maintain(0, true)
		qt.Assert(t, f.hosts[0].electorate.Epoch, qt.Equals, uint64(2))
		s := f.hosts[0].holder.Seal(t.Context(), simGroup, 1)
		qt.Check(t, s.Known, qt.IsTrue)
		qt.Check(t, s.Floor, qt.Equals, topology.Position{Term: 1, Offset: 1})
		time.Sleep(lateWindow)
	})
}

// startNewHolder restarts hosts after host 0 has sent a request that nobody has recorded, and
// gives the duty to another host.
func (f *fleet) startNewHolder(t *testing.T, holder int, restarted ...int) {
	f.sealAndOrder(t, 0, 1, 1)
	for _, i := range restarted {
		f.hosts[i].start()
	}
	f.hosts[holder].takeDuty()
	for _, h := range f.hosts {
		h.learn()
	}
}

// Guards against commits that callers hear of and a late request loses, because every host that
// knew of the request has restarted.
func TestCommitsWaitForSettledProofOnceEveryHostRestarted(t *testing.T) {
	for _, restarted := range [][]int{{0, 1, 2, 3, 4}, {0, 1, 2}} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, 5)
			f.cutLinks([2]int{0, 3}, [2]int{0, 4}) // only the voters that restart accept the request
			f.startNewHolder(t, 4, restarted...)
			f.heal()
			proof := Proof{Position: at(1, f.newest), Term: 1, SentAt: time.Now(), NotOrdered: true}
			for range 3 {
				qt.Check(t, f.hosts[4].holder.Maintain(t.Context(), simGroup, proof), qt.IsTrue)
				time.Sleep(changeInterval)
				proof.SentAt = time.Now()
			}
			qt.Check(t, f.claim.electorate.Epoch, qt.Equals, uint64(1))
			qt.Check(t, f.confirmNow(4, 1), qt.IsNotNil) // the request of host 0 may still be carried out
			proof.Settled = true
			for range 2 {
				time.Sleep(changeInterval)
				proof.SentAt = time.Now()
				qt.Check(t, f.hosts[4].holder.Maintain(t.Context(), simGroup, proof), qt.IsFalse)
			}
			f.hosts[3].learn()
			qt.Check(t, f.confirmNow(3, 1), qt.IsNil)
			time.Sleep(lateWindow)
		})
	}
}

// Guards against the same loss where no electorate has been recorded yet.
func TestFirstElectorateWaitsForRequestOfEarlierHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steadytest.FollowBubble(t)
		f := newFleet(3)
		qt.Assert(t, f.hosts[0].holder.Order(t.Context(), simGroup, targetID(1)), qt.IsTrue)
		f.hosts[1].takeDuty()
		proof := Proof{Position: at(1, 1), Term: 1, SentAt: time.Now(), NotOrdered: true}
		qt.Check(t, f.hosts[1].holder.Maintain(t.Context(), simGroup, proof), qt.IsTrue)
		qt.Check(t, f.claim.electorate.Epoch, qt.Equals, uint64(0))
		proof.Settled = true
		qt.Check(t, f.hosts[1].holder.Maintain(t.Context(), simGroup, proof), qt.IsFalse)
		qt.Check(t, f.claim.electorate.Epoch, qt.Equals, uint64(1))
	})
}

// Where requests are recorded before they are sent, a claim without one needs no further proof.
func TestClaimThatShowsNoRequestOpensVotersOfAnotherHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		f.startNewHolder(t, 1, 0, 1, 2)
		shown := false
		f.hosts[1].holder.opts.NotOrdered = func(topology.GroupID) bool { return shown }
		qt.Check(t, f.hosts[1].holder.mayBeOrdered(simGroup, &tenure{since: 2}), qt.IsTrue)
		qt.Check(t, f.hosts[1].holder.mayBeOrdered(simGroup, &tenure{since: FirstToken}), qt.IsFalse)
		shown = true
		qt.Check(t, f.hosts[1].holder.mayBeOrdered(simGroup, &tenure{since: 2}), qt.IsFalse)
		time.Sleep(lateWindow)
	})
}
