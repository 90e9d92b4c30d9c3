package confirm

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/steady/steadytest"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// replica is a replica that has received up to a position. It implements Receipts.
type replica struct {
	mu       sync.Mutex
	received topology.Position
	asked    []Electorate
}

func (r *replica) receive(p topology.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = p
}

func (r *replica) Received(ctx context.Context, _ topology.GroupID, e *Electorate, p topology.Position) bool {
	r.mu.Lock()
	r.asked = append(r.asked, *e)
	has := r.received.AtLeast(p)
	r.mu.Unlock()
	if !has {
		<-ctx.Done()
	}
	return has
}

// playReceipts runs a fleet whose first host holds the duty and reaches a replica.
func playReceipts(t *testing.T, play func(f *fleet, r *replica)) {
	synctest.Test(t, func(t *testing.T) {
		f, r := startFleet(t, 3), &replica{}
		for _, h := range f.hosts {
			h.confirmer.opts.Holder = func(topology.GroupID) (topology.HostID, bool) { return hostID(0), true }
		}
		f.hosts[0].confirmer.opts.Receipts, f.hosts[0].holder.opts.Receipts = r, r
		play(f, r)
		time.Sleep(lateWindow)
	})
}

func dropping(ids ...topology.TargetID) (list [MaxDropped]topology.TargetID) {
	copy(list[:], ids)
	return list
}

// maintainDropping is what the watcher of the holder does while targets are to be dropped.
func (f *fleet) maintainDropping(ids ...topology.TargetID) Electorate {
	time.Sleep(changeInterval)
	h := f.hosts[0]
	h.holder.Maintain(context.Background(), simGroup, Proof{
		Target: "p", Position: at(1, f.newest), Term: 1, SentAt: time.Now(), NotOrdered: true, Settled: true, Dropped: dropping(ids...),
	})
	for _, h := range f.hosts {
		h.learn()
	}
	return f.claim.electorate
}

// Guards against this failure: a target is dropped though only it has received what was passed on.
func TestTargetIsDroppedOnceOthersHaveWhatWasPassedOn(t *testing.T) {
	playReceipts(t, func(f *fleet, r *replica) {
		qt.Assert(t, f.hosts[0].confirms(1), qt.IsTrue)
		r.receive(at(1, f.newest-1))
		e := f.maintainDropping("b")
		qt.Check(t, e.DroppedTargets(), qt.HasLen, 0)
		qt.Check(t, f.hosts[0].confirms(1), qt.IsTrue, qt.Commentf("commits aren't held up for it"))
		r.receive(at(1, f.newest))
		e = f.maintainDropping("b")
		qt.Check(t, e.DroppedTargets(), qt.DeepEquals, []topology.TargetID{"b"})
		qt.Check(t, f.hosts[0].holder.Dropped(simGroup), qt.DeepEquals, []topology.TargetID{"b"})
		qt.Check(t, f.hosts[0].holder.Seal(context.Background(), simGroup, 1).Dropped, qt.DeepEquals, []topology.TargetID{"b"})
		f.hosts[0].holder.opts.Restored = func() bool { return true }
		qt.Check(t, f.hosts[0].holder.Seal(context.Background(), simGroup, 1).Dropped, qt.HasLen, 0, qt.Commentf("an older electorate may have been restored"))
		for _, asked := range r.asked {
			qt.Check(t, asked.DroppedTargets(), qt.DeepEquals, []topology.TargetID{"b"}, qt.Commentf("the new set has to have it"))
		}
	})
}

// onceReceived proves the first receipt that it is asked for.
type onceReceived struct{ asked int }

func (r *onceReceived) Received(context.Context, topology.GroupID, *Electorate, topology.Position) bool {
	r.asked++
	return r.asked == 1
}

// Guards against this failure: a commit is passed on between the proof that others have what a target to
// be dropped may have received and the seal of the voters.
func TestTargetIsDroppedOnlyIfOthersHaveWhatSealedVotersRecorded(t *testing.T) {
	playReceipts(t, func(f *fleet, r *replica) {
		once := &onceReceived{}
		f.hosts[0].holder.opts.Receipts = once
		e := f.maintainDropping("b")
		qt.Check(t, e.DroppedTargets(), qt.HasLen, 0)
		qt.Check(t, once.asked, qt.Equals, 2)
		qt.Check(t, f.hosts[0].confirms(1), qt.IsTrue, qt.Commentf("commits go on"))
	})
}

