package main

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// load is clients that check what they get.
type load struct {
	b       *bed
	stop    atomic.Bool
	wg      sync.WaitGroup
	mu      sync.Mutex
	refused []string // requests of attempts that were promised not to be kept
	served  atomic.Int64
	failed  atomic.Int64
}

func (l *load) run(seed int64) {
	defer l.wg.Done()
	rnd := rand.New(rand.NewSource(seed))
	kinds := []string{"primary", "bounded", "own"}
	ages := map[string]time.Duration{"primary": 0, "bounded": 1500 * time.Millisecond, "own": 2500 * time.Millisecond}
	for !l.stop.Load() {
		svc := l.b.services[rnd.Intn(len(l.b.services))]
		kind := kinds[rnd.Intn(3)]
		c := l.b.dial(l.b.hosts[rnd.Intn(len(l.b.hosts))], svc.name+"-"+kind)
		if c == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		values, prepared := map[string]string{}, map[string]string{}
		for n := rnd.Intn(40) + 1; n > 0 && !l.stop.Load(); n-- {
			if !l.operation(c, rnd, kind, ages[kind], values, prepared) {
				break
			}
			time.Sleep(time.Duration(rnd.Intn(30)) * time.Millisecond)
		}
		c.close()
	}
}

func copyMap(m map[string]string) map[string]string {
	c := map[string]string{}
	for k, v := range m {
		c[k] = v
	}
	return c
}

// statement returns a read or write, plain or prepared, and what it must find.
func (l *load) statement(c *client, rnd *rand.Rand, values, prepared map[string]string, write bool) (id, text string, e *context, ok bool) {
	id = newID()
	e = &context{values: copyMap(values)}
	item := fmt.Sprintf("x%d", rnd.Intn(50))
	verb := "READ"
	if write {
		verb = "WRITE"
	}
	if rnd.Intn(3) == 0 {
		name := fmt.Sprintf("s%d", rnd.Intn(3))
		shape, known := prepared[name]
		if !known || !strings.HasPrefix(shape, verb) {
			shape = fmt.Sprintf("%s q%d", verb, rnd.Intn(1000))
			if a := c.query(newID(), "PREPARE "+name+" "+shape); !a.ok {
				return "", "", nil, false
			}
			prepared[name] = shape
		}
		e.name, e.shape = name, shape
		text = "EXECUTE " + name + " " + item
	} else {
		text = verb + " " + item
	}
	if write {
		text += " d" + id
	}
	return id, text, e, true
}

func (l *load) expect(id string, e *context) {
	l.b.mu.Lock()
	l.b.expected[id] = e
	l.b.mu.Unlock()
}

func (l *load) refuse(ids ...string) {
	l.mu.Lock()
	l.refused = append(l.refused, ids...)
	l.mu.Unlock()
}

// operation runs one operation. It reports whether the session goes on.
func (l *load) operation(c *client, rnd *rand.Rand, kind string, age time.Duration, values, prepared map[string]string) bool {
	if rnd.Intn(6) == 0 {
		name, value := fmt.Sprintf("v%d", rnd.Intn(3)), strconv.Itoa(rnd.Intn(1000))
		if a := c.query(newID(), "SET "+name+" "+value); !a.ok {
			return false
		}
		values[name] = value
	}
	write := kind != "bounded" && rnd.Intn(3) == 0
	if rnd.Intn(3) == 0 {
		return l.transaction(c, rnd, kind, age, values, prepared, write)
	}
	id, text, e, ok := l.statement(c, rnd, values, prepared, write)
	if !ok {
		return false
	}
	l.expect(id, e)
	from := time.Now()
	a := c.query(id, text)
	switch {
	case a.ok && write:
		c.acked(id)
	case a.ok:
		c.checkRead(id, from, age, kind == "own")
	case isPromise(a.code):
		l.refuse(id)
	}
	if a.ok {
		l.served.Add(1)
	} else {
		l.failed.Add(1)
	}
	return a.ok || a.code != "" && a.state == "I"
}

