package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"

	"nettlewalk.example/nettlewalk/test/line"
	store "nettlewalk.example/nettlewalk/test/standin/platform"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	minFaultInterval  = 100 * time.Millisecond // between the starts of two faults
	maxFaultInterval  = 700 * time.Millisecond
	minFaultDuration  = 100 * time.Millisecond // of one fault
	maxFaultDuration  = 3 * time.Second
	maxLinkDelayMS    = 200                    // latency that a slow link adds in each direction
	maxApplyLag       = 400 * time.Millisecond // of a replica
	maxStoreDelay     = 500 * time.Millisecond // of the answers of a slow store
	exitPollInterval  = 50 * time.Millisecond  // between checks whether a host has exited
	maxDroppedAnswers = 3                      // store writes whose answer is dropped
	maxLateOrders     = 4                      // promotion calls without an answer
	minOrderLateness  = 500 * time.Millisecond // until such a call is carried out
	maxOrderLateness  = 8 * time.Second
	orderEffectTime   = time.Second // from then to its effect, at most
)

// fault is a fault to inject. begin injects the fault and returns the function
// that ends the fault, or nil if nothing has to be undone.
type fault struct {
	name  string
	begin func() (end func())
}

// activeFault is an injected fault that has not ended yet.
type activeFault struct {
	name   string
	endsAt time.Time
	end    func()
}

// faultInjector injects faults. All its methods run in one goroutine.
type faultInjector struct {
	bed      *line.Bed
	rng      *rand.Rand
	log      func(format string, args ...any)
	active   []activeFault
	down     map[*line.Host]bool // killed, stopped or frozen
	affected map[any]bool        // what has a fault: links, and "store", "orders", "leaving" or "odd"
	version  int                 // of the last configuration written
	crashed  *line.Member        // nil if no target has crashed
	// lateUntil is when the last promotion call without an answer has had its effect.
	lateUntil time.Time
}

func newFaultInjector(bed *line.Bed, seed uint64, version int, log func(string, ...any)) *faultInjector {
	return &faultInjector{
		bed: bed, rng: rand.New(rand.NewPCG(seed, 0)), log: log, version: version,
		down: map[*line.Host]bool{}, affected: map[any]bool{},
	}
}

// run injects faults for the duration d, then waits until all faults have ended.
func (f *faultInjector) run(d time.Duration) {
	deadline := time.Now().Add(d)
	for time.Now().Before(deadline) {
		f.endExpired(time.Now())
		f.beginRandomFault()
		f.sleep(f.randomDuration(minFaultInterval, maxFaultInterval))
	}
	for len(f.active) > 0 {
		f.sleep(exitPollInterval)
	}
	f.sleep(time.Until(f.lateUntil))
}

// sleep waits for the duration d and meanwhile ends faults that are due.
func (f *faultInjector) sleep(d time.Duration) {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
		f.endExpired(time.Now())
	}
}

// endExpired ends the faults that are due, in the order of their end times.
func (f *faultInjector) endExpired(now time.Time) {
	sort.Slice(f.active, func(i, j int) bool { return f.active[i].endsAt.Before(f.active[j].endsAt) })
	for len(f.active) > 0 && !f.active[0].endsAt.After(now) {
		e := f.active[0]
		f.active = f.active[1:]
		e.end()
	}
}

// beginRandomFault draws a fault and a duration and injects the fault, if it is
// possible at the moment.
func (f *faultInjector) beginRandomFault() {
	kinds := []func() *fault{f.kill, f.killAll, f.lateOrders, f.freeze, f.stop, f.reload, f.storeFault, f.storeLink, f.targetLink, f.targetLink, f.hide, f.lag, f.drain, f.configure, f.crash, f.oddRegistration, f.overwrittenRegistration}
	chosen := kinds[f.rng.IntN(len(kinds))]()
	duration := f.randomDuration(minFaultDuration, maxFaultDuration)
	if chosen == nil {
		return
	}
	f.log("%s for %s", chosen.name, duration.Round(time.Millisecond))
	if end := chosen.begin(); end != nil {
		f.active = append(f.active, activeFault{name: chosen.name, endsAt: time.Now().Add(duration), end: end})
	}
}

func (f *faultInjector) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(f.rng.Int64N(int64(longest-shortest)))
}

// pickHost draws a host. It returns nil if the host is down or is the last one
// that runs.
func (f *faultInjector) pickHost() *line.Host {
	h := f.bed.Hosts[f.rng.IntN(len(f.bed.Hosts))]
	if f.down[h] || len(f.down) == len(f.bed.Hosts)-1 {
		return nil
	}
	return h
}

