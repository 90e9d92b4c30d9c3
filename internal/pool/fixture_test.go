package pool

import (
	"context"
	"encoding/binary"
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
