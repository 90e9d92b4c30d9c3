package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// failedSet lets the primary fail a share of its requests. Each client sets a session value
// and then runs transactions of one write. Each write must run under its client's value.
func failedSet(w *world) (broken int, err error) {
	const (
		sessions    = 8
		failShare   = 0.45
		greyFor     = 6500 * time.Millisecond
		rounds      = 1
		pause       = 4 * time.Second // before each such span
		think       = 30 * time.Millisecond
		clientLimit = 2 * time.Second
	)
	host := w.hosts[0]
	ready := await(10*time.Second, func() bool {
		c, err := open(host, "lepu270", "")
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
		mu        sync.Mutex
		valueOf   = map[string]string{} // value that its client was told to be set, by id of the write
		ranUnder  = map[string]string{} // value that the connection had when the write ran
		confirmed = map[string]bool{}   // by id of the write: its COMMIT was answered with success
		served    int
	)
	for _, b := range w.cluster.backends {
		b.onRun = func(id string, values map[string]string) {
			mu.Lock()
			defer mu.Unlock()
			if want, ok := valueOf[id]; ok {
				ranUnder[id] = values["area"]
				w.rec.note("backend %s runs %s under area=%q; its client set %q", b.id, id, values["area"], want)
			}
		}
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range sessions {
		wg.Go(func() {
			for n := 0; ; {
				c, err := open(host, "lepu270", "")
				if err != nil {
					time.Sleep(think)
				}
				for err == nil {
					select {
					case <-stop:
						c.conn.Close()
						return
					default:
					}
					n++
					value, write := fmt.Sprintf("area%d.%d", i, n), fmt.Sprintf("c%d.%d.write", i, n)
					steps := []struct{ id, text string }{
						{fmt.Sprintf("c%d.%d.set", i, n), "SET area " + value},
						{fmt.Sprintf("c%d.%d.begin", i, n), "BEGIN"},
						{write, fmt.Sprintf("WRITE k%d v%d", i, n)},
						{fmt.Sprintf("c%d.%d.commit", i, n), "COMMIT"},
					}
					mu.Lock()
					valueOf[write] = value
					mu.Unlock()
					ok := true
					for _, step := range steps {
						o := c.query(step.id, step.text, clientLimit)
						w.rec.note("client %d: %s %s: %s %s", i, step.id, step.text, o.result, o.detail)
						if o.result != "COMPLETE" {
							ok = false
							break
						}
					}
					if !ok { // the client attempt has failed, and the operation ended outside I
						c.conn.Close()
						break
					}
					mu.Lock()
					confirmed[write] = true
					served++
					mu.Unlock()
					time.Sleep(think)
				}
				select {
				case <-stop:
					return
				default:
				}
			}
		})
	}
	primary := w.cluster.backends[0]
	for range rounds {
		time.Sleep(pause)
		w.setFailShare(primary, failShare)
		time.Sleep(greyFor)
		w.setFailShare(primary, 0)
	}
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	ran := 0
	for id, under := range ranUnder {
		if under == valueOf[id] {
			continue
		}
		ran++
		if confirmed[id] {
			broken++
			w.rec.note("PINNED: %s ran under area=%q and was committed and confirmed; its client had set %q", id, under, valueOf[id])
		}
	}
	w.rec.note("%d transactions were confirmed; %d writes ran under another value, %d of them were confirmed", served, ran, broken)
	if served < 100 {
		return 0, fmt.Errorf("only %d transactions were served", served)
	}
	return broken, nil
}

// setFailShare makes a backend fail a share of its requests, if the case is played with its
// disruption.
func (w *world) setFailShare(b *backend, share float64) {
	if !w.trouble {
		return
	}
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	b.failShare = share
	w.rec.note("backend %s fails %.0f %% of its requests", b.id, 100*share)
}
