package main

import (
	"context"
	"math/rand/v2"
	"sort"
	"syscall"
	"time"

	"nettlewalk.example/nettlewalk/test/line"
	store "nettlewalk.example/nettlewalk/test/standin/platform"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	leastGap    = 100 * time.Millisecond // between the beginnings of two faults
	greatestGap = 700 * time.Millisecond
	leastFor    = 100 * time.Millisecond // how long a fault lasts
	greatestFor = 3 * time.Second
	slowMost    = 200                    // milliseconds that a slow link adds in each direction
	lagMost     = 400 * time.Millisecond // that a replica applies late
	delayMost   = 500 * time.Millisecond // that a slow store takes for an answer
	exitPoll    = 50 * time.Millisecond  // between looks whether a host has ended
	dropMost    = 3                      // writes of the store without an answer
)

// fault begins something and returns what ends it, nil: it ends by itself.
type fault struct {
	name  string
	begin func() (end func())
}

// ending is a fault that is still on.
type ending struct {
	name string
	at   time.Time
	end  func()
}

// faults bring faults about, in one goroutine.
type faults struct {
	bed     *line.Bed
	draw    *rand.Rand
	log     func(format string, args ...any)
	endings []ending
	down    map[*line.Host]bool // killed or frozen
	touched map[any]bool        // links with a fault, and targets that leave
	version int                 // of the configuration
	crashed *line.Member        // nil: none yet
}

func newFaults(bed *line.Bed, seed uint64, version int, log func(string, ...any)) *faults {
	return &faults{
		bed: bed, draw: rand.New(rand.NewPCG(seed, 0)), log: log, version: version,
		down: map[*line.Host]bool{}, touched: map[any]bool{},
	}
}

// run goes on until the time is up; then it ends what is still on.
func (f *faults) run(d time.Duration) {
	until := time.Now().Add(d)
	for time.Now().Before(until) {
		f.endDue(time.Now())
		f.beginOne()
		f.sleep(f.between(leastGap, greatestGap))
	}
	for len(f.endings) > 0 {
		f.sleep(exitPoll)
	}
}

// sleep waits, and ends faults meanwhile.
func (f *faults) sleep(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
		f.endDue(time.Now())
	}
}

func (f *faults) endDue(now time.Time) {
	sort.Slice(f.endings, func(i, j int) bool { return f.endings[i].at.Before(f.endings[j].at) })
	for len(f.endings) > 0 && !f.endings[0].at.After(now) {
		e := f.endings[0]
		f.endings = f.endings[1:]
		e.end()
	}
}

func (f *faults) beginOne() {
	kinds := []func() *fault{f.kill, f.freeze, f.stop, f.reload, f.storeFault, f.storeLink, f.targetLink, f.targetLink, f.lag, f.leave, f.configure, f.crash}
	chosen := kinds[f.draw.IntN(len(kinds))]()
	lasts := f.between(leastFor, greatestFor)
	if chosen == nil {
		return
	}
	f.log("%s for %s", chosen.name, lasts.Round(time.Millisecond))
	if end := chosen.begin(); end != nil {
		f.endings = append(f.endings, ending{name: chosen.name, at: time.Now().Add(lasts), end: end})
	}
}

func (f *faults) between(least, greatest time.Duration) time.Duration {
	return least + time.Duration(f.draw.Int64N(int64(greatest-least)))
}

// host draws a host that runs, nil if it is the last one.
func (f *faults) host() *line.Host {
	h := f.bed.Hosts[f.draw.IntN(len(f.bed.Hosts))]
	if f.down[h] || len(f.down) == len(f.bed.Hosts)-1 {
		return nil
	}
	return h
}

func (f *faults) kill() *fault {
	h := f.host()
	if h == nil {
		return nil
	}
	return &fault{"kill of " + h.Name, func() func() { return f.endProcess(h, syscall.SIGKILL) }}
}

func (f *faults) stop() *fault {
	h := f.host()
	if h == nil {
		return nil
	}
	return &fault{"stop of " + h.Name, func() func() { return f.endProcess(h, syscall.SIGTERM) }}
}

// endProcess signals a host and returns what starts it again.
func (f *faults) endProcess(h *line.Host, signal syscall.Signal) func() {
	f.down[h] = true
	_ = h.Cmd.Process.Signal(signal)
	var again func()
	again = func() {
		select {
		case <-h.Done:
			f.bed.Start(h)
			delete(f.down, h)
		default: // it has its time to leave
			f.endings = append(f.endings, ending{name: "exit of " + h.Name, at: time.Now().Add(exitPoll), end: again})
		}
	}
	return again
}

