package failover

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// watchedGroup runs the machine of one group. It carries out the machine's
// actions in goroutines, whose results return as events.
type watchedGroup struct {
	id      topology.GroupID
	monitor *Monitor

	mu              sync.Mutex // guards the fields below
	machine         *Machine
	timings         Timings
	group           *topology.Group
	stopped         bool
	changed         chan struct{} // closed and replaced at each step, except for a tick without actions
	changeStartedAt time.Time     // start of the failover in progress
}

func (w *watchedGroup) step(ev Event) {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	actions := w.machine.Step(time.Now(), ev)
	if _, tick := ev.(Tick); !tick || len(actions) > 0 {
		close(w.changed)
		w.changed = make(chan struct{})
	}
	w.mu.Unlock()
	for _, a := range actions {
		w.execute(a)
	}
}

func (w *watchedGroup) execute(a Action) {
	switch a := a.(type) {
	case Poll:
		go w.poll(a.Target)
	case Probe:
		go w.probe(a.Target)
	case RequestOpinions:
		go w.gatherOpinions(a.Attempt)
	case SendOrder:
		go w.sendOrder(a.Order)
	case Publish:
		w.monitor.publisher.add(primaryChange{Group: w.id, Term: a.Term, Primary: a.Primary})
	case PhaseChange:
		w.recordPhaseChange(a)
	}
}

func (w *watchedGroup) setGroup(g *topology.Group, policy customer.AckMode) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed = w.group != g
	if changed {
		w.group = g
		w.machine.SetGroup(*g, time.Now())
	}
	w.machine.Configure(w.timings, policy)
	return changed
}

// indexTargets records the group of each target.
func (m *Monitor) indexTargets(g *topology.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range g.Targets {
		m.groupOf[t.ID] = g.ID
	}
}

func (w *watchedGroup) setTimings(timings Timings) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timings = timings
}

func (w *watchedGroup) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}

func (w *watchedGroup) currentPrimary() (uint64, topology.TargetID, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.CurrentPrimary()
}

func (w *watchedGroup) learnPrimary(term uint64, primary topology.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.LearnPrimary(term, primary, time.Now())
}

func (w *watchedGroup) canConfirm() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.CanConfirm(time.Now())
}

func (w *watchedGroup) dump() GroupDump {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Dump(time.Now())
}

func (w *watchedGroup) target(id topology.TargetID) (topology.Target, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.group.Target(id)
}

// recordPhaseChange logs and counts a change of phase.
func (w *watchedGroup) recordPhaseChange(change PhaseChange) {
	now := time.Now()
	w.mu.Lock()
	if change.From == PhaseSteady {
		w.changeStartedAt = now
	}
	took := now.Sub(w.changeStartedAt)
	w.mu.Unlock()
	countPhaseChange(change, took)
	w.monitor.opts.Log.Info("failover phase changed",
		"group", w.id,
		"from", change.From,
		"phase", change.To,
		"reason", change.Reason,
		"term", change.Term,
		"detail", change.Detail,
		"ms", took.Milliseconds(),
	)
}
