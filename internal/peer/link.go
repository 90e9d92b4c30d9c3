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

// link is one connection to a host after its handshake. It is over once done
// is closed; its waiting calls have then failed.
type link struct {
	host topology.HostID
	conn *countedConn
	rpc  *rpc.Client

	waiting  atomic.Int64  // calls without an answer, patient ones excepted
	patient  atomic.Int64  // patient calls without an answer
	retired  atomic.Bool   // takes no new calls
	lastCall atomic.Int64  // since processStart
	look     chan struct{} // asks watch for a look now
	done     chan struct{}
	once     sync.Once
}

func newLink(host topology.HostID, conn *countedConn) *link {
	l := &link{
		host: host,
		conn: conn,
		rpc:  rpc.NewClientWithCodec(newClientCodec(conn)),
		look: make(chan struct{}, 1),
		done: make(chan struct{}),
	}
	l.lastCall.Store(int64(time.Since(processStart)))
	return l
}

func (l *link) close() {
	l.once.Do(func() {
		l.retired.Store(true)
		close(l.done)
		_ = l.rpc.Close()
	})
}

func (l *link) usable() bool { return !l.retired.Load() }

// call sends one call. sent is false if surely nothing of it left. reply is
// written only by an answer that this call returns.
func (l *link) call(ctx context.Context, method string, args any, reply any) (sent bool, err error) {
	defer l.begin(ctx)()
	l.lastCall.Store(int64(time.Since(processStart)))
	fresh := newLike(reply)
	out := &outgoing{args: args}
	began := time.Now()
	call := l.rpc.Go(method, out, fresh, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		l.retireIfQuietSince(began)
		return true, result.New(result.HolderLost, "%s at %s: %s", method, l.host, ctx.Err())
	}
	if call.Error == nil {
		copyInto(reply, fresh)
		return true, nil
	}
	return out.started.Load(), l.callError(method, call.Error)
}

// begin counts a call and sees to it that watch looks at the connection if the
// answer isn't there soon. The returned function ends the count.
func (l *link) begin(ctx context.Context) (end func()) {
	count, after := &l.waiting, firstLook
	if isPatient(ctx) {
		count, after = &l.patient, patientInterval
	}
	count.Add(1)
	late := time.AfterFunc(after, l.lookNow)
	return func() {
		late.Stop()
		count.Add(-1)
	}
}

func (l *link) lookNow() {
	select {
	case l.look <- struct{}{}:
	default: // watch is asked already
	}
}

// retireIfQuietSince keeps new calls off a connection that answered nothing
// since began; its heartbeats decide whether it is closed.
func (l *link) retireIfQuietSince(began time.Time) {
	waited := time.Since(began)
	if waited >= heartbeatInterval && l.conn.quiet() >= waited {
		l.retired.Store(true)
		time.AfterFunc(lookInterval, l.lookNow) // its last call ends meanwhile, or keeps watch awake
	}
}

// callError restores a service's error; others end the connection.
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

// watch sends heartbeats while calls wait and closes the connection when it is
// silent, broken or unused. It sleeps while no call is late.
func (l *link) watch() {
	timer := time.NewTimer(idleClose)
	defer timer.Stop()
	defer l.close()
	var beat *rpc.Call
	var beatAt time.Time
	for {
		select {
		case <-l.done:
			return
		case <-l.look:
		case <-timer.C:
		}
		if beat != nil && answered(beat) {
			if beat.Error != nil {
				return
			}
			beat = nil
		}
		heartbeatFor := time.Duration(-1)
		if beat != nil {
			heartbeatFor = time.Since(beatAt)
		}
		switch l.judge(heartbeatFor) {
		case tooQuiet:
			connectionsSilent.Inc()
			return
		case unused:
			return
		case probe:
			beat, beatAt = l.sendHeartbeat(), time.Now()
			heartbeatFor = 0
		}
		timer.Reset(nextLook(l.conn.quiet(), l.calls(), heartbeatFor, l.sinceCall()))
	}
}

func (l *link) calls() calls {
	return calls{prompt: int(l.waiting.Load()), patient: int(l.patient.Load())}
}

func (l *link) sinceCall() time.Duration {
	return time.Since(processStart) - time.Duration(l.lastCall.Load())
}

func (l *link) judge(heartbeatFor time.Duration) verdict {
	waiting := l.calls()
	if l.retired.Load() && waiting.none() && heartbeatFor < 0 {
		return unused
	}
	return judge(l.conn.quiet(), waiting, heartbeatFor, l.sinceCall())
}

// sendHeartbeat doesn't block: the call may wait behind a write that stalls.
func (l *link) sendHeartbeat() *rpc.Call {
	call := &rpc.Call{Done: make(chan *rpc.Call, 1)}
	go func() {
		c := <-l.rpc.Go(heartbeatMethod, &outgoing{args: &Empty{}}, &Empty{}, make(chan *rpc.Call, 1)).Done
		call.Error = c.Error
		call.Done <- call
	}()
	return call
}

func answered(call *rpc.Call) bool {
	select {
	case <-call.Done:
		return true
	default:
		return false
	}
}
