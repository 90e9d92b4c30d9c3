package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// promotedUnregistered cuts a replica off from the store, then the store goes down, and then
// the primary crashes. The deployment has tenants. Broken if a process ends by itself.
func promotedUnregistered(w *world) (broken int, err error) {
	const (
		cutFor  = 5 * time.Second
		downFor = 4900 * time.Millisecond
		crashAt = cutFor + 2*time.Second // after the beginning of the cut
		limit   = 3 * time.Second
	)
	for _, h := range w.hosts {
		served := await(10*time.Second, func() bool {
			c, err := open(h, "fiti832", "key1")
			if err != nil {
				return false
			}
			defer c.conn.Close()
			return c.query("probe", "WRITE a 1", limit).result == "COMPLETE"
		})
		if !served {
			return 0, errors.New(h.name + " serves no write")
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, h := range w.hosts {
		for j := range 3 {
			wg.Go(func() { w.readNowAndThen(h, fmt.Sprintf("c%d%d", i, j), fmt.Sprintf("key%d", j+1), stop) })
		}
	}
	time.Sleep(4 * time.Second)
	done, crashes := make(chan struct{}), make(chan int, 1)
	go func() { crashes <- w.restartEnded(done) }()
	leader, replica := w.cluster.backends[0], w.cluster.backends[1]
	if w.trouble {
		cutAt := time.Now()
		w.rec.note("%s is cut off from the store", replica.id)
		replica.cut(true)
		time.Sleep(time.Until(cutAt.Add(cutFor)))
		w.store.setDown(true)
		replica.cut(false)
		w.rec.note("the cut of %s is over; the store is down", replica.id)
		time.Sleep(time.Until(cutAt.Add(crashAt)))
		w.rec.note("%s, the primary, crashes", leader.id)
		leader.crash()
		time.Sleep(time.Until(cutAt.Add(cutFor + downFor)))
		w.store.setDown(false)
		w.rec.note("the store is back")
	} else {
		time.Sleep(cutFor + downFor)
	}
	time.Sleep(4 * time.Second)
	close(done)
	broken = <-crashes
	close(stop)
	wg.Wait()
	return broken, nil
}

// restartEnded starts processes again that have ended by themselves, as the platform does, until
// done is closed. It returns how many ended.
func (w *world) restartEnded(done chan struct{}) (ended int) {
	const delay = time.Second
	for {
		for _, h := range w.hosts {
			if h.endedByItself() {
				ended++
				w.rec.note("CRASH: the process of %s ended by itself", h.name)
				time.Sleep(delay)
				if err := h.start(); err != nil {
					w.rec.note("%s doesn't start: %s", h.name, err)
					return ended
				}
			}
		}
		select {
		case <-done:
			return ended
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// readNowAndThen is a client with one session that reads every 50 ms.
func (w *world) readNowAndThen(h *host, name, key string, stop chan struct{}) {
	n := 0
	for {
		c, err := open(h, "fiti832", key)
		for err == nil {
			select {
			case <-stop:
				c.conn.Close()
				return
			case <-time.After(50 * time.Millisecond):
			}
			n++
			id := fmt.Sprintf("%s.%d", name, n)
			o := c.query(id, "READ a", 3*time.Second)
			w.rec.note("client %s: %s at %s: %s %s after %d ms", name, id, h.name, o.result, o.detail, o.took.Milliseconds())
			if o.result == "" {
				w.rec.note("client %s: %s got NO ANSWER", name, id)
				c.conn.Close()
				break
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}
