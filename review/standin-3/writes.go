package main

import (
	"fmt"
	"sync"
	"time"
)

// writes are the clients that write through all hosts, with the check of the rule LOST.
type writes struct {
	b  *bed
	wg sync.WaitGroup

	mu           sync.Mutex
	acknowledged map[string]bool // by request id
	lost         int
}

// startWriting starts one client for each host. When a promotion has its effect, each commit
// that was acknowledged is looked up in the log of the promoted backend.
func (b *bed) startWriting(g *group, duration time.Duration) *writes {
	w := &writes{b: b, acknowledged: map[string]bool{}}
	g.mu.Lock()
	g.onLead = w.checkLeader
	g.mu.Unlock()
	end := time.Now().Add(duration)
	for i, h := range b.hosts {
		w.wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c, err := h.open("db1", fmt.Sprintf("u%d.%d", i, n))
				if err != nil {
					time.Sleep(300 * time.Millisecond)
					continue
				}
				w.write(c, h, i, end)
				c.conn.Close()
			}
		})
	}
	return w
}

func (w *writes) write(c *client, h *host, item int, end time.Time) {
	for time.Now().Before(end) {
		text := fmt.Sprintf("WRITE k%d v%d", item, c.n)
		w.b.log("client: sends %s-%d %s to %s", c.name, c.n+1, text, h.name)
		a, err := c.query(text, 1500*time.Millisecond)
		if err != nil {
			w.b.log("client: %s gets no answer: %v", a.id, err)
			return
		}
		w.b.log("client: %s is told %s %s", a.id, a.word, a.text)
		if a.ok() {
			w.mu.Lock()
			w.acknowledged[a.id] = true
			w.mu.Unlock()
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkLeader is called with the group's lock held.
func (w *writes) checkLeader(leader *backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	has := map[string]bool{}
	for _, e := range leader.log {
		has[e.id] = true
	}
	for id := range w.acknowledged {
		if !has[id] {
			w.lost++
			w.b.log("LOST: %s was acknowledged and isn't in the log of %s, which is promoted", id, leader.id)
		}
	}
}

// verdict waits for the clients and returns the exit code.
func (w *writes) verdict() int {
	w.wg.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.b.say("%d commits acknowledged, %d of them lost by a promotion", len(w.acknowledged), w.lost)
	switch {
	case len(w.acknowledged) == 0:
		return 2
	case w.lost > 0:
		return 1
	}
	return 0
}
