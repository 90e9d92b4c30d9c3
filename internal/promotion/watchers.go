package promotion

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the RPC service to which hosts report unresponsive targets, and by which
// they ask each other whether they reach a target.
const ServiceName = "Promotion"

const reportMethod = ServiceName + ".Report"

// UnresponsiveReport is a host's report that a target doesn't respond.
type UnresponsiveReport struct {
	From   topology.HostID // the reporting host
	Group  topology.GroupID
	Target topology.TargetID
}

// Empty is a reply without content.
type Empty struct{ Done bool } // Done is always true; gob can't encode a struct without fields

// Watchers contains the watchers of all groups and passes reports of unresponsive
// targets to them.
type Watchers struct {
	mu       sync.Mutex
	watchers map[topology.GroupID]*Watcher
}

// NewWatchers returns an empty Watchers.
func NewWatchers() *Watchers { return &Watchers{watchers: map[topology.GroupID]*Watcher{}} }

// Ensure creates and starts a group's watcher if there is none yet. The watcher runs
// until ctx is done.
func (ws *Watchers) Ensure(ctx context.Context, id topology.GroupID, create func() *Watcher) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if ws.watchers[id] != nil {
		return
	}
	w := create()
	ws.watchers[id] = w
	go w.Run(ctx)
}

// HandleReport passes a report to the group's watcher, if there is one.
func (ws *Watchers) HandleReport(s UnresponsiveReport) {
	ws.mu.Lock()
	w := ws.watchers[s.Group]
	ws.mu.Unlock()
	if w != nil {
		w.Report(s.From, s.Target)
	}
}

// PeerClient calls RPC methods of other hosts.
type PeerClient interface {
	Call(ctx context.Context, host topology.HostID, method string, args, reply any) error
}

// DutyChanged makes the group's watcher, if there is one, check at once whether this host
// holds the duty.
func (ws *Watchers) DutyChanged(id topology.GroupID) {
	ws.mu.Lock()
	w := ws.watchers[id]
	ws.mu.Unlock()
	if w != nil {
		w.wakeUp()
	}
}

// SendReport reports an unresponsive target to the host that holds the group's duty.
func SendReport(ctx context.Context, peers PeerClient, holder topology.HostID, s UnresponsiveReport) error {
	return errors.Wrap(peers.Call(ctx, holder, reportMethod, &s, &Empty{}), "report unresponsive target")
}

// Service is the RPC service that receives reports and questions from other hosts.
type Service struct {
	watchers *Watchers
	dialer   statement.Dialer
}

// Service returns the RPC service to register under ServiceName. It dials targets with
// the dialer.
func (ws *Watchers) Service(dialer statement.Dialer) *Service {
	return &Service{watchers: ws, dialer: dialer}
}

// Report receives a report from another host.
func (s *Service) Report(args *UnresponsiveReport, reply *Empty) error {
	s.watchers.HandleReport(*args)
	reply.Done = true
	return nil
}
