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

// Fails when a repeat runs: the statement is then counted twice.
func TestRepeatGetsTheStoredAnswer(t *testing.T) {
	f := newFixture(t)
	req := f.query(Write, "INSERT once")
	first, err := f.exec(req)
	qt.Assert(t, err, qt.IsNil)
	second, err := f.exec(req)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, second, qt.DeepEquals, first)
	qt.Assert(t, f.fake.get(func() int { return f.fake.ran["INSERT once"] }), qt.Equals, 1)
}

func TestRecallOfAnUnknownBatchKeepsItFromRunning(t *testing.T) {
	f := newFixture(t)
	req := f.query(Write, "INSERT late")
	var reply RecallReply
	service := &Service{Manager: f.m}
	qt.Assert(t, service.Recall(&RecallArgs{Stream: req.Stream, Batch: 1}, &reply), qt.IsNil)
	qt.Assert(t, reply.neverRan(0), qt.IsTrue)
	qt.Assert(t, reply.neverRan(time.Hour), qt.IsFalse)
	_, err := f.exec(req)
	wantCode(t, err, result.HostUnreachable)
	qt.Assert(t, f.fake.get(func() int { return f.fake.ran["INSERT late"] }), qt.Equals, 0)
}

// A transaction whose next batch never arrived is rolled back at once.
func TestRecallEndsTheTransaction(t *testing.T) {
	f := newFixture(t)
	p := &peers{service: &Service{Manager: f.m}}
	remote := Remote{Caller: p, Host: "holder"}
	begin := f.query(Write, "BEGIN")
	_, err := remote.Exec(context.Background(), begin)
	qt.Assert(t, err, qt.IsNil)
	p.lose = "Pool.Exec"
	commit := f.query(Write, "COMMIT")
	commit.Stream, commit.Batch = begin.Stream, 2
	_, err = remote.Exec(context.Background(), commit)
	wantCode(t, err, result.TransactionLost)
	qt.Assert(t, f.m.Dump().(State).Slots[0].Streams, qt.Equals, 0)
	_, err = f.exec(commit) // it arrives late
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, f.fake.get(func() int { return f.fake.ran["COMMIT"] }), qt.Equals, 0)
}

func TestConnectionThatBreaksUnderAWriteLeavesItsOutcomeUnknown(t *testing.T) {
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
	eventually(t, "both run", func() bool { return f.fake.get(func() int { return f.fake.ran["HOLD"] }) == 2 })
	f.fake.set(func() {
		for c := range f.fake.conns {
			_ = c.Close()
		}
	})
	codes := map[result.Code]bool{codeOf(<-errs): true, codeOf(<-errs): true}
	qt.Assert(t, codes, qt.DeepEquals, map[result.Code]bool{result.UnknownOutcome: true, result.TransactionLost: true})
	close(f.fake.hold)
}

