package peer

import (
	"context"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// link is one connection to a host after its handshake. It has ended once done is
// closed; its pending calls fail then.
type link struct {
	host topology.HostID
	conn *countedConn
	rpc  *rpc.Client

	pendingPrompt    atomic.Int64  // calls without an answer, except for long polls
	pendingLongPolls atomic.Int64  // long polls without an answer
	retired          atomic.Bool   // takes no new calls
	lastCallAt       atomic.Int64  // start of the latest call, since processStart
	lastProgressAt   atomic.Int64  // latest progress of a large request (see sendProgress), since processStart
	checkRequested   chan struct{} // makes monitor check the connection at once
	done             chan struct{}
	closeOnce        sync.Once
}

func newLink(host topology.HostID, conn *countedConn) *link {
	l := &link{
		host:           host,
		conn:           conn,
		rpc:            rpc.NewClientWithCodec(newClientCodec(conn)),
		checkRequested: make(chan struct{}, 1),
		done:           make(chan struct{}),
	}
	l.lastCallAt.Store(int64(time.Since(processStart)))
	return l
}

// close closes the connection, which makes its pending calls fail.
func (l *link) close() {
	l.closeOnce.Do(func() {
		l.retired.Store(true)
		close(l.done)
		_ = l.rpc.Close()
	})
}

// usable reports whether new calls may use the connection.
func (l *link) usable() bool { return !l.retired.Load() }

// call makes one call. sent is false only if no part of the request was sent. reply
// is written only if err is nil; a late answer doesn't touch it.
func (l *link) call(ctx context.Context, method string, args any, reply any) (sent bool, err error) {
	defer l.trackPending(ctx)()
	l.lastCallAt.Store(int64(time.Since(processStart)))
	freshReply := newZeroReply(reply)
	tracked := &trackedArgs{args: args}
	startedAt := time.Now()
	call := l.rpc.Go(method, tracked, freshReply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		l.retireIfSilentSince(startedAt)
		return true, result.New(result.HolderLost, "%s at %s: %s", method, l.host, ctx.Err())
	}
	if call.Error == nil {
		copyReply(reply, freshReply)
		return true, nil
	}
	return tracked.writeStarted.Load(), l.callError(method, call.Error)
}

// trackPending counts a call as pending and schedules a check of the connection by
// monitor, in case the answer is late. The caller calls end when the call is over.
func (l *link) trackPending(ctx context.Context) (end func()) {
	count, after := &l.pendingPrompt, firstCheckDelay
	if isLongPoll(ctx) {
		count, after = &l.pendingLongPolls, longPollHeartbeatInterval
	}
	count.Add(1)
	lateTimer := time.AfterFunc(after, l.requestCheck)
	return func() {
		lateTimer.Stop()
		count.Add(-1)
	}
}

// requestCheck makes monitor check the connection at once.
func (l *link) requestCheck() {
	select {
	case l.checkRequested <- struct{}{}:
	default: // a check is already requested
	}
}

// retireIfSilentSince stops new calls from using a connection that was silent
// since startedAt. Its heartbeats decide whether it is closed.
func (l *link) retireIfSilentSince(startedAt time.Time) {
	waited := time.Since(startedAt)
	if waited >= heartbeatInterval && l.silentFor() >= waited {
		l.retired.Store(true)
		time.AfterFunc(checkInterval, l.requestCheck) // by then this call has ended; while others are pending, monitor checks anyway
	}
}

// callError converts the error of a call. A *result.Error of the service is
// restored from its text. An error of the connection closes the link.
func (l *link) callError(method string, err error) error {
	serviceError, ok := err.(rpc.ServerError)
	if !ok {
		l.close()
		return result.New(result.HolderLost, "%s at %s: %s", method, l.host, err)
	}
	if e, ok := result.Parse(string(serviceError)); ok {
		return e
	}
	return result.New(result.UnknownOutcome, "%s at %s: %s", method, l.host, string(serviceError))
}

// monitor sends heartbeats while calls are pending, and closes the connection when
// it is silent, broken or unused. It sleeps while no call is late.
func (l *link) monitor() {
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	defer l.close()
	var heartbeatCall *rpc.Call
	var heartbeatSentAt time.Time
	var progress sendProgress
	for {
		select {
		case <-l.done:
			return
		case <-l.checkRequested:
		case <-timer.C:
		}
		if heartbeatCall != nil && isDone(heartbeatCall) {
			if heartbeatCall.Error != nil {
				return
			}
			heartbeatCall = nil
		}
		if progress.check(l.conn) {
			l.lastProgressAt.Store(int64(time.Since(processStart)))
		}
		heartbeatAge := time.Duration(-1)
		if heartbeatCall != nil {
			heartbeatAge = time.Since(heartbeatSentAt)
		}
		switch l.chooseAction(heartbeatAge) {
		case abandonSilent:
			connectionsSilent.Inc()
			return
		case closeUnused:
			return
		case startHeartbeat:
			heartbeatCall, heartbeatSentAt = l.sendHeartbeat(), time.Now()
			heartbeatAge = 0
		}
		timer.Reset(nextCheckDelay(l.silentFor(), l.pendingCalls(), heartbeatAge, l.sinceLastCall()))
	}
}

func (l *link) pendingCalls() pendingCalls {
	return pendingCalls{prompt: int(l.pendingPrompt.Load()), longPoll: int(l.pendingLongPolls.Load())}
}

func (l *link) sinceLastCall() time.Duration {
	return time.Since(processStart) - time.Duration(l.lastCallAt.Load())
}

// silentFor returns for how long nothing has shown that the host is alive.
func (l *link) silentFor() time.Duration {
	return silence(l.conn.quietFor(), time.Since(processStart)-time.Duration(l.lastProgressAt.Load()))
}

// chooseAction returns what to do with the connection. A retired one is closed as
// soon as no call is pending and no heartbeat is in flight.
func (l *link) chooseAction(heartbeatAge time.Duration) connAction {
	pending := l.pendingCalls()
	if l.retired.Load() && pending.empty() && heartbeatAge < 0 {
		return closeUnused
	}
	return chooseAction(l.silentFor(), pending, heartbeatAge, l.sinceLastCall())
}

// sendHeartbeat starts a heartbeat call. It sends in another goroutine, since the
// write may block behind a stalled one.
func (l *link) sendHeartbeat() *rpc.Call {
	call := &rpc.Call{Done: make(chan *rpc.Call, 1)}
	go func() {
		c := <-l.rpc.Go(heartbeatMethod, &trackedArgs{args: &Empty{}}, &Empty{}, make(chan *rpc.Call, 1)).Done
		call.Error = c.Error
		call.Done <- call
	}()
	return call
}

func isDone(call *rpc.Call) bool {
	select {
	case <-call.Done:
		return true
	default:
		return false
	}
}
