package pool

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	chunkSize       = 256 << 10              // bytes of an answer kept at the holder and sent at once
	maxMessageSize  = 64 << 20               // bytes of one backend message
	inlineWriteSize = 32 << 10               // bytes that fit a socket's buffers while nothing is read
	idleCheck       = time.Second            // idle for longer, a connection is checked before its use
	checkTimeout    = 150 * time.Millisecond // a round trip takes a few milliseconds
	cancelTimeout   = time.Second
	goodbyeTimeout  = 100 * time.Millisecond // for Terminate; a silent connection isn't waited for
)

// conn is a connection to a target on which callers' batches run. A slot owns
// it while it is idle, a stream while it runs batches. It may be reused only
// when the last answer was read whole, no transaction is open and the caller
// left no state on it; else it is closed.
type conn struct {
	addr  string
	dial  target.DialFunc
	net   net.Conn
	read  *bufio.Reader // of net
	front *pgproto3.Frontend
	pid   uint32
	key   []byte

	statements *statementCache
	openedAt   time.Time // before it, no status of the target vouches for what is read here
	lastRead   time.Time // when the target last answered
	closed     atomic.Bool
}

// openConn connects within ctx. The caller owns the connection.
func openConn(ctx context.Context, t topology.Target, login target.Login, dial target.DialFunc) (*conn, error) {
	pg, err := target.DialPG(ctx, t.Addr, login, dial)
	if err != nil {
		return nil, err
	}
	if err := pg.SyncConn(ctx); err != nil {
		return nil, err
	}
	hijacked, err := pg.Hijack()
	if err != nil {
		return nil, err
	}
	if err := hijacked.Conn.SetDeadline(time.Time{}); err != nil {
		_ = hijacked.Conn.Close()
		return nil, err
	}
	read := bufio.NewReader(hijacked.Conn)
	c := &conn{
		addr:       t.Addr,
		dial:       dial,
		net:        hijacked.Conn,
		read:       read,
		front:      pgproto3.NewFrontend(read, hijacked.Conn),
		pid:        hijacked.PID,
		key:        hijacked.SecretKey,
		statements: newStatementCache(),
		openedAt:   time.Now(),
		lastRead:   time.Now(),
	}
	c.front.SetMaxBodyLen(maxMessageSize)
	return c, nil
}

// close ends the connection at once; the target rolls back what is open.
func (c *conn) close() {
	if c.closed.Swap(true) {
		return
	}
	_ = c.net.Close()
}

// abandon ends a connection whose caller gave up, and what runs on it.
func (c *conn) abandon() {
	c.close()
	c.cancelQuietly()
}

func (c *conn) cancelQuietly() { _ = c.cancel(context.Background()) }

// bye ends an idle connection in the protocol's way.
func (c *conn) bye() {
	_ = c.net.SetDeadline(time.Now().Add(goodbyeTimeout))
	c.front.Send(&pgproto3.Terminate{})
	_ = c.front.Flush()
	c.close()
}

// send writes a batch. sent is false if surely no byte of it left.
func (c *conn) send(wire []byte, deadline time.Time) (sent bool, err error) {
	if err := c.net.SetDeadline(deadline); err != nil {
		return false, err
	}
	if c.closed.Load() {
		return false, net.ErrClosed
	}
	if len(wire) <= inlineWriteSize {
		n, err := c.net.Write(wire)
		return n > 0, err
	}
	// The target may answer before it has read everything: written beside the reads.
	go func() {
		if _, err := c.net.Write(wire); err != nil {
			c.close()
		}
	}()
	return true, nil
}

// receive reads the answer up to a chunk's size or its end.
func (c *conn) receive(a *answer) error {
	for !a.done && len(a.out) < chunkSize {
		msg, err := c.front.Receive()
		if err != nil {
			return errors.Wrap(err, "read from target")
		}
		if err := a.take(msg); err != nil {
			return err
		}
	}
	c.lastRead = time.Now()
	return nil
}

// awaitByte waits until something of an answer has arrived.
func (c *conn) awaitByte() error {
	if c.front.ReadBufferLen() > 0 {
		return nil
	}
	_, err := c.read.Peek(1)
	return err
}

// hungUp tells whether the target has closed an idle connection. The deadline
// of the last batch doesn't count any more.
func (c *conn) hungUp() bool { return c.net.SetDeadline(time.Time{}) != nil || hungUp(c.net) }

// idleFor returns how long the target has said nothing.
func (c *conn) idleFor(now time.Time) time.Duration { return now.Sub(c.lastRead) }

// check makes a round trip that runs nothing.
func (c *conn) check() error {
	wire, err := (&pgproto3.Sync{}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.send(wire, time.Now().Add(checkTimeout)); err != nil {
		return err
	}
	a := newAnswer(plan{ops: []op{{kind: opSync}}}, c.statements)
	if err := c.receive(a); err != nil {
		return err
	}
	if a.txStatus != txIdle {
		return errors.New("an idle connection is inside a transaction")
	}
	return nil
}

// cancel asks the target to cancel what runs on the connection.
func (c *conn) cancel(ctx context.Context) error {
	ctx, done := context.WithTimeout(ctx, cancelTimeout)
	defer done()
	conn, err := c.dial(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(cancelTimeout)); err != nil {
		return err
	}
	wire, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.key}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(wire); err != nil {
		return err
	}
	_, _ = conn.Read(make([]byte, 1)) // the target closes once it has handled the request
	return nil
}
