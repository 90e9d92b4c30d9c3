package confirm

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

func at(term, offset uint64) topology.Position {
	return topology.Position{Term: term, Offset: offset}
}

func TestVoterRecordsNothingForPassedEpoch(t *testing.T) {
	var r Register
	qt.Assert(t, r.Record(2, 1, at(1, 5)), qt.Equals, Recorded)
	qt.Check(t, r.Record(1, 1, at(1, 9)), qt.Equals, OldEpoch)
	_, accepted := r.Instruct(1, 1, Instruction{Ballot: Ballot{Token: 9}, Action: Seal})
	qt.Check(t, accepted, qt.IsFalse)
	qt.Check(t, r.State().Newest, qt.Equals, at(1, 5))
}

// A commit of an earlier term may have been lost by the promotion in between.
func TestConfirmationOfLaterTermConfirmsNoEarlierCommit(t *testing.T) {
	w := &commit{position: at(1, 5), done: make(chan error, 1)}
	r := &rounds{ready: make(chan struct{}), waiting: []*commit{w}}
	r.finish(at(2, 9), nil)
	qt.Check(t, r.waiting, qt.HasLen, 1)
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		h := f.hosts[0]
		h.confirmer.group(simGroup).confirmed = at(2, 9)
		for _, host := range f.hosts {
			host.voters.register(simGroup).state.Sealed = true
		}
		qt.Check(t, h.confirms(1), qt.IsFalse)
		time.Sleep(lateWindow)
	})
}

// Most voters have ended. The leader's position covers what they recorded only if it was
// told after the last of them could record.
func TestFloorNeedsPositionToldAfterTheSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		told := time.Now()
		for i := 2; i < 5; i++ {
			f.hosts[i].start()
		}
		time.Sleep(changeInterval)
		proof := Proof{Position: at(1, f.newest), Term: 1, SentAt: told, NotOrdered: true, Settled: true}
		f.hosts[0].holder.Maintain(t.Context(), simGroup, proof)
		qt.Check(t, f.claim.electorate.Epoch, qt.Equals, uint64(1))
		proof.SentAt = time.Now()
		time.Sleep(time.Millisecond)
		proof.SentAt = time.Now()
		f.hosts[0].holder.Maintain(t.Context(), simGroup, proof)
		qt.Check(t, f.claim.electorate.Epoch, qt.Equals, uint64(2))
		time.Sleep(lateWindow)
	})
}

func TestElectorateIsNotChangedWhileVotersMayStillConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 5)
		f.cutLinks([2]int{0, 2}, [2]int{0, 3}, [2]int{0, 4})
		time.Sleep(changeInterval)
		h := f.hosts[0]
		tenure := h.holder.tenure(simGroup, 1, 1)
		c := &change{from: h.electorate, next: Electorate{Epoch: 2}, leader: Proof{Position: at(1, f.newest), Term: 1, SentAt: time.Now().Add(time.Minute)}}
		h.holder.write(t.Context(), simGroup, tenure, c)
		qt.Check(t, f.claim.electorate.Epoch, qt.Equals, uint64(1))
		time.Sleep(lateWindow)
	})
}

func TestSealOfElectorateInDoubtIsNotClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 4)
		f.hosts[3].start()
		time.Sleep(changeInterval)
		f.loseAnswers = true
		f.hosts[0].maintain(0, true)
		qt.Assert(t, f.claim.electorate.Epoch, qt.Equals, uint64(2))
		qt.Check(t, f.hosts[0].holder.Seal(t.Context(), simGroup, 1).Closed, qt.IsFalse)
		time.Sleep(lateWindow)
	})
}

func TestHolderThatTakesTheDutyAgainHeedsTheRequestInBetween(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		qt.Assert(t, f.hosts[0].holder.Seal(t.Context(), simGroup, 1).Known, qt.IsTrue)
		f.hosts[1].takeDuty()
		f.sealAndOrder(t, 1, 1, 1)
		f.hosts[0].takeDuty()
		f.maintainAs(0, 1)
		qt.Check(t, f.confirmNow(2, 1), qt.IsNotNil) // the request of host 1 may still be carried out
		time.Sleep(lateWindow)
	})
}

func TestRenewedTokenKeepsTheSeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 3)
		h := f.hosts[0]
		qt.Assert(t, h.holder.Seal(t.Context(), simGroup, 1).Known, qt.IsTrue)
		qt.Assert(t, h.renew(), qt.IsTrue)
		qt.Check(t, h.holder.Order(t.Context(), simGroup, "a"), qt.IsTrue)
		time.Sleep(lateWindow)
	})
}
