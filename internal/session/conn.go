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
	lingerTimeout             = time.Second     // time for a client to read the last error before the socket is closed
	hostFullRetryAfter        = 5 * time.Second // suggested to clients of a host at its session limit
	noConfigurationRetryAfter = time.Second     // suggested to clients of a host without configuration
)

var errDraining = result.New(result.Draining, "this host is draining; reconnect")

// conn is a client connection. Only abort, abortRequests, cancelRunning and
// state may be called from other goroutines; everything else belongs to the
// goroutine that runs serve. After the handshake, backend belongs to the
// goroutine that runs readBatches.
type conn struct {
	srv            *Server
	net            net.Conn
	backend        *pgproto3.Backend
	out            output
	ctx            context.Context // canceled when the connection ends
	cancelCtx      context.CancelFunc
	requestCtx     context.Context // canceled when requests are aborted, at the latest with ctx
	cancelRequests context.CancelFunc

	customer     *customer.Customer
	user         customer.User
	databaseName string
	scope        scope
	settings     settings
	floor        floor
	secret       uint32 // cancel secret, 0 before the session is accepted

	tx             txState
	pendingBegin   statement  // BEGIN of a transaction in the state begun
	txClass        pool.Class // class of a pinned transaction
	skippingToSync bool       // batches are dropped up to the next Sync after an error

	mu         sync.Mutex // guards the fields below
	routing    routing.Conn
	snapshot   SessionState
	stateSince time.Time
}

func newConn(ctx context.Context, s *Server, netConn net.Conn) *conn {
	c := &conn{srv: s, net: netConn, stateSince: time.Now()}
	c.ctx, c.cancelCtx = context.WithCancel(ctx)
	c.requestCtx, c.cancelRequests = context.WithCancel(c.ctx)
	c.out.conn = netConn
	c.backend = pgproto3.NewBackend(countingReader{netConn}, nil)
	return c
}

// abort closes the connection at once. It is safe to call from any goroutine.
func (c *conn) abort() {
	c.cancelCtx()
	_ = c.net.Close()
}

// abortRequests aborts the running request, which is answered with an error. The
// connection ends after that.
func (c *conn) abortRequests() { c.cancelRequests() }

// serve handles the connection until it ends. If hostFull is set, the session is
// refused once the startup message has been read.
func (c *conn) serve(hostFull bool) {
	defer c.abort()
	stop := context.AfterFunc(c.ctx, func() { _ = c.net.Close() })
	defer stop()
	defer c.srv.unregister(c)
	if err := c.handshake(hostFull); err != nil {
		c.closeWithError(err)
		return
	}
	c.openRouting()
	defer c.closeRouting()
	if err := c.run(); err != nil {
		c.closeWithError(err)
	}
}

// run executes batches until the connection ends. It returns nil if the client
// ended the connection.
func (c *conn) run() error {
	batches := make(chan *batch)
	go c.readBatches(batches)
	for {
		b, err := c.nextBatch(batches)
		if err != nil || b == nil {
			return err
		}
		if err := c.handle(b); err != nil {
			return err
		}
		c.updateSnapshot()
	}
}

// nextBatch waits for the next batch. Within a transaction the wait is limited
// by Options.IdleTransactionTimeout. Outside a transaction it returns errDraining as
// soon as the host drains.
func (c *conn) nextBatch(batches <-chan *batch) (*batch, error) {
	draining := c.srv.draining
	var idle <-chan time.Time
	if c.tx == txBegun || c.tx.pinned() {
		draining = nil
		timer := time.NewTimer(c.srv.opts.IdleTransactionTimeout)
		defer timer.Stop()
		idle = timer.C
	}
	select {
	case b := <-batches:
		return b, nil
	case <-draining:
		return nil, errDraining
	case <-c.requestCtx.Done():
		if c.ctx.Err() != nil {
			return nil, nil
		}
		return nil, errDraining
	case <-idle:
		return nil, result.New(result.TransactionLost, "no statement within an open transaction for %v", c.srv.opts.IdleTransactionTimeout)
	}
}

// readBatches assembles batches until the client ends the connection, then
// closes the channel. If the client disconnects without Terminate, the running
// request is canceled.
func (c *conn) readBatches(batches chan<- *batch) {
	defer close(batches)
	asm := newAssembler(c.srv.opts.MaxMessageBytes)
	for {
		b, last := c.readMessage(asm)
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

// readMessage reads one message. It returns the batch that the message
// completes, if any, and whether the message is the last one.
func (c *conn) readMessage(asm *assembler) (*batch, bool) {
	msg, err := c.backend.Receive()
	if err == nil {
		_, last := msg.(*pgproto3.Terminate)
		if last {
			return nil, true
		}
		return asm.add(msg), false
	}
	if isNetworkError(err) {
		c.cancelCtx()
		return nil, true
	}
	return &batch{refusal: protocolError(err), fatal: true}, true
}

// protocolError returns the refusal for a message that can't be parsed.
func protocolError(err error) *result.Error {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLarge) {
		return result.New(result.MessageTooLarge, "%s", err.Error())
	}
	return result.New(result.BadProtocol, "%s", truncate(err.Error()))
}

// isNetworkError reports whether the connection broke or timed out.
func isNetworkError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

// closeWithError sends err to the client as a fatal error before the connection
// is closed. It sends nothing if the connection is already broken.
func (c *conn) closeWithError(err error) {
	var refusal *result.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		refusal = result.New(result.BadStartup, "startup not completed within %v", c.srv.opts.StartupTimeout)
	case isNetworkError(err) || errors.Is(err, cancelRequestHandledError{}) || c.out.err != nil:
		return
	default:
		refusal = result.As(err, result.BadProtocol)
	}
	countRefusal(refusal.Code)
	log := c.srv.opts.Log
	if refusal.Code == result.Draining {
		log = log.V(1) // every session of a draining host ends with this code
	}
	log.Info("session ended with an error", "code", int(refusal.Code), "detail", refusal.Detail, "remote", c.net.RemoteAddr().String(),
		"customer", c.scope.customer, "user", c.user.Name)
	response := errorResponse(severityFatal, refusal)
	c.addHint(response, refusal)
	c.out.send(response)
	if c.out.flush() == nil {
		c.linger()
	}
}

// linger gives the client time to read the last error: closing a socket with
// unread input would reset the connection and discard the error.
func (c *conn) linger() {
	tcp, ok := c.net.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, tcp)
}

// openRouting opens a routing connection for the session's batches.
func (c *conn) openRouting() {
	routingConn := c.srv.opts.Router.Open(c.scope.customer, c.scope.group)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.routing = routingConn
}

func (c *conn) closeRouting() { c.currentRouting().Close() }

func (c *conn) currentRouting() routing.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routing
}

// cancelRunning cancels the running request of the session, if any.
func (c *conn) cancelRunning() {
	c.mu.Lock()
	routingConn, running := c.routing, c.snapshot.Running
	c.mu.Unlock()
	if routingConn == nil || !running {
		return
	}
	if err := routingConn.Cancel(c.ctx); err != nil {
		c.srv.opts.Log.V(1).Info("failed to cancel the running request", "code", int(result.As(err, result.UnknownOutcome).Code))
	}
}

// countingReader counts the bytes that clients send.
type countingReader struct{ net.Conn }

func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	bytesFromClients.Add(n)
	return n, err
}
