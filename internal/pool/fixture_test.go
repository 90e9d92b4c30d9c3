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

// fakeConfirmer returns the results that the test sets.
type fakeConfirmer struct {
	mu                        sync.Mutex
	canConfirmErr, confirmErr error
	requested                 []topology.Position
	gate                      chan struct{} // if set, Confirm waits until it is closed
}

func (c *fakeConfirmer) Confirm(_ context.Context, _ topology.GroupID, pos topology.Position) error {
	c.mu.Lock()
	c.requested = append(c.requested, pos)
	gate, confirmErr := c.gate, c.confirmErr
	c.mu.Unlock()
	if gate != nil {
		<-gate
	}
	return confirmErr
}

func (c *fakeConfirmer) CanConfirm(topology.GroupID) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canConfirmErr
}

func (c *fakeConfirmer) set(canConfirmErr, confirmErr error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canConfirmErr, c.confirmErr = canConfirmErr, confirmErr
}

// fixture is a Manager that holds slot 0 of a fakeTarget.
type fixture struct {
	t       *testing.T
	fake    *fakeTarget
	confirm *fakeConfirmer
	mgr     *Manager
	dialer  *muteDialer
	seq     atomic.Uint64
}

func newFixture(t *testing.T, configure ...func(*Options)) *fixture {
	f := &fixture{t: t, fake: startFakeTarget(t), confirm: &fakeConfirmer{}, dialer: &muteDialer{}}
	opts := Options{Self: topology.Host{ID: "self"}, Dial: f.dialer.dial, Confirm: f.confirm, Log: logr.Discard()}
	for _, c := range configure {
		c(&opts)
	}
	f.mgr = NewManager(opts)
	f.mgr.SetHeldSlots([]HeldSlot{{Target: f.fake.topology(), Slot: 0}})
	f.awaitLock()
	t.Cleanup(func() {
		f.mgr.Close()
		f.fake.stop()
		goleak.VerifyNone(t)
	})
	return f
}

func (f *fixture) awaitLock() {
	f.t.Helper()
	eventually(f.t, "slot locked", func() bool {
		state := f.mgr.Dump().(State)
		return len(state.Slots) > 0 && state.Slots[0].Locked && state.Slots[0].Status.Role != ""
	})
}

// request returns the first batch of a new stream from another host.
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

func (f *fixture) exec(req *Request) (*Reply, error) { return f.mgr.Exec(context.Background(), req) }

func messageTypes(messages []byte) string {
	var types []byte
	for len(messages) > 0 {
		types = append(types, messages[0])
		messages = messages[1+binary.BigEndian.Uint32(messages[1:]):]
	}
	return string(types)
}

func assertCode(t *testing.T, err error, code result.Code) {
	t.Helper()
	qt.Assert(t, codeOf(err), qt.Equals, code, qt.Commentf("%v", err))
}

// muteDialer can mute the connections that it has opened: what is written to
// them is discarded.
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

// SyscallConn lets the pool see whether the peer has closed the connection.
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

// mute mutes the connections opened so far, beginning with the one at index
// from.
func (d *muteDialer) mute(from int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.opened[from:] {
		m.Store(true)
	}
}
