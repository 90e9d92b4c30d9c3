package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

var lastID, lastSession atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// client is a session of a client with a host.
type client struct {
	p        *platform
	id       int
	h        *host
	database string
	conn     net.Conn
	in       *bufio.Reader
	timeout  time.Duration
}

// answer is what a client got.
type answer struct {
	rows  []string
	ok    bool
	code  string // "" if there was no answer
	text  string
	state string
}

// dial opens a session; nil if that fails.
func (p *platform) dial(h *host, database string) *client {
	conn, err := net.DialTimeout("tcp", h.front(), time.Second)
	if err != nil {
		return nil
	}
	c := &client{p: p, id: int(lastSession.Add(1)), h: h, database: database, conn: conn, in: bufio.NewReader(conn), timeout: 3 * time.Second}
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "START %s u%d\r\n", database, c.id)
	line, err := readMessage(c.in)
	if err != nil || !strings.HasPrefix(line, "READY") {
		conn.Close()
		return nil
	}
	return c
}

func (c *client) close() { c.conn.Close() }

// query sends a statement and returns the answer.
func (c *client) query(id, text string) answer {
	sent := time.Now()
	c.p.mu.Lock()
	c.p.sent[id] = sent
	c.p.mu.Unlock()
	c.conn.SetDeadline(sent.Add(c.timeout))
	a := c.exchange(id, text)
	shown := text
	if len(shown) > 60 {
		shown = shown[:60] + "..."
	}
	row := strings.Join(a.rows, ",")
	if len(row) > 40 {
		row = row[:40] + "..."
	}
	result := "no answer"
	if a.ok {
		result = "COMPLETE " + row
	} else if a.code != "" {
		result = a.code + " " + a.text
	}
	c.p.rec.note("session %d %s %s %s -> %s (%d ms)", c.id, c.h.name, id, shown, result, time.Since(sent).Milliseconds())
	return a
}

func (c *client) exchange(id, text string) (a answer) {
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return a
	}
	ok, code, detail := false, "", ""
	for {
		line, err := readMessage(c.in)
		if err != nil {
			return answer{}
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			ok = true
		case "ERROR":
			code, detail, _ = strings.Cut(rest, " ")
		case "READY":
			a.ok, a.code, a.text = ok, code, detail
			a.state, _, _ = strings.Cut(rest, " ")
			return a
		}
	}
}

// acked notes that the client has received the success of a write or commit.
func (c *client) acked(id string) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	r := c.p.runs[id]
	if r == nil || r.server == nil {
		go c.p.rec.broken("MIXED: success for %s, which no server ran", id)
		return
	}
	a := ack{svc: r.server.svc, request: id, session: c.id, term: r.term, number: r.number, at: time.Now()}
	c.p.acks = append(c.p.acks, a)
	if l := a.svc.leader; !l.contains(a.term, a.number) {
		go c.p.rec.broken("LOST: commit %s at %d.%d was acknowledged to its client and isn't in the log of the present primary %s", id, a.term, a.number, l.id)
	}
}
