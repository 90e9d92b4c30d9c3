package promotion

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the name under which hosts report silent targets.
const ServiceName = "Promotion"

const reportMethod = ServiceName + ".Report"

// Silence is a host's report that a target can't be reached.
type Silence struct {
	From   topology.HostID
	Group  topology.GroupID
	Target topology.TargetID
}

// Empty is an answer without content.
type Empty struct{ Done bool }

// Watchers has the watchers of all groups and takes other hosts' reports.
type Watchers struct {
	mu       sync.Mutex
	watchers map[topology.GroupID]*Watcher
}

// NewWatchers returns a watchers without watchers.
func NewWatchers() *Watchers { return &Watchers{watchers: map[topology.GroupID]*Watcher{}} }

// Ensure starts a group's watcher if there is none yet.
func (d *Watchers) Ensure(ctx context.Context, id topology.GroupID, create func() *Watcher) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watchers[id] != nil {
		return
	}
	w := create()
	d.watchers[id] = w
	go w.Run(ctx)
}

// Take passes a report to the group's watcher.
func (d *Watchers) Take(s Silence) {
	d.mu.Lock()
	w := d.watchers[s.Group]
	d.mu.Unlock()
	if w != nil {
		w.Report(s.From, s.Target)
	}
}

// Caller calls other hosts.
type Caller interface {
	Call(ctx context.Context, host topology.HostID, method string, args, reply any) error
}

// Send reports a silence to the host that holds the group's duty.
func Send(ctx context.Context, caller Caller, holder topology.HostID, s Silence) error {
	return errors.Wrap(caller.Call(ctx, holder, reportMethod, &s, &Empty{}), "report of a silent target")
}

// Service answers other hosts' reports.
type Service struct{ watchers *Watchers }

// Service returns what is to be registered under ServiceName.
func (d *Watchers) Service() *Service { return &Service{watchers: d} }

// Report takes a report.
func (s *Service) Report(args *Silence, reply *Empty) error {
	s.watchers.Take(*args)
	reply.Done = true
	return nil
}
