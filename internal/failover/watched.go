package failover

import (
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// watched is a group with its machine. It runs the machine's actions in
// goroutines whose ends come back as events.
type watched struct {
	id      topology.GroupID
	monitor *Monitor

	mu      sync.Mutex // guards the fields below
	machine *Machine
	times   Times
	group   *topology.Group
	stopped bool
	changed chan struct{} // closed at the next step
	began   time.Time     // of the change under way
}

func (w *watched) step(ev Event) {
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
		w.act(a)
	}
}

func (w *watched) act(a Action) {
	switch a := a.(type) {
	case Poll:
		go w.poll(a.Target)
	case Probe:
		go w.probe(a.Target)
	case Ask:
		go w.ask(a.Attempt)
	case Give:
		go w.give(a.Order)
	case Publish:
		w.monitor.publisher.add(outcome{Group: w.id, Term: a.Term, Primary: a.Primary})
	case Note:
		w.note(a)
	}
}

func (w *watched) setGroup(g *topology.Group, policy customer.Acknowledge) (changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	changed = w.group != g
	if changed {
		w.group = g
		w.machine.SetGroup(*g, time.Now())
	}
	w.machine.Configure(w.times, policy)
	return changed
}

// index remembers the group of each target.
func (m *Monitor) index(g *topology.Group) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, t := range g.Targets {
		m.groups[t.ID] = g.ID
	}
}

func (w *watched) setTimes(times Times) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.times = times
}

func (w *watched) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
}

func (w *watched) lead() (uint64, topology.TargetID, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Lead()
}

func (w *watched) learn(term uint64, primary topology.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machine.Learn(term, primary, time.Now())
}

func (w *watched) canConfirm() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.CanConfirm(time.Now())
}

func (w *watched) dump() GroupDump {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.machine.Dump(time.Now())
}

func (w *watched) target(id topology.TargetID) (topology.Target, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.group.Target(id)
}

// note logs a change of phase and counts it.
func (w *watched) note(n Note) {
	now := time.Now()
	w.mu.Lock()
	if n.From == PhaseSteady {
		w.began = now
	}
	took := now.Sub(w.began)
	w.mu.Unlock()
	countPhase(n, took)
	w.monitor.opts.Log.Info("failover phase",
		"group", w.id,
		"from", n.From,
		"phase", n.To,
		"reason", n.Reason,
		"term", n.Term,
		"detail", n.Detail,
		"ms", took.Milliseconds(),
	)
}