func (f *faultInjector) kill() *fault {
	h := f.pickHost()
	if h == nil {
		return nil
	}
	return &fault{"kill of " + h.Name, func() func() { return f.signalProcess(h, syscall.SIGKILL) }}
}

// killAll kills every host at the same time, if all run.
func (f *faultInjector) killAll() *fault {
	if len(f.down) > 0 {
		return nil
	}
	return &fault{"kill of all hosts", func() func() {
		var restarts []func()
		for _, h := range f.bed.Hosts {
			restarts = append(restarts, f.signalProcess(h, syscall.SIGKILL))
		}
		return func() {
			for _, restart := range restarts {
				restart()
			}
		}
	}}
}

// lateOrders leaves promotion calls without an answer and carries them out late.
func (f *faultInjector) lateOrders() *fault {
	if f.affected["orders"] {
		return nil
	}
	calls, lateness := 1+f.rng.IntN(maxLateOrders), f.randomDuration(minOrderLateness, maxOrderLateness)
	return &fault{fmt.Sprintf("%d promotion calls carried out %s late", calls, lateness.Round(time.Millisecond)), func() func() {
		f.affected["orders"] = true
		f.bed.LoseAnswers(calls, lateness)
		return func() {
			f.bed.LoseAnswers(0, lateness)
			f.lateUntil = time.Now().Add(lateness + orderEffectTime)
			delete(f.affected, "orders")
		}
	}}
}

func (f *faultInjector) stop() *fault {
	h := f.pickHost()
	if h == nil {
		return nil
	}
	return &fault{"stop of " + h.Name, func() func() { return f.signalProcess(h, syscall.SIGTERM) }}
}

// signalProcess sends a host a signal that ends it, and returns the function that
// starts the host again.
func (f *faultInjector) signalProcess(h *line.Host, signal syscall.Signal) func() {
	f.down[h] = true
	_ = h.Cmd.Process.Signal(signal)
	var restart func()
	restart = func() {
		select {
		case <-h.Done:
			f.bed.Start(h)
			delete(f.down, h)
		default: // still draining: check again later
			f.active = append(f.active, activeFault{name: "exit of " + h.Name, endsAt: time.Now().Add(exitPollInterval), end: restart})
		}
	}
	return restart
}

func (f *faultInjector) freeze() *fault {
	h := f.pickHost()
	if h == nil {
		return nil
	}
	return &fault{"freeze of " + h.Name, func() func() {
		f.down[h] = true
		_ = h.Cmd.Process.Signal(syscall.SIGSTOP)
		return func() {
			_ = h.Cmd.Process.Signal(syscall.SIGCONT)
			delete(f.down, h)
		}
	}}
}

func (f *faultInjector) reload() *fault {
	h := f.pickHost()
	if h == nil {
		return nil
	}
	return &fault{"reload of " + h.Name, func() func() {
		_ = h.Cmd.Process.Signal(syscall.SIGHUP)
		return nil
	}}
}

// storeFault makes the store refuse calls, stop answering, answer slowly or drop
// answers.
func (f *faultInjector) storeFault() *fault {
	if f.affected["store"] {
		return nil
	}
	var name string
	var change func(*store.Faults)
	switch f.rng.IntN(4) {
	case 0:
		name, change = "store refuses", func(x *store.Faults) { x.Outage = store.OutageRefuse }
	case 1:
		name, change = "store does not answer", func(x *store.Faults) { x.Outage = store.OutageSilent }
	case 2:
		delay := f.randomDuration(0, maxStoreDelay)
		name, change = "store is slow", func(x *store.Faults) { x.Delay = delay }
	default:
		dropped := 1 + f.rng.IntN(maxDroppedAnswers)
		name, change = "store drops answers", func(x *store.Faults) { x.DropResponses = dropped }
	}
	return &fault{name, func() func() {
		f.affected["store"] = true
		f.bed.Store.UpdateFaults(change)
		return func() {
			f.bed.Store.UpdateFaults(func(x *store.Faults) { *x = store.Faults{} })
			delete(f.affected, "store")
		}
	}}
}

func (f *faultInjector) storeLink() *fault { return f.linkFault("store", f.bed.StoreLink) }

// pickTarget draws a target. It returns nil if that target has crashed.
func (f *faultInjector) pickTarget() *line.Member {
	m := f.bed.Members[f.rng.IntN(len(f.bed.Members))]
	if m == f.crashed {
		return nil
	}
	return m
}

// crash stops a target permanently, at most once per run: a commit needs the two
// remaining targets.
func (f *faultInjector) crash() *fault {
	i := f.rng.IntN(len(f.bed.Members))
	if f.crashed != nil || f.affected[f.bed.Members[i].Link] {
		return nil
	}
	return &fault{"crash of " + string(f.bed.Members[i].ID), func() func() {
		f.crashed = f.bed.Members[i]
		f.bed.Crash(i)
		return nil
	}}
}