// Guards against this failure: commits are held up each time that a target can't be dropped, and voters
// that have ended aren't replaced.
func TestTargetThatCannotBeDroppedHoldsNothingUp(t *testing.T) {
	playReceipts(t, func(f *fleet, r *replica) {
		before := f.hosts[0].voters.register(simGroup).State().Ballot
		r.receive(at(1, 0))
		qt.Assert(t, f.hosts[0].confirms(1), qt.IsTrue)
		f.maintainDropping("b")
		qt.Check(t, f.hosts[0].voters.register(simGroup).State().Ballot, qt.Equals, before)
		f.hosts[2].start() // a voter has ended
		e := f.maintainDropping("b")
		qt.Check(t, e.DroppedTargets(), qt.HasLen, 0)
		qt.Check(t, e.Epoch, qt.Equals, uint64(2), qt.Commentf("it is replaced all the same"))
	})
}

// Guards against this failure: a commit that only a dropped target has received is passed on, or keeps
// other targets from being promoted.
func TestCommitNeedsReceiptWhileTargetsAreDropped(t *testing.T) {
	playReceipts(t, func(f *fleet, r *replica) {
		h := f.hosts[0]
		r.receive(at(1, f.newest))
		qt.Assert(t, len(r.asked), qt.Equals, 0, qt.Commentf("no receipt is needed otherwise"))
		e := f.maintainDropping("b")
		qt.Assert(t, e.NeedsReceipts(), qt.IsTrue)
		qt.Check(t, h.confirms(1), qt.IsFalse)
		qt.Check(t, h.voters.register(simGroup).State().Newest.AtLeast(at(1, f.newest)), qt.IsFalse, qt.Commentf("voters recorded what nobody may have received"))
		qt.Check(t, f.hosts[1].confirms(1), qt.IsFalse, qt.Commentf("the holder doesn't answer other hosts here"))
		for range 3 {
			time.Sleep(time.Second)
			qt.Check(t, h.confirmer.Ready(simGroup), qt.IsFalse, qt.Commentf("writes would be sent in vain"))
		}
		r.receive(at(1, f.newest))
		time.Sleep(time.Second)
		qt.Check(t, h.confirmer.Ready(simGroup), qt.IsTrue, qt.Commentf("it has been received since"))
		r.receive(at(1, f.newest+1))
		qt.Check(t, h.confirms(1), qt.IsTrue)
		e = f.maintainDropping()
		qt.Assert(t, e.NeedsReceipts(), qt.IsFalse)
		qt.Check(t, h.confirms(1), qt.IsTrue, qt.Commentf("all targets count again"))
	})
}

// The first electorate drops no target: hosts of an earlier version may have passed commits on without
// voters.
func TestFirstElectorateDropsNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steadytest.FollowBubble(t)
		f := newFleet(3)
		f.hosts[0].holder.opts.Receipts = &replica{received: at(1, 9)}
		e := f.maintainDropping("b")
		qt.Check(t, e.Epoch, qt.Equals, uint64(1))
		qt.Check(t, e.DroppedTargets(), qt.HasLen, 0)
		e = f.maintainDropping("b")
		qt.Check(t, e.DroppedTargets(), qt.HasLen, 1)
	})
}

// A host answers for the epoch that it knows only: other targets count in others.
func TestReceiptIsProvedInOneEpoch(t *testing.T) {
	r := &replica{received: at(1, 5)}
	s := NewReceiptService(r, func(topology.GroupID) Electorate { return Electorate{Epoch: 4} })
	for epoch, received := range map[uint64]bool{3: false, 4: true, 5: false} {
		var reply ReceiptReply
		qt.Assert(t, s.Await(&ReceiptArgs{Group: simGroup, Epoch: epoch, Position: at(1, 5)}, &reply), qt.IsNil)
		qt.Check(t, reply.Received, qt.Equals, received, qt.Commentf("epoch %d", epoch))
	}
}