// Fails when a connection is reused after its deadline: the second request then
// gets the first one's answer.
func TestLateAnswerReachesNobody(t *testing.T) {
	f := newFixture(t)
	late := f.query(Write, "HOLD")
	late.TimeLeft = 30 * time.Millisecond
	_, err := f.exec(late)
	wantCode(t, err, result.UnknownOutcome)
	close(f.fake.hold)
	reply, err := f.exec(f.query(Write, "ECHO mine"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, kinds(reply.Messages), qt.Equals, "DC")
}

// A batch that arrives after its transaction was ended must not run by itself.
func TestBatchOfAnEndedTransactionDoesNotRun(t *testing.T) {
	f := newFixture(t)
	begin := f.query(Write, "BEGIN")
	_, err := f.exec(begin)
	qt.Assert(t, err, qt.IsNil)
	s := f.m.streams.get(begin.Stream)
	insert := f.query(Write, "INSERT x")
	insert.Stream, insert.Batch = begin.Stream, 2
	s.run.Lock() // the batch arrives while the stream is being ended
	done := make(chan error, 1)
	go func() {
		_, err := f.exec(insert)
		done <- err
	}()
	eventually(t, "the batch waits for its stream", func() bool { _, idle := s.idleSince(); return !idle })
	s.kill()
	f.m.end(s, false)
	f.m.streams.remove(s, time.Now())
	s.run.Unlock()
	wantCode(t, <-done, result.TransactionLost)
	qt.Assert(t, f.fake.get(func() int { return f.fake.ran["INSERT x"] }), qt.Equals, 0)
}

// peers calls a service in this process, through what net/rpc would carry.
type peers struct {
	service *Service
	mu      sync.Mutex
	lose    string // method whose request or answer is lost
	after   bool   // the answer is lost, not the request
	boot    uint64
}

func (p *peers) Call(_ context.Context, _ topology.HostID, method string, args, reply any) error {
	p.mu.Lock()
	lose, after, boot := p.lose == method, p.after, p.boot
	p.mu.Unlock()
	lost := result.New(result.HolderLost, "lost")
	if lose && !after {
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

// Fails without recall: the lost answer is an unknown outcome, the lost
// request too.
func TestLostCallsAreResolvedByRecall(t *testing.T) {
	f := newFixture(t)
	p := &peers{service: &Service{Manager: f.m}, lose: "Pool.Exec", after: true}
	remote := Remote{Caller: p, Host: "holder"}
	reply, err := remote.Exec(context.Background(), f.query(Write, "INSERT answered"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.Position.Offset, qt.Equals, uint64(1))
	p.after = false
	req := f.query(Write, "INSERT never")
	_, err = remote.Exec(context.Background(), req)
	wantCode(t, err, result.HostUnreachable)
	_, err = f.exec(req) // it arrives late
	wantCode(t, err, result.HostUnreachable)
	qt.Assert(t, f.fake.get(func() int { return f.fake.ran["INSERT answered"] + 10*f.fake.ran["INSERT never"] }), qt.Equals, 1)
}

// Fails without the question for the boot: the transaction then keeps its
// connection for idleTransactionLimit.
// Fails when a write waits for a silent primary that was replaced: it then ends
// at its deadline only.
func TestWriteAtAReplacedPrimaryEnds(t *testing.T) {
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
	eventually(t, "it runs", func() bool { return f.fake.get(func() int { return f.fake.ran["HOLD"] }) == 1 })
	term.Store(2)
	began := time.Now()
	wantCode(t, <-done, result.UnknownOutcome)
	qt.Assert(t, time.Since(began) < 3*time.Second, qt.IsTrue)
	close(f.fake.hold)
}

func TestRestartedEntryHostLosesItsTransactions(t *testing.T) {
	p := &peers{boot: 2}
	f := newFixture(t, func(o *Options) { o.Peers = p })
	begin := f.query(Write, "BEGIN")
	_, err := f.exec(begin)
	qt.Assert(t, err, qt.IsNil)
	eventually(t, "rolled back", func() bool { return f.m.streams.get(begin.Stream) == nil })
	qt.Assert(t, f.m.Dump().(State).Slots[0].Streams, qt.Equals, 0)
}

func TestEntryHostsThatStaySilentAreGone(t *testing.T) {
	hosts := newEntryHosts()
	id := StreamID{Host: "entry", Boot: 1}
	hosts.keep([]topology.HostID{"entry"}, t0)
	qt.Assert(t, hosts.orphaned(id, t0.Add(orphanAfter)), qt.IsFalse)
	qt.Assert(t, hosts.orphaned(id, t0.Add(orphanAfter+1)), qt.IsTrue)
	hosts.answered("entry", 1, t0.Add(orphanAfter))
	hosts.keep([]topology.HostID{"entry"}, t0.Add(orphanAfter))
	qt.Assert(t, hosts.orphaned(id, t0.Add(orphanAfter+1)), qt.IsFalse)
	hosts.answered("entry", 2, t0)
	qt.Assert(t, hosts.orphaned(id, t0), qt.IsTrue)
}

func TestStoredAnswersStayWithinTheirBytes(t *testing.T) {
	store := newAnswerStore(time.Second, 100)
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

func TestBrokenBatchOutcomes(t *testing.T) {
	for _, test := range []struct {
		b    broken
		want result.Code
	}{
		{broken{class: Write, mayCommit: true}, result.TargetDown},
		{broken{class: Write, mayCommit: true, sent: true}, result.UnknownOutcome},
		{broken{class: Write, mayCommit: true, sent: true, inTransaction: true}, result.UnknownOutcome},
		{broken{class: Write, mayCommit: true, inTransaction: true}, result.TransactionLost},
		{broken{class: Write, sent: true, inTransaction: true}, result.TransactionLost},
		{broken{class: Write, sent: true}, result.TransactionLost},
		{broken{class: Read, sent: true}, result.TargetDown},
		{broken{class: Read, sent: true, mayCommit: true, replica: true}, result.TargetDown},
		{broken{class: Read, sent: true, mayCommit: true}, result.UnknownOutcome},
		{broken{class: Read, sent: true, passedOn: true}, result.UnknownOutcome},
	} {
		qt.Check(t, test.b.code(), qt.Equals, test.want, qt.Commentf("%+v", test.b))
	}
}
