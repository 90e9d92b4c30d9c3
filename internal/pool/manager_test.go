package pool

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/goleak"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeConfirmer answers as the test says.
type fakeConfirmer struct {
	mu       sync.Mutex
	can, did error
	asked    []topology.Position
	gate     chan struct{} // a confirmation waits for it
}

func (c *fakeConfirmer) Confirm(_ context.Context, _ topology.GroupID, pos topology.Position) error {
	c.mu.Lock()
	c.asked = append(c.asked, pos)
	gate, did := c.gate, c.did
	c.mu.Unlock()
	if gate != nil {
		<-gate
	}
	return did
}

func (c *fakeConfirmer) CanConfirm(topology.GroupID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.can
}

func (c *fakeConfirmer) set(can, did error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.can, c.did = can, did
}

// fixture is a manager that holds slot 0 of a fake target.
type fixture struct {
	t       *testing.T
	fake    *fakeTarget
	confirm *fakeConfirmer
	m       *Manager
	dialer  *muteDialer
	seq     atomic.Uint64
}

func newFixture(t *testing.T, change ...func(*Options)) *fixture {
	f := &fixture{t: t, fake: startFake(t), confirm: &fakeConfirmer{}, dialer: &muteDialer{}}
	opts := Options{Self: topology.Host{ID: "self"}, Dial: f.dialer.dial, Confirm: f.confirm, Log: logr.Discard()}
	for _, c := range change {
		c(&opts)
	}
	f.m = NewManager(opts)
	f.m.Hold([]Held{{Target: f.fake.topology(), Slot: 0}})
	f.awaitLock()
	t.Cleanup(func() {
		f.m.Close()
		f.fake.stop()
		goleak.VerifyNone(t)
	})
	return f
}

func (f *fixture) awaitLock() {
	f.t.Helper()
	eventually(f.t, "slot locked", func() bool {
		state := f.m.Dump().(State)
		return len(state.Slots) > 0 && state.Slots[0].Locked && state.Slots[0].Status.Role != ""
	})
}

// request returns the first batch of a new stream of another host.
func (f *fixture) request(class Class, messages ...pgproto3.FrontendMessage) *Request {
	var wire []byte
	for _, m := range messages {
		var err error
		wire, err = m.Encode(wire)
		qt.Assert(f.t, err, qt.IsNil)
	}
	return &Request{
		Stream: StreamID{Host: "entry", Boot: 1, Seq: f.seq.Add(1)}, Batch: 1, Customer: "c", CostShare: 1,
		Group: "g1", Target: "t1", Slot: -1, Class: class, TimeLeft: 5 * time.Second, MayCommit: class == Write, Messages: wire,
	}
}

func (f *fixture) query(class Class, sql string) *Request {
	return f.request(class, &pgproto3.Query{String: sql})
}

func (f *fixture) exec(req *Request) (*Reply, error) { return f.m.Exec(context.Background(), req) }

func kinds(messages []byte) string {
	var kinds []byte
	for len(messages) > 0 {
		kinds = append(kinds, messages[0])
		messages = messages[1+binary.BigEndian.Uint32(messages[1:]):]
	}
	return string(kinds)
}

func wantCode(t *testing.T, err error, code result.Code) {
	t.Helper()
	qt.Assert(t, codeOf(err), qt.Equals, code, qt.Commentf("%v", err))
}

// muteDialer can silence the connections that it opened so far.
type muteDialer struct {
	mu     sync.Mutex
	opened []*atomic.Bool
}

type muteConn struct {
	net.Conn
	muted *atomic.Bool
}

