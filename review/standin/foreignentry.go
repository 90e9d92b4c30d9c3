package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// foreignEntry writes an entry with missing fields into the register of backends. Later the
// primary is lost and all processes are killed. The service must recover as it does without
// that entry.
func foreignEntry(w *world) (broken int, err error) {
	const (
		sessions    = 6
		think       = 40 * time.Millisecond
		clientLimit = time.Second
		recoveryS   = 12 * time.Second
		judged      = 12 * time.Second
	)
	first := w.hosts[0]
	ready := await(10*time.Second, func() bool {
		c, err := open(first, "lepu270", "")
		if err != nil {
			return false
		}
		defer c.conn.Close()
		return c.query("probe", "WRITE a 1", clientLimit).result == "COMPLETE"
	})
	if !ready {
		return 0, errors.New("the first host serves no write")
	}
	if w.trouble {
		l, err := net.Listen("tcp", "127.0.0.1:0") // an address at which nobody listens
		if err != nil {
			return 0, err
		}
		addr := l.Addr().String()
		l.Close()
		w.store.put("servers", "i-f0e1d2c3b4", map[string]any{"Service": w.cluster.service, "Address": addr, "Zone": zones[1], "State": "ready"})
		w.rec.note("another writer's entry i-f0e1d2c3b4: address %s; Version, Slots, ColdRemainingMs, DatabaseRole and Sequence are missing", addr)
	}
	var (
		mu           sync.Mutex
		phase        int // 0: before the final fault, 1: until RecoveryS after it, 2: judged
		sent, served [3]int
	)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range sessions {
		wg.Go(func() {
			var c *client
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(think):
				}
				database, text := "lepu270", fmt.Sprintf("WRITE k%d v%d", i, n)
				if i%2 == 1 {
					database, text = "fiti832", fmt.Sprintf("READ k%d", i)
				}
				mu.Lock()
				now := phase
				sent[now]++
				mu.Unlock()
				var o outcome
				if c == nil {
					c, _ = open(w.hosts[(i+n)%len(w.hosts)], database, "")
				}
				if c != nil {
					o = c.query(fmt.Sprintf("c%d.%d", i, n), text, clientLimit)
				}
				if n%25 == 0 {
					w.rec.note("client %d: %s %s: %q %s", i, database, text, o.result, o.detail)
				}
				if o.result == "COMPLETE" {
					mu.Lock()
					served[now]++
					mu.Unlock()
				} else if c != nil && o.result == "" {
					c.conn.Close()
					c = nil
				}
			}
		})
	}
	time.Sleep(8 * time.Second)
	w.rec.note("the primary %s is lost for good; all processes are killed", w.cluster.backends[0].id)
	w.cluster.backends[0].crash()
	for _, h := range w.hosts {
		h.stop(syscall.SIGKILL)
	}
	mu.Lock()
	phase = 1
	mu.Unlock()
	for _, h := range w.hosts {
		if !await(2*time.Second, h.hasEnded) {
			return 0, errors.New("a process has not ended")
		}
	}
	time.Sleep(time.Second)
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return 0, err
		}
	}
	w.rec.note("the machines are back")
	time.Sleep(recoveryS)
	mu.Lock()
	phase = 2
	mu.Unlock()
	time.Sleep(judged)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.rec.note("before the final fault %d of %d requests were served, later than 12 s after the machines were back %d of %d", served[0], sent[0], served[2], sent[2])
	if 4*served[0] < sent[0] || sent[2] < 50 {
		return 0, errors.New("too few requests")
	}
	if 4*served[2] < sent[2] {
		w.rec.note("RECOVER: less than a quarter is served")
		broken++
	}
	return broken, nil
}
