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

// Desk has the watchers of all groups and takes other hosts' reports.
type Desk struct {
	mu       sync.Mutex
	watchers map[topology.GroupID]*Watcher
}

// NewDesk returns a desk without watchers.
func NewDesk() *Desk { return &Desk{watchers: map[topology.GroupID]*Watcher{}} }

// Ensure starts a group's watcher if there is none yet.
func (d *Desk) Ensure(ctx context.Context, id topology.GroupID, create func() *Watcher) {
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
func (d *Desk) Take(s Silence) {
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
type Service struct{ desk *Desk }

// Service returns what is to be registered under ServiceName.
func (d *Desk) Service() *Service { return &Service{desk: d} }

// Report takes a report.
func (s *Service) Report(args *Silence, reply *Empty) error {
	s.desk.Take(*args)
	reply.Done = true
	return nil
}
