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

// Service lets other hosts use this host's Manager. Register it as ServiceName.
type Service struct{ Manager *Manager }

// ExecReply is a reply or, beside what is known of the target, a refusal.
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

// NextArgs asks for a further chunk.
type NextArgs struct{ Stream StreamID }

// Next returns the following chunk of an answer.
func (s *Service) Next(args *NextArgs, reply *ExecReply) error {
	reply.set(s.Manager.Next(context.Background(), args.Stream))
	return nil
}

// RecallArgs asks for the answer of a batch that was sent over a connection
// that was lost since.
type RecallArgs struct {
	Stream StreamID
	Batch  uint32
}

// RecallReply tells what became of a batch.
type RecallReply struct {
	Arrived bool          // Exec holds its answer
	Uptime  time.Duration // of the process that answers
	Exec    ExecReply
}

// neverRan tells whether a batch that was sent so long ago, and is unknown to
// its holder, surely didn't run: the same process would still know it.
func (r *RecallReply) neverRan(sentAgo time.Duration) bool {
	return !r.Arrived && sentAgo < r.Uptime && sentAgo < storedAnswerTTL
}

// Recall returns the answer of a batch once it is done. One that is unknown
// won't run any more.
func (s *Service) Recall(args *RecallArgs, reply *RecallReply) error {
	reply.Uptime = time.Since(s.Manager.started)
	call, stream := s.Manager.streams.recall(args.Stream, args.Batch, time.Now())
	if call == nil {
		if stream != nil {
			s.Manager.abandon(stream)
		}
		return nil
	}
	storedAnswers.Inc()
	<-call.done
	reply.Arrived = true
	reply.Exec.set(call.reply, call.err)
	return nil
}

// StreamArgs names a stream.
type StreamArgs struct{ Stream StreamID }

// Empty is an answer without content.
type Empty struct{}

// Cancel asks the target to cancel what the stream runs.
func (s *Service) Cancel(args *StreamArgs, _ *Empty) error {
	return s.Manager.Cancel(context.Background(), args.Stream)
}

// Release ends a stream.
func (s *Service) Release(args *StreamArgs, _ *Empty) error {
	return s.Manager.Release(context.Background(), args.Stream)
}

// BootReply tells which process answers.
type BootReply struct{ Boot uint64 }

// BootID returns the boot of this process, as in its callers' StreamIDs.
func (s *Service) BootID(_ *Empty, reply *BootReply) error {
	reply.Boot = s.Manager.opts.Boot
	return nil
}

// ControlArgs name a target and what an order needs.
type ControlArgs struct {
	Target  topology.TargetID
	Slot    int               // for VerifySlot
	Term    uint64            // for orders
	Primary topology.TargetID // for Follow
}

// ControlReply is a status, a refusal because of a higher term, or an error.
type ControlReply struct {
	Status target.Status
	Stale  string // detail of ErrStaleTerm
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

// Status asks a held target for its status.
func (s *Service) Status(args *ControlArgs, reply *ControlReply) error {
	reply.set(s.Manager.Status(context.Background(), args.Target))
	return nil
}

// VerifySlot asks on the connection that holds the slot's lock.
func (s *Service) VerifySlot(args *ControlArgs, reply *ControlReply) error {
	reply.set(s.Manager.VerifySlot(context.Background(), args.Target, args.Slot))
	return nil
}

// Fence gives the order to a held target.
func (s *Service) Fence(args *ControlArgs, reply *ControlReply) error {
	reply.set(s.order(args, func(c target.Control) (target.Status, error) {
		return c.Fence(context.Background(), args.Term)
	}))
	return nil
}

// Promote gives the order to a held target.
func (s *Service) Promote(args *ControlArgs, reply *ControlReply) error {
	reply.set(s.order(args, func(c target.Control) (target.Status, error) {
		return c.Promote(context.Background(), args.Term)
	}))
	return nil
}

// Follow gives the order to a held target.
func (s *Service) Follow(args *ControlArgs, reply *ControlReply) error {
	reply.set(s.order(args, func(c target.Control) (target.Status, error) {
		return c.Follow(context.Background(), args.Term, args.Primary)
	}))
	return nil
}

func (s *Service) order(args *ControlArgs, give func(target.Control) (target.Status, error)) (target.Status, error) {
	c, ok := s.Manager.Control(args.Target)
	if !ok {
		return target.Status{}, s.Manager.notHolder(args.Target)
	}
	st, err := give(c)
	return st, asResult(err, args.Target)
}
