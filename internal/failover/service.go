package failover

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the RPC service name under which hosts request opinions.
const ServiceName = "Failover"

const (
	opinionsTimeout    = 150 * time.Millisecond // for the opinions of all hosts
	freshStatusTimeout = 100 * time.Millisecond // for a fresh status or probe of the primary before an opinion is given
)

// Service is the RPC service for opinion requests, registered under ServiceName.
type Service struct{ monitor *Monitor }

// Service returns the RPC service of the monitor.
func (m *Monitor) Service() *Service { return &Service{monitor: m} }

// OpinionArgs names the group that the opinion is about.
type OpinionArgs struct{ Group topology.GroupID }

// OpinionReply carries the opinion. Known is false if the host does not watch the
// group.
type OpinionReply struct {
	Known   bool
	Opinion Opinion
}

// Opinion refreshes the status of the group's primary and returns this host's
// opinion of it.
func (s *Service) Opinion(args *OpinionArgs, reply *OpinionReply) error {
	w := s.monitor.lookup(args.Group)
	if w == nil {
		return nil
	}
	reply.Known = true
	reply.Opinion = w.opinion()
	return nil
}

// opinion requests a fresh status of the primary, waits for the result for up to
// freshStatusTimeout, and returns the opinion.
func (w *watchedGroup) opinion() Opinion {
	requestedAt := time.Now()
	w.step(OpinionRequested{})
	timeout := time.NewTimer(freshStatusTimeout)
	defer timeout.Stop()
	for {
		w.mu.Lock()
		ready, changed := w.machine.OpinionReady(requestedAt), w.changed
		opinion := w.machine.Opinion(time.Now(), requestedAt)
		w.mu.Unlock()
		if ready {
			return opinion
		}
		select {
		case <-changed:
		case <-timeout.C:
			return opinion
		}
	}
}

// gatherOpinions collects the opinions of the other hosts that watch the group.
// Hosts that do not answer in time count as unreachable.
func (w *watchedGroup) gatherOpinions(attempt uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), opinionsTimeout)
	defer cancel()
	w.mu.Lock()
	group := w.group
	w.mu.Unlock()
	var (
		wg       sync.WaitGroup
		mu       sync.Mutex
		opinions []Opinion
	)
	for _, host := range w.monitor.opts.Peers(group) {
		if host == w.monitor.opts.Self {
			continue
		}
		wg.Go(func() {
			var reply OpinionReply
			err := w.monitor.opts.Caller.Call(ctx, host, ServiceName+".Opinion", &OpinionArgs{Group: w.id}, &reply)
			if err != nil || !reply.Known {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			opinions = append(opinions, reply.Opinion)
		})
	}
	wg.Wait()
	w.step(OpinionsGathered{Attempt: attempt, Opinions: opinions})
}
