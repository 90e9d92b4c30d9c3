package main

import (
	"errors"
	"fmt"
	"time"
)

// smuggledLine has a client that writes a text with a line feed in it. A message ends with
// CR LF, and its last field extends to the end of the line, so that this is one request. The
// rule is UNASKED: a backend runs a request that was smuggled inside another one.
func smuggledLine(w *world) (broken int, err error) {
	const (
		rounds = 20
		limit  = 2 * time.Second
	)
	h := w.hosts[0]
	victim := fmt.Sprintf("crew-%d", 7)
	ready := await(10*time.Second, func() bool {
		c, err := open(h, "lepu270", "")
		if err != nil {
			return false
		}
		defer c.conn.Close()
		return c.query("probe", "WRITE "+victim+" booked-by-member-1", limit).result == "COMPLETE"
	})
	if !ready {
		return 0, errors.New("the host serves no write")
	}
	separator := " / "
	if w.trouble {
		separator = "\n"
	}
	sent := map[string]bool{}
	inner := []string{}
	for i := range rounds {
		c, err := open(w.hosts[i%len(w.hosts)], "lepu270", "")
		if err != nil {
			return 0, err
		}
		id, hidden := fmt.Sprintf("a%d", i), fmt.Sprintf("b%d", i)
		sent[id] = true
		inner = append(inner, hidden)
		// One request: a remark of a site supervisor, which contains a line feed.
		text := fmt.Sprintf("WRITE remark-%d see the plan%sQUERY %s WRITE %s taken-%d", i, separator, hidden, victim, i)
		w.rec.note("client %d sends one message at %s: %q", i, c.host.name, "QUERY "+id+" "+text+"\r\n")
		o := c.query(id, text, limit)
		w.rec.note("client %d: %s: %s %s after %d ms", i, id, o.result, o.detail, o.took.Milliseconds())
		_ = c.conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		for {
			line, err := c.reader.ReadString('\n')
			if err != nil {
				break
			}
			w.rec.note("client %d: a message that answers nothing: %q", i, line)
		}
		c.conn.Close()
	}
	c, err := open(h, "lepu270", "")
	if err != nil {
		return 0, err
	}
	o := c.query("last", "READ "+victim, limit)
	w.rec.note("at the end %s is %q", victim, o.rows)
	c.conn.Close()
	w.cluster.mu.Lock()
	defer w.cluster.mu.Unlock()
	answered := false
	for _, b := range w.cluster.backends {
		for id := range sent {
			answered = answered || b.runs[id] > 0
		}
		for _, id := range inner {
			if b.runs[id] > 0 {
				w.rec.note("UNASKED: backend %s ran %s, which no client sent as a request; effects: %d", b.id, id, b.commits[id])
				broken++
			}
		}
	}
	if !w.trouble && !answered {
		return 0, errors.New("no write ran")
	}
	return broken, nil
}
