package confirm

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/steady/steadytest"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func (f *fleet) cutLinks(pairs ...[2]int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range pairs {
		f.cut[p] = true
	}
}

// confirmNow has a host confirm a commit of the term.
func (f *fleet) confirmNow(host int, term uint64) error {
	f.newest++
	return f.hosts[host].confirmer.Confirm(context.Background(), simGroup, topology.Position{Term: term, Offset: f.newest}, time.Now().Add(300*time.Millisecond))
}

// startFleet returns a fleet with voters, whose host 0 holds the duty.
func startFleet(t *testing.T, hosts int) *fleet {
	steadytest.FollowBubble(t)
	f := newFleet(hosts)
	f.hosts[0].maintain(0, true)
	for _, h := range f.hosts {
		h.learn()
	}
	qt.Assert(t, f.confirmNow(0, 1), qt.IsNil)
	return f
}

func (f *fleet) sealAndOrder(t *testing.T, host, target int, term uint64) {
	s := f.hosts[host].holder.Seal(context.Background(), simGroup, term)
	qt.Assert(t, s.Closed && s.Known, qt.IsTrue)
	qt.Assert(t, f.hosts[host].holder.Order(context.Background(), simGroup, targetID(target)), qt.IsTrue)
}

// maintainAs has a new holder see the leader of the term serve. It has sent no request, and
// doesn't know yet that none of an earlier holder can be carried out.
func (f *fleet) maintainAs(host int, term uint64) {
	p := Proof{Target: targetID(f.primary), Position: topology.Position{Term: term, Offset: f.newest}, Term: term, SentAt: time.Now(), NotOrdered: true}
	f.hosts[host].holder.Maintain(context.Background(), simGroup, p)
}

func TestOrderAcceptedByHalfOfEvenElectorateIsUnseenByNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 4)
		qt.Assert(t, len(f.claim.electorate.Members()), qt.Equals, 4)
		qt.Assert(t, f.hosts[0].holder.Seal(context.Background(), simGroup, 1).Known, qt.IsTrue)
		f.cutLinks([2]int{0, 2}, [2]int{0, 3}, [2]int{1, 2}, [2]int{1, 3})
		f.sealAndOrder(t, 0, 1, 1)
		f.hosts[2].takeDuty()
		f.maintainAs(2, 1)
		f.heal()
		time.Sleep(time.Second)
		f.maintainAs(2, 1)
		f.hosts[3].learn()
		qt.Check(t, f.confirmNow(3, 1), qt.IsNotNil) // the request of host 0 may still be carried out
		time.Sleep(lateWindow)
	})
}

func TestOrderIsUnseenByNextHolderOnceItsVotersRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		qt.Assert(t, len(f.claim.electorate.Members()), qt.Equals, 5)
		f.cutLinks([2]int{0, 3}, [2]int{0, 4})
		f.sealAndOrder(t, 0, 1, 1)
		for i := range 3 {
			f.hosts[i].start()
		}
		f.heal()
		f.hosts[4].takeDuty()
		f.maintainAs(4, 1)
		time.Sleep(time.Second)
		f.maintainAs(4, 1) // with a proof after the seal
		f.hosts[4].learn()
		qt.Check(t, f.confirmNow(4, 1), qt.IsNotNil) // the request of host 0 may still be carried out
		time.Sleep(lateWindow)
	})
}

func TestOrderOfEarlierHolderSealedUnderOldTermCountsAsCarriedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		f.term = 3
		f.maintainAs(0, 3) // voters are open already
		qt.Assert(t, f.confirmNow(0, 3), qt.IsNil)
		f.sealAndOrder(t, 0, 1, 2) // only a replica that still is in term 2 answers
		f.hosts[2].takeDuty()
		f.maintainAs(2, 3) // the leader to be replaced serves
		qt.Check(t, f.confirmNow(3, 3), qt.IsNotNil)
		time.Sleep(lateWindow)
	})
}

func TestFirstElectorateInDoubtConfirmsCommitsDuringPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steadytest.FollowBubble(t)
		f := newFleet(3)
		f.loseAnswers = true
		f.hosts[0].maintain(0, true)
		s := f.hosts[0].holder.Seal(context.Background(), simGroup, 1)
		if s.Closed && f.hosts[0].holder.Order(context.Background(), simGroup, "a") {
			for _, h := range f.hosts {
				h.learn()
			}
			qt.Check(t, f.confirmNow(1, 1), qt.IsNotNil) // the request has been sent
		}
		time.Sleep(lateWindow)
	})
}

