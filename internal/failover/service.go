package failover

import (
	"context"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the name under which hosts ask each other.
const ServiceName = "Failover"

const (
	opinionsTimeout = 150 * time.Millisecond // for all hosts' opinions
	settleTimeout   = 100 * time.Millisecond // for a fresh look at the primary before answering
)

// Service answers other hosts. It is registered under ServiceName.
type Service struct{ monitor *Monitor }

// Service returns the service of this monitor.
func (m *Monitor) Service() *Service { return &Service{monitor: m} }

// OpinionArgs is the question about one group.
type OpinionArgs struct{ Group topology.GroupID }

// OpinionReply is the answer. Known is false if the host doesn't watch the group.
type OpinionReply struct {
	Known   bool
	Opinion Opinion
}

// Opinion looks at the group's primary anew and tells what this host thinks of it.
func (s *Service) Opinion(args *OpinionArgs, reply *OpinionReply) error {
	w := s.monitor.watchedGroup(args.Group)
	if w == nil {
		return nil
	}
	reply.Known = true
	reply.Opinion = w.opinion()
	return nil
}

// opinion waits until a request sent after the question is settled.
func (w *watched) opinion() Opinion {
	asked := time.Now()
	w.step(Asked{})
	timeout := time.NewTimer(settleTimeout)
	defer timeout.Stop()
	for {
		w.mu.Lock()
		ready, changed := w.machine.OpinionReady(asked), w.changed
		opinion := w.machine.Opinion(time.Now(), asked)
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

// ask gathers the opinions of the other hosts that watch the group. Those that
// don't answer in time count as unreachable.
func (w *watched) ask(attempt uint64) {
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