func (f *faultInjector) targetLink() *fault {
	m := f.pickTarget()
	if m == nil {
		return nil
	}
	return f.linkFault(string(m.ID), m.Link)
}

// hide cuts a target off from the hosts and the store, but not from the other targets.
func (f *faultInjector) hide() *fault {
	m := f.pickTarget()
	if m == nil || f.affected[m.Link] || f.affected["leaving"] {
		return nil
	}
	return &fault{string(m.ID) + " reaches only the other targets", func() func() {
		f.affected[m.Link], f.affected["leaving"] = true, true
		_ = m.Link.Cut(testbed.Upstream, testbed.Downstream)
		f.bed.Unregister(m)
		return func() {
			_ = m.Link.Heal(context.Background())
			f.bed.Register(m, "ready")
			delete(f.affected, m.Link)
			delete(f.affected, "leaving")
		}
	}}
}

// linkFault blocks a link in one or both directions, silences or resets its open
// connections, or makes the link slow.
func (f *faultInjector) linkFault(name string, l *testbed.Link) *fault {
	kind, ms := f.rng.IntN(6), 1+f.rng.Int64N(maxLinkDelayMS)
	if f.affected[l] {
		return nil
	}
	markCut := func() func() {
		f.affected[l] = true
		return func() {
			_ = l.Heal(context.Background())
			delete(f.affected, l)
		}
	}
	switch kind {
	case 0:
		return &fault{"upstream cut of link to " + name, func() func() { _ = l.Cut(testbed.Upstream); return markCut() }}
	case 1:
		return &fault{"downstream cut of link to " + name, func() func() { _ = l.Cut(testbed.Downstream); return markCut() }}
	case 2:
		return &fault{"full cut of link to " + name, func() func() { _ = l.Cut(testbed.Upstream, testbed.Downstream); return markCut() }}
	case 3:
		return &fault{"silence of open connections to " + name, func() func() { _ = l.Silence(); return nil }}
	case 4:
		return &fault{"reset of connections to " + name, func() func() { _ = l.Reset(); return nil }}
	}
	return &fault{"slow link to " + name, func() func() {
		_ = l.Slow(ms)
		f.affected[l] = true
		return func() {
			_ = l.Unslow(context.Background())
			delete(f.affected, l)
		}
	}}
}

func (f *faultInjector) lag() *fault {
	m, lag := f.pickTarget(), f.randomDuration(0, maxApplyLag)
	if m == nil {
		return nil
	}
	return &fault{"apply lag of " + string(m.ID), func() func() {
		m.Server.SetApplyLag(lag)
		return func() { m.Server.SetApplyLag(0) }
	}}
}

// drain marks a target as draining, and as ready again when the fault ends.
func (f *faultInjector) drain() *fault {
	m := f.pickTarget()
	if m == nil || f.affected["leaving"] {
		return nil
	}
	return &fault{"drain of " + string(m.ID), func() func() {
		f.affected["leaving"] = true
		f.bed.Register(m, "draining")
		return func() {
			f.bed.Register(m, "ready")
			delete(f.affected, "leaving")
		}
	}}
}

func (f *faultInjector) configure() *fault {
	return &fault{"new configuration", func() func() {
		f.version++
		f.bed.Configure(f.version, databases...)
		return nil
	}}
}

// oddRegistration puts an entry of another writer beside those of the targets.
func (f *faultInjector) oddRegistration() *fault {
	const id = "odd"
	entry := f.drawOddRegistration()
	if f.affected[id] {
		return nil
	}
	return &fault{"odd registration", func() func() {
		f.affected[id] = true
		f.bed.PutRegistration(id, entry)
		return func() {
			f.bed.DeleteRegistration(id)
			delete(f.affected, id)
		}
	}}
}

// overwrittenRegistration has another writer overwrite a target's entry until the target
// writes it again.
func (f *faultInjector) overwrittenRegistration() *fault {
	m, entry := f.pickTarget(), f.drawOddRegistration()
	if m == nil || f.affected["leaving"] {
		return nil
	}
	return &fault{"overwritten registration of " + string(m.ID), func() func() {
		f.affected["leaving"] = true
		f.bed.PutRegistration(string(m.ID), entry)
		return func() {
			f.bed.Register(m, "ready")
			delete(f.affected, "leaving")
		}
	}}
}

func (f *faultInjector) drawOddRegistration() string {
	entries := line.OddRegistrations()
	return entries[f.rng.IntN(len(entries))]
}