func TestVotersTakenForGoneConfirmCommitsDuringPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		for _, i := range []int{2, 3, 4} {
			f.cutLinks([2]int{0, i}, [2]int{1, i})
		}
		for _, i := range []int{2, 3, 4} { // after 20 s of silence
			f.hosts[i].voters.trusts = func(topology.GroupID) bool { return false }
		}
		h := f.hosts[0]
		processes := func() []Process { // after 30 s of silence
			list := h.processes()
			for i := range list {
				list[i].Gone = i >= 2
			}
			return list
		}
		h.holder = NewHolder(HolderOptions{Self: hostID(0), Local: h.voters, Peers: h, Duty: h, Processes: processes, Log: logr.Discard()})
		s := h.holder.Seal(context.Background(), simGroup, 1)
		if s.Closed && h.holder.Order(context.Background(), simGroup, "a") {
			qt.Check(t, f.confirmNow(3, 1), qt.IsNotNil)
		}
		time.Sleep(lateWindow)
	})
}

func TestSecondOrderOfEarlierHolderIsTakenForCarriedOutWithTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		f.sealAndOrder(t, 0, 1, 1) // for one target, without an answer
		qt.Assert(t, f.hosts[0].renew(), qt.IsTrue)
		f.sealAndOrder(t, 0, 2, 1) // for another one, also without an answer
		f.term = 2                 // the first is carried out
		f.hosts[1].takeDuty()
		f.maintainAs(1, 2)
		qt.Check(t, f.confirmNow(2, 2), qt.IsNotNil) // the second may still be carried out
		time.Sleep(lateWindow)
	})
}

func TestProofOfReplacedLeaderLowersTheFloorOfTheElectorate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steadytest.FollowBubble(t)
		f := newFleet(5)
		f.term, f.newest = 3, 50
		f.hosts[0].maintain(0, true)
		for _, h := range f.hosts {
			h.learn()
		}
		qt.Assert(t, f.confirmNow(0, 3), qt.IsNil)
		for i := 2; i < 5; i++ {
			f.hosts[i].start()
		}
		old := func() {
			f.hosts[0].holder.Maintain(context.Background(), simGroup, Proof{Position: topology.Position{Term: 2, Offset: 40}, Term: 2, SentAt: time.Now(), NotOrdered: true, Settled: true})
		}
		for range 3 {
			time.Sleep(changeInterval)
			old()
		}
		e := f.claim.electorate
		qt.Check(t, e.FromTerm >= 3, qt.IsTrue, qt.Commentf("%+v", e))
		qt.Check(t, e.Floor.AtLeast(topology.Position{Term: 3, Offset: 50}), qt.IsTrue, qt.Commentf("%+v", e))
		time.Sleep(lateWindow)
	})
}

func TestStoreThatFallsSilentDuringChangeOfVotersBlocksPromotion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 4)
		f.hosts[3].start() // its voter is to be replaced
		time.Sleep(changeInterval)
		f.loseAnswers = true
		f.hosts[0].maintain(0, true)
		f.storeDown = true
		closed := false
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			closed = closed || f.hosts[0].holder.Seal(context.Background(), simGroup, 1).Closed
		}
		qt.Check(t, closed, qt.IsTrue) // all voters but one answer
	})
}

func TestVoterThatWasNeverHeardOfDoesNotBlockForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		f.cutLinks([2]int{0, 1}, [2]int{0, 2})
		h := f.hosts[0]
		own := func() []Process { return h.processes()[:1] }
		h.holder = NewHolder(HolderOptions{Self: hostID(0), Local: h.voters, Peers: h, Duty: h, Processes: own, Log: logr.Discard()})
		qt.Check(t, h.holder.Seal(t.Context(), simGroup, 1).Closed, qt.IsFalse)
		time.Sleep(unknownGoneAfter)
		qt.Check(t, h.holder.Seal(t.Context(), simGroup, 1).Closed, qt.IsTrue)
		time.Sleep(lateWindow)
	})
}

// Guards against commits that are lost to the second of two requests of different holders: no
// voter that answers has heard of both, and the first is taken for the only one.
func TestRequestsOfTwoHoldersToldByDifferentVotersKeepCommitsWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		f.cutLinks([2]int{0, 3}, [2]int{0, 4})
		f.sealAndOrder(t, 0, 1, 1) // heard by 0, 1 and 2
		f.heal()
		f.cutLinks([2]int{0, 2}, [2]int{1, 2})
		f.hosts[2].takeDuty()
		f.sealAndOrder(t, 2, 2, 1) // heard by 2, 3 and 4
		f.heal()
		f.hosts[2].start()
		f.cutLinks([2]int{1, 2}, [2]int{1, 4})
		f.hosts[1].takeDuty()
		f.term, f.primary = 2, 1 // the first request is carried out
		f.maintainAs(1, 2)
		f.hosts[3].learn()
		qt.Check(t, f.confirmNow(3, 2), qt.IsNotNil) // the second one may still be
		time.Sleep(lateWindow)
	})
}
