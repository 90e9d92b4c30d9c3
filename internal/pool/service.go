package pool

import (
	"context"
	"time"

	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the name under which Service is registered for peers.
const ServiceName = "Pool"

// Service exposes this host's Manager to other hosts. Register it as
// ServiceName.
type Service struct{ Manager *Manager }

// ExecReply is a reply, or a refusal with what is known about the target.
type ExecReply struct {
	Reply Reply
	Err   *result.Error
}

func (r *ExecReply) set(reply *Reply, err error) {
	if reply != nil {
		r.Reply = *reply
	}
	r.Err = result.As(err, result.UnknownOutcome)
}

func (r *ExecReply) get() (*Reply, error) {
	if r.Err != nil {
		return &r.Reply, r.Err
	}
	return &r.Reply, nil
}

// Exec runs a batch.
func (s *Service) Exec(req *Request, reply *ExecReply) error {
	reply.set(s.Manager.Exec(context.Background(), req))
	return nil
}

// NextArgs requests the next chunk of a response.
type NextArgs struct{ Stream StreamID }

// Next returns the next chunk of a response.
func (s *Service) Next(args *NextArgs, reply *ExecReply) error {
	reply.set(s.Manager.Next(context.Background(), args.Stream))
	return nil
}

// RecallArgs requests the reply of a batch whose connection was lost.
type RecallArgs struct {
	Stream StreamID
	Batch  uint32
}

// RecallReply tells what became of a batch.
type RecallReply struct {
	Arrived bool          // the batch is known; Exec holds its reply
	Uptime  time.Duration // of the answering process
	Exec    ExecReply
}

// neverRan reports whether a batch that was sent sentAgo ago and is unknown to
// its holder certainly did not run: the same process would still remember it.
func (r *RecallReply) neverRan(sentAgo time.Duration) bool {
	return !r.Arrived && sentAgo < r.Uptime && sentAgo < storedResponseTTL
}

// Recall returns the reply of a batch once the batch has finished. An unknown
// batch is prevented from running later.
func (s *Service) Recall(args *RecallArgs, reply *RecallReply) error {
	reply.Uptime = time.Since(s.Manager.started)
	call, stream := s.Manager.streams.recall(args.Stream, args.Batch, time.Now())
	if call == nil {
		if stream != nil {
			s.Manager.abortStream(stream)
		}
		return nil
	}
	storedResponses.Inc()
	<-call.done
	reply.Arrived = true
	reply.Exec.set(call.reply, call.err)
	return nil
}

// StreamArgs identifies a stream.
type StreamArgs struct{ Stream StreamID }

// Empty is an argument or reply without content.
type Empty struct{}

// Cancel asks the target to cancel the batch that the stream is running.
func (s *Service) Cancel(args *StreamArgs, _ *Empty) error {
	return s.Manager.Cancel(context.Background(), args.Stream)
}

// Release ends a stream.
func (s *Service) Release(args *StreamArgs, _ *Empty) error {
	return s.Manager.Release(context.Background(), args.Stream)
}

// BootReply identifies the answering process.
type BootReply struct{ Boot uint64 }

// BootID returns the boot ID of this process, as in the StreamIDs of its
// callers.
func (s *Service) BootID(_ *Empty, reply *BootReply) error {
	reply.Boot = s.Manager.opts.Boot
	return nil
}

// ControlArgs are the arguments of all control calls.
type ControlArgs struct {
	Target  topology.TargetID
	Slot    int               // for VerifySlot
	Term    uint64            // for Fence, Promote and Follow
	Primary topology.TargetID // for Follow
}

// ControlReply is a status, a refusal because the target knows a higher term,
// or another error.
type ControlReply struct {
	Status target.Status
	Stale  string // detail of target.ErrStaleTerm, empty otherwise
	Err    *result.Error
}

func (r *ControlReply) set(st target.Status, err error) {
	r.Status = st
	if stale := staleTerm(err); stale != nil {
		r.Stale = stale.Error()
		return
	}
	r.Err = result.As(err, result.TargetDown)
}

func (r *ControlReply) get() (target.Status, error) {
	switch {
	case r.Stale != "":
		return r.Status, &target.ErrStaleTerm{Detail: r.Stale}
	case r.Err != nil:
		return r.Status, r.Err
	default:
		return r.Status, nil
	}
}

// Status returns the status of a held target.
func (s *Service) Status(args *ControlArgs, reply *ControlReply) error {
	reply.set(s.Manager.Status(context.Background(), args.Target))
	return nil
}

// VerifySlot returns a status from the connection that holds the slot lock.
func (s *Service) VerifySlot(args *ControlArgs, reply *ControlReply) error {
	reply.set(s.Manager.VerifySlot(context.Background(), args.Target, args.Slot))
	return nil
}

// Fence fences a held target.
func (s *Service) Fence(args *ControlArgs, reply *ControlReply) error {
	reply.set(s.runCommand(args, func(c target.Control) (target.Status, error) {
		return c.Fence(context.Background(), args.Term)
	}))
	return nil
}

// Promote makes a held target the primary.
func (s *Service) Promote(args *ControlArgs, reply *ControlReply) error {
	reply.set(s.runCommand(args, func(c target.Control) (target.Status, error) {
		return c.Promote(context.Background(), args.Term)
	}))
	return nil
}

// Follow makes a held target a replica of args.Primary.
func (s *Service) Follow(args *ControlArgs, reply *ControlReply) error {
	reply.set(s.runCommand(args, func(c target.Control) (target.Status, error) {
		return c.Follow(context.Background(), args.Term, args.Primary)
	}))
	return nil
}

func (s *Service) runCommand(args *ControlArgs, command func(target.Control) (target.Status, error)) (target.Status, error) {
	c, ok := s.Manager.Control(args.Target)
	if !ok {
		return target.Status{}, s.Manager.notHolderError(args.Target)
	}
	st, err := command(c)
	return st, asResult(err, args.Target)
}
