package pool

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Guards against running a repeated batch again: its statement would then be
// counted twice.
func TestRepeatedBatchGetsTheStoredResponse(t *testing.T) {
	f := newFixture(t)
	req := f.query(Write, "INSERT once")
	first, err := f.exec(req)
	qt.Assert(t, err, qt.IsNil)
	second, err := f.exec(req)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second, qt.DeepEquals, first)
	qt.Assert(t, f.fake.readInt(func() int { return f.fake.ran["INSERT once"] }), qt.Equals, 1)
}

func TestRecallPreventsAnUnknownBatchFromRunning(t *testing.T) {
	f := newFixture(t)
	req := f.query(Write, "INSERT late")
	var reply RecallReply
	service := &Service{Manager: f.mgr}
	qt.Assert(t, service.Recall(&RecallArgs{Stream: req.Stream, Batch: 1}, &reply), qt.IsNil)
	qt.Assert(t, reply.neverRan(0), qt.IsTrue)
	qt.Assert(t, reply.neverRan(time.Hour), qt.IsFalse)
	_, err := f.exec(req)
	assertCode(t, err, result.HostUnreachable)
	qt.Assert(t, f.fake.readInt(func() int { return f.fake.ran["INSERT late"] }), qt.Equals, 0)
}

// A transaction whose next batch never arrived is rolled back as soon as that
// batch is recalled.
func TestRecallEndsTheTransaction(t *testing.T) {
	f := newFixture(t)
	p := &fakePeers{service: &Service{Manager: f.mgr}}
	remote := Remote{Caller: p, Host: "holder"}
	begin := f.query(Write, "BEGIN")
	_, err := remote.Exec(context.Background(), begin)
	qt.Assert(t, err, qt.IsNil)
	p.lostMethod = "Pool.Exec"
	commit := f.query(Write, "COMMIT")
	commit.Stream, commit.Batch = begin.Stream, 2
	_, err = remote.Exec(context.Background(), commit)
	assertCode(t, err, result.TransactionLost)
	qt.Assert(t, f.mgr.Dump().(State).Slots[0].Streams, qt.Equals, 0)
	_, err = f.exec(commit) // the lost request arrives late
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, f.fake.readInt(func() int { return f.fake.ran["COMMIT"] }), qt.Equals, 0)
}

func TestBrokenConnectionDuringAWriteLeavesItsOutcomeUnknown(t *testing.T) {
	f := newFixture(t)
	errs := make(chan error, 2)
	for _, mayCommit := range []bool{true, false} {
		req := f.query(Write, "HOLD")
		req.MayCommit = mayCommit
		go func() {
			_, err := f.exec(req)
			errs <- err
		}()
	}
	eventually(t, "both run", func() bool { return f.fake.readInt(func() int { return f.fake.ran["HOLD"] }) == 2 })
	f.fake.withLock(func() {
		for c := range f.fake.conns {
			_ = c.Close()
		}
	})
	codes := map[result.Code]bool{codeOf(<-errs): true, codeOf(<-errs): true}
	qt.Assert(t, codes, qt.DeepEquals, map[result.Code]bool{result.UnknownOutcome: true, result.TransactionLost: true})
	close(f.fake.unblock)
}