func (c *muteConn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SyscallConn lets the pool see whether the other end has closed.
func (c *muteConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (d *muteDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	muted := &atomic.Bool{}
	d.opened = append(d.opened, muted)
	return &muteConn{Conn: conn, muted: muted}, nil
}

// mute silences the connections from the nth on.
func (d *muteDialer) mute(from int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.opened[from:] {
		m.Store(true)
	}
}

func TestWriteIsConfirmedBeforeItsAnswer(t *testing.T) {
	f := newFixture(t)
	reply, err := f.exec(f.query(Write, "INSERT a"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, kinds(reply.Messages), qt.Equals, "C")
	qt.Assert(t, reply.TxStatus, qt.Equals, byte('I'))
	qt.Assert(t, reply.Position, qt.Equals, topology.Position{Term: 1, Offset: 1})
	qt.Assert(t, f.confirm.asked, qt.DeepEquals, []topology.Position{reply.Position})

	f.confirm.set(nil, result.New(result.UnconfirmedCommit, "no majority"))
	_, err = f.exec(f.query(Write, "INSERT b"))
	wantCode(t, err, result.UnconfirmedCommit)

	f.confirm.set(result.New(result.NoMajority, "cut off"), nil)
	_, err = f.exec(f.query(Write, "INSERT c"))
	wantCode(t, err, result.NoMajority)
	qt.Assert(t, f.fake.get(func() int { return f.fake.ran["INSERT c"] }), qt.Equals, 0)
}

func TestTransactionKeepsItsConnection(t *testing.T) {
	f := newFixture(t)
	begin := f.query(Write, "BEGIN")
	reply, err := f.exec(begin)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, reply.TxStatus, qt.Equals, byte('T'))
	for i, sql := range []string{"INSERT x", "COMMIT"} {
		next := f.query(Write, sql)
		next.Stream, next.Batch = begin.Stream, uint32(i+2)
		reply, err = f.exec(next)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, reply.Position.Offset, qt.Equals, uint64(1))
	after := f.query(Write, "INSERT y")
	after.Stream, after.Batch = begin.Stream, 4
	_, err = f.exec(after)
	wantCode(t, err, result.TransactionLost)
}

func TestReleaseRollsBack(t *testing.T) {
	f := newFixture(t)
	begin := f.query(Write, "BEGIN")
	_, err := f.exec(begin)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.m.Release(context.Background(), begin.Stream), qt.IsNil)
	eventually(t, "only the control connection is left", func() bool {
		return f.fake.get(func() int { return len(f.fake.conns) }) == 1
	})
}

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

func TestLargeAnswerComesInBoundedChunks(t *testing.T) {
	f := newFixture(t)
	const rows, size = 3000, 1000
	req := f.query(Read, fmt.Sprintf("ROWS %d %d", rows, size))
	reply, err := f.exec(req)
	total, chunks := 0, 1
	for {
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(reply.Messages) < chunkSize+2*size, qt.IsTrue)
		total += len(reply.Messages)
		if !reply.More {
			break
		}
		reply, err = f.m.Next(context.Background(), req.Stream)
		chunks++
	}
	qt.Assert(t, total > rows*size, qt.IsTrue)
	qt.Assert(t, chunks > 10, qt.IsTrue)
	qt.Assert(t, reply.Usage.Rows, qt.Equals, uint64(rows))
}

func TestReplicaRefusesAWriteAsNotRun(t *testing.T) {
	f := newFixture(t)
	f.fake.set(func() { f.fake.role = target.Fenced })
	_, err := f.exec(f.query(Write, "INSERT a"))
	wantCode(t, err, result.NotPrimary)
	_, err = f.exec(f.query(Read, "INSERT b"))
	wantCode(t, err, result.ReadOnlyTarget)
}

func TestReadWaitsForNothingButItsFloor(t *testing.T) {
	f := newFixture(t)
	read := f.query(Read, "ROWS 1 1")
	read.Floor = topology.Position{Term: 1, Offset: 1}
	reply, err := f.exec(read)
	wantCode(t, err, result.BehindFloor)
	qt.Assert(t, reply.Hint.Primary, qt.Equals, topology.TargetID("t1"))
	f.fake.set(func() { f.fake.position.Offset = 1 })
	read = f.query(Read, "ROWS 1 1")
	read.Floor = topology.Position{Term: 1, Offset: 1}
	_, err = f.exec(read)
	qt.Assert(t, err, qt.IsNil)
}

func TestCopyIsRefusedAndItsConnectionClosed(t *testing.T) {
	f := newFixture(t)
	_, err := f.exec(f.query(Write, "COPY t FROM STDIN"))
	wantCode(t, err, result.UnsupportedFeature)
	_, err = f.exec(f.query(Write, "INSERT after"))
	qt.Assert(t, err, qt.IsNil)
}

func TestSlotKeepsWithinItsShareAndQueues(t *testing.T) {
	f := newFixture(t)
	const requests = 40
	errs := make(chan error, requests)
	for range requests {
		req := f.query(Read, "HOLD")
		req.Stream.Host = "self"
		go func() {
			_, err := f.exec(req)
			errs <- err
		}()
	}
	eventually(t, "the rest waits", func() bool {
		state := f.m.Dump().(State).Slots[0]
		return state.Queue+state.Streams == requests && state.Streams == slotShare(f.fake.topology())-1
	})
	close(f.fake.hold)
	for range requests {
		qt.Assert(t, <-errs, qt.IsNil)
	}
	qt.Assert(t, f.fake.get(func() int { return f.fake.most }) <= slotShare(f.fake.topology()), qt.IsTrue)
}

