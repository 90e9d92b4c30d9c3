package customer

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/result"
)

// ServiceName is the RPC service name of the configuration service.
const ServiceName = "Config"

const (
	maxResponseBytes = 256 << 10        // object data per response
	minPageBytes     = 8 << 10          // object data per page, if a requester asks for less
	maxPullWait      = 10 * time.Second // upper bound of PullArgs.Wait
)

// Service serves the configuration of this host to other hosts. Its methods
// follow the conventions of net/rpc.
type Service struct{ store *Store }

// NewService returns the service for the store.
func NewService(store *Store) *Service { return &Service{store: store} }

// PullArgs requests the changes after a revision of each kind.
type PullArgs struct {
	Revisions map[string]uint64 // by kind
	Wait      time.Duration     // maximum time to wait for the first change
}

// PullReply contains a delta for each kind that changed.
type PullReply struct {
	Deltas []Delta
	Age    time.Duration // time since the responding host's configuration was last known to be current
}

// PageArgs requests the objects of a kind whose names sort after a name.
type PageArgs struct {
	Kind     string
	After    string
	MaxBytes int // of object data; 0: as much as the source returns at most
}

// StatusArgs requests the versions of an object.
type StatusArgs struct {
	Kind string
	Name string
}

// StatusReply contains the versions of an object at one host.
type StatusReply struct {
	Known    bool          // whether the host has the object
	Version  uint64        // latest version that the host has
	InForce  uint64        // active version; 0: none
	Revision uint64        // revision of the kind
	Age      time.Duration // age of the host's configuration
}

// Pull returns the changes since the given revisions. It blocks until there is
// a change or the requested wait is over.
func (s *Service) Pull(args *PullArgs, reply *PullReply) error {
	if !s.store.Ready() {
		return result.New(result.NoConfiguration, "this host has not loaded a configuration yet")
	}
	deadline := time.NewTimer(min(max(args.Wait, 0), maxPullWait))
	defer deadline.Stop()
	for {
		changed := s.store.Changed()
		if s.collectDeltas(args, reply) {
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

// collectDeltas fills in the deltas and reports whether there are any.
func (s *Service) collectDeltas(args *PullArgs, reply *PullReply) bool {
	reply.Deltas = nil
	for kind, revision := range args.Revisions {
		delta, ok := s.store.Since(kind, revision, maxResponseBytes)
		if ok && (delta.Stale || delta.To > revision) {
			reply.Deltas = append(reply.Deltas, delta)
		}
	}
	return len(reply.Deltas) > 0
}

// Page returns one page of the objects of a kind.
func (s *Service) Page(args *PageArgs, reply *Page) error {
	page, ok := s.store.Page(args.Kind, args.After, args.pageBytes())
	if !ok {
		return result.New(result.NoConfiguration, "this host has not loaded all objects of kind %s yet", args.Kind)
	}
	*reply = page
	return nil
}

func (a *PageArgs) pageBytes() int {
	if a.MaxBytes == 0 {
		return maxResponseBytes
	}
	return min(max(a.MaxBytes, minPageBytes), maxResponseBytes)
}

// Status returns the latest and the active version of an object at this host.
func (s *Service) Status(args *StatusArgs, reply *StatusReply) error {
	var object platform.Object
	object, reply.InForce, reply.Known = s.store.Object(args.Kind, args.Name)
	reply.Version = object.Version
	reply.Revision, _ = s.store.Revision(args.Kind)
	reply.Age = s.store.Age(time.Now())
	return nil
}
