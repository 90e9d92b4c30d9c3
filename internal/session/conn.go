package session

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/routing"
)

const (
	lingerTimeout      = time.Second     // for a caller to read the last error before the socket is closed
	fullPause          = 5 * time.Second // until a full host may have room
	configurationPause = time.Second     // until a host may have its configuration
)

var errDraining = result.New(result.Draining, "this host is leaving; connect again")

// conn is one caller's connection. All but abort, stopRequests, cancelRunning
// and state belongs to the goroutine of serve; the reading goroutine has the
// backend once the handshake is over.
type conn struct {
	srv     *Server
	net     net.Conn
	backend *pgproto3.Backend
	out     output
	ctx     context.Context // ends with the connection
	end     context.CancelFunc
	runs    context.Context // ends when requests are given up, at the latest with ctx
	stopRun context.CancelFunc

	customer *customer.Customer
	user     customer.User
	database string
	scope    scope
	settings settings
	floor    floor
	secret   uint32 // 0 before the session is accepted

	tx       txState
	begin    statement  // of a transaction in the state begun
	txClass  pool.Class // of a pinned transaction
	skipping bool       // batches up to the next Sync, after an error before it

	mu       sync.Mutex // guards what follows
	routing  routing.Conn
	snapshot SessionState
	since    time.Time
}

func newConn(ctx context.Context, s *Server, nc net.Conn) *conn {
	c := &conn{srv: s, net: nc, since: time.Now()}
	c.ctx, c.end = context.WithCancel(ctx)
	c.runs, c.stopRun = context.WithCancel(c.ctx)
	c.out.conn = nc
	c.backend = pgproto3.NewBackend(countingReader{nc}, nil)
	return c
}

// abort closes the connection from outside.
func (c *conn) abort() {
	c.end()
	_ = c.net.Close()
}

// stopRequests gives up what runs; its caller gets an answer that tells so.
func (c *conn) stopRequests() { c.stopRun() }

// serve runs the connection to its end.
func (c *conn) serve(full bool) {
	defer c.abort()
	stop := context.AfterFunc(c.ctx, func() { _ = c.net.Close() })
	defer stop()
	defer c.srv.leave(c)
	if err := c.handshake(full); err != nil {
		c.sayGoodbye(err)
		return
	}
	c.openRouting()
	defer c.closeRouting()
	if err := c.run(); err != nil {
		c.sayGoodbye(err)
	}
}

// run answers batches until the connection is over. It returns nil when the
// caller ended it.
func (c *conn) run() error {
	batches := make(chan *batch)
	go c.read(batches)
	for {
		b, err := c.nextBatch(batches)
		if err != nil || b == nil {
			return err
		}
		if err := c.handle(b); err != nil {
			return err
		}
		c.note()
	}
}

// nextBatch waits for the caller, bounded in a transaction. A leaving host
// waits for no session outside one.
func (c *conn) nextBatch(batches <-chan *batch) (*batch, error) {
	draining := c.srv.draining
	var idle <-chan time.Time
	if c.tx == txBegun || c.tx.pinned() {
		draining = nil
		timer := time.NewTimer(c.srv.opts.IdleTransaction)
		defer timer.Stop()
		idle = timer.C
	}
	select {
	case b := <-batches:
		return b, nil
	case <-draining:
		return nil, errDraining
	case <-c.runs.Done():
		if c.ctx.Err() != nil {
			return nil, nil
		}
		return nil, errDraining
	case <-idle:
		return nil, result.New(result.TransactionLost, "no statement for %v within a transaction", c.srv.opts.IdleTransaction)
	}
}

// read assembles batches until the caller ends the connection, then closes
// the channel. A caller that vanishes ends what its session runs.
func (c *conn) read(batches chan<- *batch) {
	defer close(batches)
	a := newAssembler(c.srv.opts.MaxMessageBytes)
	for {
		b, last := c.readMessage(a)
		if b != nil {
			select {
			case batches <- b:
			case <-c.ctx.Done():
				return
			}
		}
		if last {
			return
		}
	}
}

// readMessage reads one message. It tells whether it is the last.
func (c *conn) readMessage(a *assembler) (*batch, bool) {
	msg, err := c.backend.Receive()
	if err == nil {
		_, last := msg.(*pgproto3.Terminate)
		if last {
			return nil, true
		}
		return a.add(msg), false
	}
	if isNetworkError(err) {
		c.end()
		return nil, true
	}
	return &batch{refusal: protocolError(err), fatal: true}, true
}

// protocolError returns the refusal of a message that can't be read.
func protocolError(err error) *result.Error {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLong) {
		return result.New(result.MessageTooLarge, "%s", err.Error())
	}
	return result.New(result.BadProtocol, "%s", clip(err.Error()))
}

// isNetworkError tells whether the connection itself broke or went silent.
func isNetworkError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// sayGoodbye ends the connection with an error, if there is anybody to read it.
func (c *conn) sayGoodbye(err error) {
	var e *result.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		e = result.New(result.BadStartup, "no start-up within %v", c.srv.opts.StartupTimeout)
	case isNetworkError(err) || errors.Is(err, endOfConnection{}) || c.out.err != nil:
		return
	default:
		e = result.As(err, result.BadProtocol)
	}
	countRefusal(e.Code)
	log := c.srv.opts.Log
	if e.Code == result.Draining {
		log = log.V(1) // every session of a leaving host ends so
	}
	log.Info("session refused", "code", int(e.Code), "detail", e.Detail, "remote", c.net.RemoteAddr().String(),
		"customer", c.scope.customer, "user", c.user.Name)
	c.out.send(errorResponse(severityFatal, e))
	if c.out.flush() == nil {
		c.linger()
	}
}

// linger lets the caller read the last error: closing a socket with unread
// input would discard it.
func (c *conn) linger() {
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, tcp)
}

// openRouting starts the routing of the session's batches.
func (c *conn) openRouting() {
	r := c.srv.opts.Router.Open(c.scope.customer, c.scope.group)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routing = r
}

func (c *conn) closeRouting() { c.currentRouting().Close() }

func (c *conn) currentRouting() routing.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routing
}

// cancelRunning cancels what the session runs at the moment.
func (c *conn) cancelRunning() {
	c.mu.Lock()
	r, running := c.routing, c.snapshot.Running
	c.mu.Unlock()
	if r == nil || !running {
		return
	}
	if err := r.Cancel(c.ctx); err != nil {
		c.srv.opts.Log.V(1).Info("cancel failed", "code", int(result.As(err, result.UnknownOutcome).Code))
	}
}

// countingReader counts the bytes that callers send.
type countingReader struct{ net.Conn }

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	bytesFromCallers.Add(n)
	return n, err
}