func (l *load) transaction(c *client, rnd *rand.Rand, kind string, age time.Duration, values, prepared map[string]string, write bool) bool {
	begin := "BEGIN"
	if !write && rnd.Intn(2) == 0 {
		begin = "BEGIN READ"
	}
	from := time.Now()
	if a := c.query(newID(), begin); !a.ok {
		return a.code != "" && a.state == "I"
	}
	tx := &txContext{}
	wrote := false
	for n := rnd.Intn(4) + 1; n > 0; n-- {
		w := write && rnd.Intn(2) == 0
		id, text, e, ok := l.statement(c, rnd, values, prepared, w)
		if !ok {
			return false
		}
		e.tx = tx
		l.expect(id, e)
		a := c.query(id, text)
		if !a.ok {
			l.failed.Add(1)
			if a.code == "" {
				return false
			}
			return c.query(newID(), "ROLLBACK").ok
		}
		wrote = wrote || w
		if !w {
			c.checkRead(id, from, age, kind == "own")
		}
		time.Sleep(time.Duration(rnd.Intn(40)) * time.Millisecond)
	}
	if rnd.Intn(8) == 0 {
		return c.query(newID(), "ROLLBACK").ok
	}
	id := newID()
	l.expect(id, &context{values: copyMap(values), tx: tx})
	a := c.query(id, "COMMIT")
	switch {
	case a.ok && wrote:
		c.acked(id)
	case isPromise(a.code):
		l.refuse(id)
	}
	if a.ok {
		l.served.Add(1)
	} else {
		l.failed.Add(1)
	}
	return a.ok || a.code != "" && a.state == "I"
}

// finish ends the clients and checks what is in the logs.
func (l *load) finish() {
	l.stop.Store(true)
	l.wg.Wait()
	b := l.b
	b.mu.Lock()
	defer b.mu.Unlock()
	refused := map[string]bool{}
	for _, id := range l.refused {
		refused[id] = true
	}
	for _, svc := range b.services {
		count := map[string]int{}
		for _, e := range svc.leader.log {
			count[e.request]++
			if count[e.request] > 1 {
				go b.rec.broken("TWICE: %s took effect %d times", e.request, count[e.request])
			}
			if refused[e.request] {
				go b.rec.broken("REFUSED: %s is committed though its client was promised that nothing is kept", e.request)
			}
		}
		for _, a := range b.acks {
			if a.svc == svc && !svc.leader.contains(a.term, a.number) {
				go b.rec.broken("LOST at the end: %s", a.request)
			}
		}
	}
	time.AfterFunc(0, func() {})
	go b.rec.say("served %d, failed %d, promotions %v", l.served.Load(), l.failed.Load(), b.promotes)
}

func init() {
	cases["chaos"] = func(b *bed) error {
		seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
		seconds, _ := strconv.Atoi(os.Getenv("SECONDS"))
		if seconds == 0 {
			seconds = 60
		}
		rnd := rand.New(rand.NewSource(seed))
		if err := b.begin(2, []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-c", "zone-c"}); err != nil {
			return err
		}
		l := &load{b: b}
		for i := range 36 {
			l.wg.Add(1)
			go l.run(seed*1000 + int64(i))
		}
		end := time.Now().Add(time.Duration(seconds) * time.Second)
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rnd.Intn(gap())) * time.Millisecond)
			if b.trouble {
				b.fault(rnd)
			}
		}
		time.Sleep(18 * time.Second)
		for _, h := range b.hosts {
			h.signal(syscall.SIGCONT)
		}
		if err := b.await(40 * time.Second); err != nil {
			b.rec.broken("NOT BACK: %v", err)
		}
		l.finish()
		time.Sleep(200 * time.Millisecond)
		return nil
	}
}

func (b *bed) anyServer(rnd *rand.Rand) (*service, *server) {
	svc := b.services[rnd.Intn(len(b.services))]
	return svc, svc.servers[rnd.Intn(len(svc.servers))]
}

