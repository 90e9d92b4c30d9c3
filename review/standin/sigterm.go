package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// sigtermBusySession has clients that send one statement after the other, and tells their host
// to end. The rule is LOST: a request that the host has read and passed on to a backend gets no
// complete answer.
func sigtermBusySession(w *world) (broken int, err error) {
	const (
		sessions    = 6
		network     = time.Millisecond // one way, between a client and a host
		grace       = 6 * time.Second
		lossSlack   = 200 * time.Millisecond
		timeout     = 800 * time.Millisecond // TimeoutMs of the route
		clientLimit = 3 * time.Second
	)
	first := w.hosts[0]
	ready := await(10*time.Second, func() bool {
		c, err := open(first, "fiti832", "")
		if err != nil {
			return false
		}
		defer c.conn.Close()
		return c.query("probe", "WRITE a 1", clientLimit).result == "COMPLETE"
	})
	if !ready {
		return 0, errors.New("the first host serves no write")
	}
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		termAt time.Time
		served int
	)
	stop := make(chan struct{})
	for i := range sessions {
		wg.Go(func() {
			h, n := first, 0
			for {
				c, err := open(h, "fiti832", "")
				if err != nil {
					h = w.hosts[1+i%2] // the platform sends a client elsewhere
					time.Sleep(20 * time.Millisecond)
					select {
					case <-stop:
						return
					default:
						continue
					}
				}
				for {
					select {
					case <-stop:
						c.conn.Close()
						return
					default:
					}
					if c.closed() {
						w.rec.note("client %d: %s closed the session between two requests", i, h.name)
						break
					}
					n++
					id := fmt.Sprintf("c%d.%d", i, n)
					text := fmt.Sprintf("READ k%d", i)
					if n%4 == 0 {
						text = fmt.Sprintf("WRITE k%d v%d", i, n)
					}
					time.Sleep(network)
					sentAt := time.Now()
					o := c.query(id, text, clientLimit)
					time.Sleep(network)
					if o.result != "" {
						mu.Lock()
						served++
						mu.Unlock()
						w.rec.note("client %d: %s %q at %s: %s %s after %d ms", i, id, text, h.name, o.result, o.detail, o.took.Milliseconds())
						continue
					}
					w.rec.note("client %d: %s %q at %s: NO ANSWER, the connection ended after %d ms", i, id, text, h.name, o.took.Milliseconds())
					mu.Lock()
					broken += w.judgeLost(id, h == first, termAt, sentAt, o, grace, lossSlack, timeout)
					mu.Unlock()
					break
				}
				c.conn.Close()
				h = w.hosts[1+i%2]
			}
		})
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		mu.Lock()
		termAt = time.Now()
		mu.Unlock()
		w.rec.note("SIGTERM to %s", first.name)
		first.stop(syscall.SIGTERM)
		if !await(grace, first.hasEnded) {
			w.rec.note("SIGKILL to %s", first.name)
			first.stop(syscall.SIGKILL)
		}
	} else {
		time.Sleep(grace)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	w.rec.note("%d requests were answered", served)
	if served < 100 {
		return 0, errors.New("too few requests were answered")
	}
	return broken, nil
}

// judgeLost is the rule LOST around a SIGTERM, for a request without a complete answer.
func (w *world) judgeLost(id string, atFirst bool, termAt, sentAt time.Time, o outcome, grace, lossSlack, timeout time.Duration) int {
	c := w.cluster
	c.mu.Lock()
	passedOn := false
	for _, b := range c.backends {
		passedOn = passedOn || b.runs[id] > 0
	}
	c.mu.Unlock()
	endedAt := sentAt.Add(o.took)
	sinceTerm := sentAt.Sub(termAt)
	switch {
	case !atFirst || termAt.IsZero() || endedAt.Before(termAt) || endedAt.After(termAt.Add(grace+time.Second)):
		w.rec.note("%s: outside the planned work", id)
	case !passedOn && o.took <= lossSlack:
		w.rec.note("%s: not passed on, and ended within LossSlackMs", id)
	case o.took >= timeout:
		w.rec.note("%s: the route's timeout was reached", id)
	case sinceTerm <= 3*time.Second && endedAt.Sub(termAt) >= grace*5/6:
		w.rec.note("%s: sent within 3 s of the SIGTERM, and the backend was still at work in the last sixth", id)
	default:
		w.rec.note("LOST: %s was sent %d ms after the SIGTERM, passed on to a backend: %t, and its connection ended without an answer %d ms later", id,
			sinceTerm.Milliseconds(), passedOn, o.took.Milliseconds())
		return 1
	}
	return 0
}
