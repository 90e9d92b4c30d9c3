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
	chunkSize        = 256 << 10              // bytes of a response that the holder buffers and returns at once
	maxMessageSize   = 64 << 20               // bytes of one backend message
	inlineWriteSize  = 32 << 10               // bytes of a batch that fit in the socket buffers even if the target reads nothing
	idleProbeAfter   = time.Second            // a connection idle for longer is probed before use
	probeTimeout     = 150 * time.Millisecond // a round trip takes a few milliseconds
	cancelTimeout    = time.Second
	terminateTimeout = 100 * time.Millisecond // for sending Terminate; a silent connection isn't waited for
)

// conn is a data connection to a target, on which callers' batches run. A slot
// owns an idle connection; a stream owns it while it runs batches. A connection
// may be reused only if the last response was read completely, no transaction
// is open and the caller left no session state on it. Otherwise it is closed.
type conn struct {
	addr      string
	dial      target.DialFunc
	net       net.Conn
	reader    *bufio.Reader // reads from net
	frontend  *pgproto3.Frontend
	pid       uint32
	secretKey []byte

	statements *statementCache
	openedAt   time.Time // a status requested earlier does not describe the data read here
	lastRead   time.Time // when the target last answered
	closed     atomic.Bool
}

// openConn connects to the target before ctx ends. The caller owns the
// connection.
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
	reader := bufio.NewReader(hijacked.Conn)
	c := &conn{
		addr:       t.Addr,
		dial:       dial,
		net:        hijacked.Conn,
		reader:     reader,
		frontend:   pgproto3.NewFrontend(reader, hijacked.Conn),
		pid:        hijacked.PID,
		secretKey:  hijacked.SecretKey,
		statements: newStatementCache(),
		openedAt:   time.Now(),
		lastRead:   time.Now(),
	}
	c.frontend.SetMaxBodyLen(maxMessageSize)
	return c, nil
}

// close closes the connection immediately; the target rolls back an open
// transaction.
func (c *conn) close() {
	if c.closed.Swap(true) {
		return
	}
	_ = c.net.Close()
}

// abort closes a connection whose caller gave up and cancels the statement that
// runs on it.
func (c *conn) abort() {
	c.close()
	c.cancelBestEffort()
}

// cancelBestEffort sends a cancel request and ignores errors.
func (c *conn) cancelBestEffort() { _ = c.cancel(context.Background()) }

// terminate sends Terminate on an idle connection and closes it.
func (c *conn) terminate() {
	_ = c.net.SetDeadline(time.Now().Add(terminateTimeout))
	c.frontend.Send(&pgproto3.Terminate{})
	_ = c.frontend.Flush()
	c.close()
}

// send writes a batch. It returns sent = false only if no byte can have left.
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
	// The target may respond before it has read the whole batch, so the write
	// runs concurrently with the reads.
	go func() {
		if _, err := c.net.Write(wire); err != nil {
			c.close()
		}
	}()
	return true, nil
}

// receive reads messages until the response is complete or a chunk is full.
func (c *conn) receive(resp *response) error {
	for !resp.done && len(resp.pending) < chunkSize {
		msg, err := c.frontend.Receive()
		if err != nil {
			return errors.Wrap(err, "read from target")
		}
		if err := resp.consume(msg); err != nil {
			return err
		}
	}
	c.lastRead = time.Now()
	return nil
}

// awaitData blocks until some data of the response has arrived.
func (c *conn) awaitData() error {
	if c.frontend.ReadBufferLen() > 0 {
		return nil
	}
	_, err := c.reader.Peek(1)
	return err
}

// peerClosed reports whether the target has closed an idle connection. It first
// clears the deadline of the last batch, which no longer applies.
func (c *conn) peerClosed() bool { return c.net.SetDeadline(time.Time{}) != nil || peerClosed(c.net) }

// silentFor returns how long ago the target last answered.
func (c *conn) silentFor(now time.Time) time.Duration { return now.Sub(c.lastRead) }

// probe makes a round trip that runs no statement.
func (c *conn) probe() error {
	wire, err := (&pgproto3.Sync{}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := c.send(wire, time.Now().Add(probeTimeout)); err != nil {
		return err
	}
	resp := newResponse(plan{ops: []op{{kind: opSync}}}, c.statements)
	if err := c.receive(resp); err != nil {
		return err
	}
	if resp.txStatus != txIdle {
		return errors.New("idle connection has an open transaction")
	}
	return nil
}

// cancel asks the target to cancel the statement that runs on the connection.
func (c *conn) cancel(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	conn, err := c.dial(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(cancelTimeout)); err != nil {
		return err
	}
	wire, err := (&pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secretKey}).Encode(nil)
	if err != nil {
		return err
	}
	if _, err := conn.Write(wire); err != nil {
		return err
	}
	_, _ = conn.Read(make([]byte, 1)) // the target closes the connection after handling the request
	return nil
}