// Guards against reusing a connection after its deadline: the second request
// would then get the response to the first.
func TestLateResponseIsDiscarded(t *testing.T) {
	f := newFixture(t)
	late := f.query(Write, "HOLD")
	late.TimeLeft = 30 * time.Millisecond
	_, err := f.exec(late)
	assertCode(t, err, result.UnknownOutcome)
	close(f.fake.unblock)
	reply, err := f.exec(f.query(Write, "ECHO mine"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, messageTypes(reply.Messages), qt.Equals, "DC")
}

// A batch that arrives after its transaction has ended must not run on its own.
func TestBatchOfAnEndedTransactionDoesNotRun(t *testing.T) {
	f := newFixture(t)
	begin := f.query(Write, "BEGIN")
	_, err := f.exec(begin)
	qt.Assert(t, err, qt.IsNil)
	s := f.mgr.streams.get(begin.Stream)
	insert := f.query(Write, "INSERT x")
	insert.Stream, insert.Batch = begin.Stream, 2
	s.runMu.Lock() // the batch arrives while the stream is being ended
	done := make(chan error, 1)
	go func() {
		_, err := f.exec(insert)
		done <- err
	}()
	eventually(t, "the batch waits for its stream", func() bool { _, idle := s.idleSince(); return !idle })
	s.kill()
	f.mgr.endStream(s, false)
	f.mgr.streams.remove(s, time.Now())
	s.runMu.Unlock()
	assertCode(t, <-done, result.TransactionLost)
	qt.Assert(t, f.fake.readInt(func() int { return f.fake.ran["INSERT x"] }), qt.Equals, 0)
}

// fakePeers calls a Service in this process with the arguments and replies that
// net/rpc would carry.
type fakePeers struct {
	service    *Service
	mu         sync.Mutex
	lostMethod string // method whose request or reply is lost
	loseReply  bool   // the reply is lost instead of the request
	boot       uint64
}

func (p *fakePeers) Call(_ context.Context, _ topology.HostID, method string, args, reply any) error {
	p.mu.Lock()
	lose, loseReply, boot := p.lostMethod == method, p.loseReply, p.boot
	p.mu.Unlock()
	lost := result.New(result.HolderLost, "lost")
	if lose && !loseReply {
		return lost
	}
	switch method {
	case "Pool.Exec":
		_ = p.service.Exec(args.(*Request), reply.(*ExecReply))
	case "Pool.Recall":
		_ = p.service.Recall(args.(*RecallArgs), reply.(*RecallReply))
	case "Pool.BootID":
		reply.(*BootReply).Boot = boot
	default:
		return result.New(result.HostUnreachable, "%s", method)
	}
	if lose {
		return lost
	}
	return nil
}

// Without recall, both a lost reply and a lost request would be unknown
// outcomes.
func TestLostCallsAreResolvedByRecall(t *testing.T) {
	f := newFixture(t)
	p := &fakePeers{service: &Service{Manager: f.mgr}, lostMethod: "Pool.Exec", loseReply: true}
	remote := Remote{Caller: p, Host: "holder"}
	reply, err := remote.Exec(context.Background(), f.query(Write, "INSERT answered"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Position.Offset, qt.Equals, uint64(1))
	p.loseReply = false
	req := f.query(Write, "INSERT never")
	_, err = remote.Exec(context.Background(), req)
	assertCode(t, err, result.HostUnreachable)
	_, err = f.exec(req) // the lost request arrives late
	assertCode(t, err, result.HostUnreachable)
	qt.Assert(t, f.fake.readInt(func() int { return f.fake.ran["INSERT answered"] + 10*f.fake.ran["INSERT never"] }), qt.Equals, 1)
}

// A write that waits for a silent primary which has been replaced must end
// before its deadline.
func TestWriteAtAReplacedPrimaryIsAborted(t *testing.T) {
	var term atomic.Uint64
	f := newFixture(t, func(o *Options) {
		o.Primary = func(topology.GroupID) (uint64, topology.TargetID, bool) { return term.Load(), "t2", true }
	})
	term.Store(1)
	_, err := f.exec(f.query(Write, "INSERT a"))
	qt.Assert(t, err, qt.IsNil)
	done := make(chan error, 1)
	go func() {
		_, err := f.exec(f.query(Write, "HOLD"))
		done <- err
	}()
	eventually(t, "the statement runs", func() bool { return f.fake.readInt(func() int { return f.fake.ran["HOLD"] }) == 1 })
	term.Store(2)
	began := time.Now()
	assertCode(t, <-done, result.UnknownOutcome)
	qt.Assert(t, time.Since(began) < 3*time.Second, qt.IsTrue)
	close(f.fake.unblock)
}

// Without the query for the boot ID, the transaction would keep its connection
// for idleTransactionTimeout.
func TestTransactionsOfARestartedEntryHostAreRolledBack(t *testing.T) {
	p := &fakePeers{boot: 2}
	f := newFixture(t, func(o *Options) { o.Peers = p })
	begin := f.query(Write, "BEGIN")
	_, err := f.exec(begin)
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "rolled back", func() bool { return f.mgr.streams.get(begin.Stream) == nil })
	qt.Assert(t, f.mgr.Dump().(State).Slots[0].Streams, qt.Equals, 0)
}

func TestStreamsOfUnresponsiveEntryHostsAreOrphaned(t *testing.T) {
	hosts := newHostTracker()
	id := StreamID{Host: "entry", Boot: 1}
	for range orphanAfterMisses {
		hosts.retain([]topology.HostID{"entry"})
		qt.Assert(t, hosts.orphaned(id), qt.IsFalse)
		hosts.recordMiss("entry")
	}
	qt.Assert(t, hosts.orphaned(id), qt.IsTrue)
	hosts.setBoot("entry", 1)
	qt.Assert(t, hosts.orphaned(id), qt.IsFalse)
	hosts.setBoot("entry", 2)
	qt.Assert(t, hosts.orphaned(id), qt.IsTrue)
}

// The transactions of a dead entry host end within seconds. Without the queries
// for its boot ID, they would keep their connections for
// idleTransactionTimeout.
func TestTransactionsOfADeadEntryHostAreRolledBack(t *testing.T) {
	p := &fakePeers{lostMethod: "Pool.BootID"}
	f := newFixture(t, func(o *Options) { o.Peers = p })
	begin := f.query(Write, "BEGIN")
	_, err := f.exec(begin)
	qt.Assert(t, err, qt.IsNil)
	began := time.Now()
	eventually(t, "rolled back", func() bool { return f.mgr.streams.get(begin.Stream) == nil })
	qt.Assert(t, time.Since(began) > time.Second, qt.IsTrue) // a single unanswered query is not enough
}

func TestStoredResponsesStayWithinTheByteLimit(t *testing.T) {
	store := newResponseStore(time.Second, 100)
	for i := range 10 {
		call := newBatchCall(1)
		call.reply = &Reply{Messages: make([]byte, 30)}
		close(call.done)
		store.put(StreamID{Seq: uint64(i)}, call, t0)
	}
	qt.Assert(t, store.bytes <= 100, qt.IsTrue)
	dropped := store.get(StreamID{Seq: 0}, 1)
	qt.Assert(t, codeOf(dropped.err), qt.Equals, result.HolderLost)
	qt.Assert(t, store.get(StreamID{Seq: 9}, 1).reply, qt.IsNotNil)
	store.expire(t0.Add(2 * time.Second))
	qt.Assert(t, len(store.calls)+len(store.order)+store.bytes+store.dropped, qt.Equals, 0)
}

func TestInterruptedBatchOutcomes(t *testing.T) {
	for _, test := range []struct {
		b    interruptedBatch
		want result.Code
	}{
		{interruptedBatch{class: Write, mayCommit: true}, result.TargetDown},
		{interruptedBatch{class: Write, mayCommit: true, sent: true}, result.UnknownOutcome},
		{interruptedBatch{class: Write, mayCommit: true, sent: true, inTransaction: true}, result.UnknownOutcome},
		{interruptedBatch{class: Write, mayCommit: true, inTransaction: true}, result.TransactionLost},
		{interruptedBatch{class: Write, sent: true, inTransaction: true}, result.TransactionLost},
		{interruptedBatch{class: Write, sent: true}, result.TransactionLost},
		{interruptedBatch{class: Read, sent: true}, result.TargetDown},
		{interruptedBatch{class: Read, sent: true, mayCommit: true, replica: true}, result.TargetDown},
		{interruptedBatch{class: Read, sent: true, mayCommit: true}, result.UnknownOutcome},
		{interruptedBatch{class: Read, sent: true, partlyDelivered: true}, result.UnknownOutcome},
	} {
		qt.Check(t, test.b.code(), qt.Equals, test.want, qt.Commentf("%+v", test.b))
	}
}