func (f *faults) freeze() *fault {
	h := f.host()
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

func (f *faults) reload() *fault {
	h := f.host()
	if h == nil {
		return nil
	}
	return &fault{"reload of " + h.Name, func() func() {
		_ = h.Cmd.Process.Signal(syscall.SIGHUP)
		return nil
	}}
}

// storeFault makes the store refuse, keep silent, be slow or lose answers.
func (f *faults) storeFault() *fault {
	if f.touched["store"] {
		return nil
	}
	var name string
	var change func(*store.Faults)
	switch f.draw.IntN(4) {
	case 0:
		name, change = "store refuses", func(x *store.Faults) { x.Outage = store.OutageRefuse }
	case 1:
		name, change = "store is silent", func(x *store.Faults) { x.Outage = store.OutageSilent }
	case 2:
		delay := f.between(0, delayMost)
		name, change = "store is slow", func(x *store.Faults) { x.Delay = delay }
	default:
		lost := 1 + f.draw.IntN(dropMost)
		name, change = "store loses answers", func(x *store.Faults) { x.DropAnswers = lost }
	}
	return &fault{name, func() func() {
		f.touched["store"] = true
		f.bed.Store.Change(change)
		return func() {
			f.bed.Store.Change(func(x *store.Faults) { *x = store.Faults{} })
			delete(f.touched, "store")
		}
	}}
}

func (f *faults) storeLink() *fault { return f.linkFault("store", f.bed.StoreLink) }

// target draws a target that runs, nil if it drew the crashed one.
func (f *faults) target() *line.Member {
	m := f.bed.Members[f.draw.IntN(len(f.bed.Members))]
	if m == f.crashed {
		return nil
	}
	return m
}

// crash ends a target for good, once: two are left, which a commit needs.
func (f *faults) crash() *fault {
	i := f.draw.IntN(len(f.bed.Members))
	if f.crashed != nil || f.touched[f.bed.Members[i].Link] {
		return nil
	}
	return &fault{"crash of " + string(f.bed.Members[i].ID), func() func() {
		f.crashed = f.bed.Members[i]
		f.bed.Crash(i)
		return nil
	}}
}

func (f *faults) targetLink() *fault {
	m := f.target()
	if m == nil {
		return nil
	}
	return f.linkFault(string(m.ID), m.Link)
}

// linkFault cuts a link in one or both directions, silences what is open, or
// resets it, or makes it slow.
func (f *faults) linkFault(name string, l *testbed.Link) *fault {
	kind, ms := f.draw.IntN(6), 1+f.draw.Int64N(slowMost)
	if f.touched[l] {
		return nil
	}
	heal := func() func() {
		f.touched[l] = true
		return func() {
			_ = l.Heal(context.Background())
			delete(f.touched, l)
		}
	}
	switch kind {
	case 0:
		return &fault{"cut to " + name, func() func() { _ = l.Cut(testbed.Upstream); return heal() }}
	case 1:
		return &fault{"cut from " + name, func() func() { _ = l.Cut(testbed.Downstream); return heal() }}
	case 2:
		return &fault{"cut off " + name, func() func() { _ = l.Cut(testbed.Upstream, testbed.Downstream); return heal() }}
	case 3:
		return &fault{"silence of open connections to " + name, func() func() { _ = l.Silence(); return nil }}
	case 4:
		return &fault{"reset of connections to " + name, func() func() { _ = l.Reset(); return nil }}
	}
	return &fault{"slow link to " + name, func() func() {
		_ = l.Slow(ms)
		f.touched[l] = true
		return func() {
			_ = l.Unslow(context.Background())
			delete(f.touched, l)
		}
	}}
}

func (f *faults) lag() *fault {
	m, lag := f.target(), f.between(0, lagMost)
	if m == nil {
		return nil
	}
	return &fault{"lag of " + string(m.ID), func() func() {
		m.Server.SetApplyLag(lag)
		return func() { m.Server.SetApplyLag(0) }
	}}
}

// leave announces that a target leaves, and takes it back.
func (f *faults) leave() *fault {
	m := f.target()
	if m == nil || f.touched["leaving"] {
		return nil
	}
	return &fault{"leaving of " + string(m.ID), func() func() {
		f.touched["leaving"] = true
		f.bed.Register(m, "draining")
		return func() {
			f.bed.Register(m, "ready")
			delete(f.touched, "leaving")
		}
	}}
}

func (f *faults) configure() *fault {
	return &fault{"new configuration", func() func() {
		f.version++
		f.bed.Configure(f.version, databases...)
		return nil
	}}
}