// fault brings about a random fault that ends by itself.
func (b *bed) fault(rnd *rand.Rand) {
	d := time.Duration(300+rnd.Intn(6000)) * time.Millisecond
	if os.Getenv("LONG") != "" && rnd.Intn(2) == 0 {
		d = time.Duration(20000+rnd.Intn(30000)) * time.Millisecond
	}
	h := b.hosts[rnd.Intn(len(b.hosts))]
	svc, s := b.anyServer(rnd)
	later := func(f func()) { time.AfterFunc(d, f) }
	switch k := rnd.Intn(14); k {
	case 0, 1:
		if h.expect || h.stopped {
			return
		}
		b.rec.say("kill %s for %v", h.name, d)
		h.kill()
		later(func() { h.start() })
	case 2:
		if h.expect || h.stopped {
			return
		}
		b.rec.say("SIGTERM %s", h.name)
		h.signal(syscall.SIGTERM)
		done := h.done
		go func() {
			<-done
			time.Sleep(300 * time.Millisecond)
			h.start()
		}()
	case 3:
		if h.expect || h.stopped {
			return
		}
		b.rec.say("freeze %s for %v", h.name, d)
		h.signal(syscall.SIGSTOP)
		later(func() { h.signal(syscall.SIGCONT) })
	case 4, 5:
		b.mu.Lock()
		up := 0
		for _, o := range svc.servers {
			if o.alive {
				up++
			}
		}
		leads := s.leads()
		b.mu.Unlock()
		if up < 3 {
			return
		}
		empty := !leads && rnd.Intn(2) == 0
		b.rec.say("crash %s for %v, leads %v, empty %v", s.id, d, leads, empty)
		s.crash()
		later(func() { s.restart(empty) })
	case 6:
		b.rec.say("%s receives nothing for %v", s.id, d)
		b.mu.Lock()
		s.deaf = true
		b.mu.Unlock()
		later(func() { b.mu.Lock(); s.deaf = false; b.mu.Unlock() })
	case 7:
		b.rec.say("%s doesn't reach the store for %v", s.id, d)
		b.mu.Lock()
		s.hidden = true
		b.mu.Unlock()
		later(func() { b.mu.Lock(); s.hidden = false; b.mu.Unlock() })
	case 8:
		b.rec.say("answers of %s are lost for %v", s.id, d)
		b.mu.Lock()
		s.onRun = func(string, string) bool { return rand.Intn(6) == 0 }
		b.mu.Unlock()
		later(func() { b.mu.Lock(); s.onRun = nil; b.mu.Unlock() })
	case 9, 10:
		b.rec.say("promotion calls get no answer and are late for %v", d)
		b.mu.Lock()
		b.onPromote = func(string, string) writeFate {
			if rand.Intn(2) == 0 {
				return writeFate{}
			}
			return writeFate{true, time.Duration(2000+rand.Intn(8000)) * time.Millisecond}
		}
		b.mu.Unlock()
		later(func() { b.mu.Lock(); b.onPromote = nil; b.mu.Unlock() })
	case 11:
		b.rec.say("writes to the store get no answer for %v", d)
		b.store.setFaults(func(s *store) {
			s.onWrite = func(string, string) writeFate {
				return writeFate{rand.Intn(3) == 0, time.Duration(rand.Intn(5000)) * time.Millisecond}
			}
		})
		later(func() { b.store.setFaults(func(s *store) { s.onWrite = nil }) })
	case 12:
		b.rec.say("the store is silent for %v", d)
		b.store.setFaults(func(s *store) { s.silent = true })
		later(func() { b.store.setFaults(func(s *store) { s.silent = false }) })
	case 13:
		b.rec.say("%s is to leave for %v", s.id, d)
		b.mu.Lock()
		s.state = "draining"
		b.mu.Unlock()
		later(func() { b.mu.Lock(); s.state = "ready"; b.mu.Unlock() })
	}
}

// gap returns the longest time between two faults in ms.
func gap() int {
	if n, _ := strconv.Atoi(os.Getenv("GAP")); n > 0 {
		return n
	}
	return 1500
}
