package customer

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
)

// ServiceName is the name of the peers' service.
const ServiceName = "Config"

const (
	chunkBytes  = 256 << 10        // of objects in one answer
	maxPullWait = 10 * time.Second // longest that a pull waits for a change
)

// Service answers the pulls of other hosts. Its methods have net/rpc's form.
type Service struct{ store *Store }

// NewService returns the service for the host's store.
func NewService(store *Store) *Service { return &Service{store: store} }

// PullArgs asks for what changed after the revisions of the kinds.
type PullArgs struct {
	Revisions map[string]uint64
	Wait      time.Duration // for the first change
}

// PullReply has a delta for each kind that changed.
type PullReply struct {
	Deltas []Delta
	Age    time.Duration // of the answering host's knowledge
}

// PageArgs asks for the objects of a kind after a name.
type PageArgs struct {
	Kind  string
	After string
}

// StatusArgs asks for the version of an object in force.
type StatusArgs struct {
	Kind string
	Name string
}

// StatusReply tells the versions of an object at one host.
type StatusReply struct {
	Known    bool
	Version  uint64 // latest that the host has
	InForce  uint64 // 0: none
	Revision uint64 // of the kind
	Age      time.Duration
}

// Pull answers at once if there is news, otherwise at the first change.
func (s *Service) Pull(args *PullArgs, reply *PullReply) error {
	if !s.store.Ready() {
		return result.New(result.NoConfiguration, "this host has no configuration itself")
	}
	deadline := time.NewTimer(min(max(args.Wait, 0), maxPullWait))
	defer deadline.Stop()
	for {
		changed := s.store.Changed()
		if s.news(args, reply) {
			break
		}
		select {
		case <-changed:
			continue
		case <-deadline.C:
		}
		break
	}
	reply.Age = s.store.Age(time.Now())
	return nil
}

// news fills the deltas and tells whether there are any.
func (s *Service) news(args *PullArgs, reply *PullReply) bool {
	reply.Deltas = nil
	for kind, revision := range args.Revisions {
		delta, ok := s.store.Since(kind, revision, chunkBytes)
		if ok && (delta.Stale || delta.To > revision) {
			reply.Deltas = append(reply.Deltas, delta)
		}
	}
	return len(reply.Deltas) > 0
}

// Page answers with some objects of a kind.
func (s *Service) Page(args *PageArgs, reply *Page) error {
	page, ok := s.store.Page(args.Kind, args.After, chunkBytes)
	if !ok {
		return result.New(result.NoConfiguration, "this host doesn't have all objects of kind %s itself", args.Kind)
	}
	*reply = page
	return nil
}

// Status tells which version of an object is in force at this host.
func (s *Service) Status(args *StatusArgs, reply *StatusReply) error {
	var object platform.Object
	object, reply.InForce, reply.Known = s.store.Object(args.Kind, args.Name)
	reply.Version = object.Version
	reply.Revision, _ = s.store.Revision(args.Kind)
	reply.Age = s.store.Age(time.Now())
	return nil
}
