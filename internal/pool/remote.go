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
	execReplyGrace     = 500 * time.Millisecond // past the deadline, so that the holder can report the timeout itself
	recallTimeout      = 2 * time.Second        // for the stored reply, past the request's own deadline
	releaseTimeout     = time.Second
	releaseRetryDelay  = 500 * time.Millisecond
	maxReleaseAttempts = 10 // afterwards the holder's idle timeout ends the stream
)

// Remote runs batches on another host. It implements Executor.
type Remote struct {
	Caller peer.Caller
	Host   topology.HostID
}

// Exec implements Executor. If the connection to the holder is lost, Exec asks
// the same holder over a new connection what became of the batch.
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
		return &Reply{}, notDeliveredError(req, err)
	}
	go r.releaseWithRetry(req.Stream)
	return &Reply{}, holderLostError(req, err)
}

// callExec leaves the holder time to report a passed deadline itself. Only
// cancellation of ctx, not its deadline, ends the call early.
func (r Remote) callExec(ctx context.Context, req *Request, reply *ExecReply) error {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), req.TimeLeft+execReplyGrace)
	defer cancel()
	defer context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})()
	return r.call(callCtx, "Exec", req, reply)
}

// recall asks the holder for the stored reply of a batch.
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

// notDeliveredError returns the error for a batch that never reached its holder
// and certainly did not run.
func notDeliveredError(req *Request, err error) error {
	if req.Batch > 1 {
		return result.New(result.TransactionLost, "rolled back, a request to its holder was lost: %s", err)
	}
	return result.New(result.HostUnreachable, "the request did not reach its holder and will not run: %s", err)
}

// holderLostError returns the error for a batch that may have run at a holder
// that is gone.
func holderLostError(req *Request, err error) error {
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
		go r.releaseWithRetry(stream)
		return &Reply{}, err
	}
	return reply.get()
}

// Cancel implements Executor.
func (r Remote) Cancel(ctx context.Context, stream StreamID) error {
	return r.call(ctx, "Cancel", &StreamArgs{Stream: stream}, &Empty{})
}

// Release implements Executor. A failed call is retried in the background.
func (r Remote) Release(ctx context.Context, stream StreamID) error {
	err := r.release(ctx, stream)
	if err != nil {
		go r.releaseWithRetry(stream)
	}
	return err
}

func (r Remote) release(ctx context.Context, stream StreamID) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	return r.call(ctx, "Release", &StreamArgs{Stream: stream}, &Empty{})
}

// releaseWithRetry keeps trying to end a stream at a holder that can't be
// reached now, so that the stream doesn't occupy a connection.
func (r Remote) releaseWithRetry(stream StreamID) {
	for range maxReleaseAttempts {
		if r.release(context.Background(), stream) == nil {
			return
		}
		time.Sleep(releaseRetryDelay)
	}
}

// Status returns the status of a target that the host holds.
func (r Remote) Status(ctx context.Context, id topology.TargetID) (target.Status, error) {
	return r.callControl(ctx, "Status", ControlArgs{Target: id})
}

// VerifySlot returns a status from the connection with which the host holds the
// slot lock.
func (r Remote) VerifySlot(ctx context.Context, id topology.TargetID, slot int) (target.Status, error) {
	return r.callControl(ctx, "VerifySlot", ControlArgs{Target: id, Slot: slot})
}

func (r Remote) callControl(ctx context.Context, method string, args ControlArgs) (target.Status, error) {
	var reply ControlReply
	if err := r.call(ctx, method, &args, &reply); err != nil {
		return target.Status{}, err
	}
	return reply.get()
}

func (r Remote) call(ctx context.Context, method string, args, reply any) error {
	return r.Caller.Call(ctx, r.Host, ServiceName+"."+method, args, reply)
}

// codeOf returns the result code of an error, or 0 if it has none.
func codeOf(err error) result.Code {
	var e *result.Error
	if errors.As(err, &e) {
		return e.Code
	}
	return 0
}