func TestDeadTargetIsATrueNotRun(t *testing.T) {
	f := newFixture(t)
	_, err := f.exec(f.query(Write, "INSERT a"))
	qt.Assert(t, err, qt.IsNil)
	f.fake.stop()
	_, err = f.exec(f.query(Write, "INSERT b"))
	wantCode(t, err, result.TargetDown)
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

// Fails when the last batch's deadline still counts: the connection is then
// taken for closed.
func TestIdleConnectionOutlivesItsLastDeadline(t *testing.T) {
	f := newFixture(t)
	short := f.query(Read, "ECHO x")
	short.TimeLeft = 100 * time.Millisecond
	_, err := f.exec(short)
	qt.Assert(t, err, qt.IsNil)
	time.Sleep(short.TimeLeft) // the rule is about time
	_, err = f.exec(f.query(Read, "ECHO x"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, f.fake.get(func() int { return f.fake.opened }), qt.Equals, 2)
}

// Fails without the check of idle connections: the write then ends as an
// unknown outcome at its deadline.
func TestWriteDoesNotUseASilentIdleConnection(t *testing.T) {
	f := newFixture(t)
	_, err := f.exec(f.query(Write, "INSERT a"))
	qt.Assert(t, err, qt.IsNil)
	f.dialer.mute(1)
	time.Sleep(idleCheck) // the rule is about idle time
	_, err = f.exec(f.query(Write, "INSERT b"))
	qt.Assert(t, err, qt.IsNil)
}

// Fails without the second attempt: the read then ends at its deadline.
func TestReadMovesOnFromASilentConnection(t *testing.T) {
	f := newFixture(t)
	_, err := f.exec(f.query(Read, "ROWS 1 1"))
	qt.Assert(t, err, qt.IsNil)
	f.dialer.mute(1)
	began := time.Now()
	_, err = f.exec(f.query(Read, "ROWS 1 1"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, time.Since(began) < 4*time.Second, qt.IsTrue)
}

func TestSilentPredecessorLosesItsSlot(t *testing.T) {
	f := newFixture(t)
	f.dialer.mute(0) // its lock stays at the target
	next := NewManager(Options{Self: topology.Host{ID: "next"}, Log: logr.Discard()})
	defer next.Close()
	next.Hold([]Held{{Target: f.fake.topology(), Slot: 0, Takeover: true}})
	eventually(t, "the successor holds the slot", func() bool { return next.Dump().(State).Slots[0].Locked })
	_, err := f.m.VerifySlot(context.Background(), "t1", 0)
	qt.Assert(t, err, qt.IsNotNil)
	next.Hold(nil)
}

// Fails when a slot that is handed over closes once its connections are free:
// the lock is then gone before the commit's session is recorded.
func TestHandoverWaitsForCommits(t *testing.T) {
	recorded := make(chan topology.Position, 1)
	f := newFixture(t, func(o *Options) {
		o.OnCommit = func(_ topology.TargetID, _ int, _ string, pos topology.Position) { recorded <- pos }
	})
	f.confirm.gate = make(chan struct{})
	req := f.query(Write, "INSERT a")
	req.Session = "s"
	done := make(chan error, 1)
	go func() {
		_, err := f.exec(req)
		done <- err
	}()
	eventually(t, "the commit waits", func() bool {
		f.confirm.mu.Lock()
		defer f.confirm.mu.Unlock()
		return len(f.confirm.asked) == 1
	})
	f.m.Hold(nil)
	eventually(t, "handover has begun", func() bool {
		slots := f.m.Dump().(State).Slots
		return len(slots) == 0 || slots[0].Draining
	})
	close(f.confirm.gate)
	qt.Assert(t, <-done, qt.IsNil)
	qt.Assert(t, (<-recorded).Offset, qt.Equals, uint64(1))
}

func TestLeavingFinishesStreamsAndRefusesOthers(t *testing.T) {
	f := newFixture(t)
	done := make(chan error, 1)
	req := f.query(Write, "HOLD")
	go func() {
		_, err := f.exec(req)
		done <- err
	}()
	eventually(t, "it runs", func() bool { return f.fake.get(func() int { return f.fake.ran["HOLD"] }) == 1 })
	left := make(chan struct{})
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		f.m.Leave(ctx)
		close(left)
	}()
	eventually(t, "new streams are refused", func() bool {
		_, err := f.exec(f.query(Read, "ROWS 1 1"))
		return codeOf(err) == result.Draining
	})
	close(f.fake.hold)
	qt.Assert(t, <-done, qt.IsNil)
	<-left
	eventually(t, "no connection is left", func() bool { return f.fake.get(func() int { return len(f.fake.conns) }) == 0 })
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

func TestPreparedStatementsFollowTheBatch(t *testing.T) {
	f := newFixture(t)
	batch := func() *Request {
		req := f.request(Write, &pgproto3.Bind{PreparedStatement: "s1"}, &pgproto3.Execute{}, &pgproto3.Sync{})
		req.Statements = []Statement{{Name: "s1", SQL: "INSERT p"}}
		return req
	}
	for range 3 {
		reply, err := f.exec(batch())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, kinds(reply.Messages), qt.Equals, "2C")
	}
	qt.Assert(t, f.fake.get(func() int { return f.fake.parsed }), qt.Equals, 1)
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
