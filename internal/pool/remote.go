package pool

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	execGrace      = 500 * time.Millisecond // past the deadline, at which the holder itself answers
	recallTimeout  = 2 * time.Second        // for the stored answer, past the request's own deadline
	releaseTimeout = time.Second
	releaseRetry   = 500 * time.Millisecond
	releaseTries   = 10 // then the holder's own limit for idle streams counts
)

// Remote runs batches at another host. It implements Executor.
type Remote struct {
	Caller peer.Caller
	Host   topology.HostID
}

// Exec implements Executor. When the connection to the holder is lost it asks
// the same holder, over a new one, what became of the batch.
func (r Remote) Exec(ctx context.Context, req *Request) (*Reply, error) {
	sentAt := time.Now()
	var reply ExecReply
	err := r.callExec(ctx, req, &reply)
	if err == nil {
		return reply.get()
	}
	if codeOf(err) != result.HolderLost {
		return &Reply{}, err
	}
	recalled, recallErr := r.recall(ctx, req, sentAt)
	switch {
	case recallErr != nil:
	case recalled.Arrived:
		return recalled.Exec.get()
	case recalled.neverRan(time.Since(sentAt)):
		return &Reply{}, neverArrived(req, err)
	}
	go r.releaseLater(req.Stream)
	return &Reply{}, lost(req, err)
}

// callExec leaves the holder the time to answer at the deadline itself; only a
// caller that cancels ends the call.
func (r Remote) callExec(ctx context.Context, req *Request, reply *ExecReply) error {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), req.TimeLeft+execGrace)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})()
	return r.call(callCtx, "Exec", req, reply)
}

func (r Remote) recall(ctx context.Context, req *Request, sentAt time.Time) (*RecallReply, error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return nil, ctx.Err()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(req.TimeLeft-time.Since(sentAt), 0)+recallTimeout)
	defer cancel()
	var reply RecallReply
	err := r.call(ctx, "Recall", &RecallArgs{Stream: req.Stream, Batch: req.Batch}, &reply)
	return &reply, err
}

// neverArrived is a true "not run".
func neverArrived(req *Request, err error) error {
	if req.Batch > 1 {
		return result.New(result.TransactionLost, "rolled back, a message to its holder was lost: %s", err)
	}
	return result.New(result.HostUnreachable, "the holder didn't get the request and won't run it: %s", err)
}

// lost is the outcome of a batch that may have run at a holder that is gone.
func lost(req *Request, err error) error {
	switch {
	case req.MayCommit && !req.Idempotent && req.Class == Write:
		return err
	case req.Batch > 1:
		return result.New(result.TransactionLost, "rolled back, its holder was lost: %s", err)
	default:
		return err
	}
}

// Next implements Executor.
func (r Remote) Next(ctx context.Context, stream StreamID) (*Reply, error) {
	var reply ExecReply
	if err := r.call(ctx, "Next", &NextArgs{Stream: stream}, &reply); err != nil {
		go r.releaseLater(stream)
		return &Reply{}, err
	}
	return reply.get()
}

// Cancel implements Executor.
func (r Remote) Cancel(ctx context.Context, stream StreamID) error {
	return r.call(ctx, "Cancel", &StreamArgs{Stream: stream}, &Empty{})
}

// Release implements Executor. A call that failed is repeated in the background.
func (r Remote) Release(ctx context.Context, stream StreamID) error {
	err := r.release(ctx, stream)
	if err != nil {
		go r.releaseLater(stream)
	}
	return err
}

func (r Remote) release(ctx context.Context, stream StreamID) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	return r.call(ctx, "Release", &StreamArgs{Stream: stream}, &Empty{})
}

// releaseLater ends a stream at a holder that can't be reached now, so that it
// doesn't keep a connection for nobody.
func (r Remote) releaseLater(stream StreamID) {
	for range releaseTries {
		if r.release(context.Background(), stream) == nil {
			return
		}
		time.Sleep(releaseRetry)
	}
}

// Status asks the host for the status of a target that it holds.
func (r Remote) Status(ctx context.Context, id topology.TargetID) (target.Status, error) {
	return r.control(ctx, "Status", ControlArgs{Target: id})
}

// VerifySlot asks the host on the connection that holds the slot's lock.
func (r Remote) VerifySlot(ctx context.Context, id topology.TargetID, slot int) (target.Status, error) {
	return r.control(ctx, "VerifySlot", ControlArgs{Target: id, Slot: slot})
}

func (r Remote) control(ctx context.Context, method string, args ControlArgs) (target.Status, error) {
	var reply ControlReply
	if err := r.call(ctx, method, &args, &reply); err != nil {
		return target.Status{}, err
	}
	return reply.get()
}

func (r Remote) call(ctx context.Context, method string, args, reply any) error {
	return r.Caller.Call(ctx, r.Host, ServiceName+"."+method, args, reply)
}

// codeOf returns the code of an error, 0 without one.
func codeOf(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}
