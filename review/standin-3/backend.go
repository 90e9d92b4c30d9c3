package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// group stands in for the backends of one service: a primary and its replicas, with one log.
type group struct {
	service  string
	st       *store
	maxConns int
	slots    int
	lag      time.Duration // until replicas apply a commit
	record   func(format string, args ...any)

	mu       sync.Mutex
	term     uint64
	primary  string
	token    uint64 // highest fencing token seen
	backends map[string]*backend
	onLead   func(*backend) // called with mu held as a promotion has its effect
}

// entry is one commit.
type entry struct {
	id       string // of the client's request
	position position
	writes   map[string]string
}

type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) atLeast(q position) bool {
	return p.term > q.term || p.term == q.term && p.number >= q.number
}

// backend is one process of the group.
type backend struct {
	g        *group
	id, addr string
	zone     string
	listener net.Listener
	work     chan struct{} // its slots

	// The fields below are guarded by g.mu.
	up       bool
	deaf     bool // receives nothing
	noStore  bool // is partitioned from the store
	draining bool
	beatAt   time.Time
	log      []entry // received
	applied  int
	paused   uint64
	conns    map[net.Conn]bool
	sequence int64
	born     int64
}

func newGroup(st *store, service string, maxConns, slots int, record func(string, ...any)) *group {
	g := &group{service: service, st: st, maxConns: maxConns, slots: slots, lag: 8 * time.Millisecond, term: 1, record: record, backends: map[string]*backend{}}
	go g.replicate()
	return g
}

func (g *group) add(id, addr, zone string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	b := &backend{g: g, id: id, addr: l.Addr().String(), zone: zone, listener: l, work: make(chan struct{}, g.slots), up: true, conns: map[net.Conn]bool{}, born: time.Now().UnixMilli()}
	g.mu.Lock()
	g.backends[id] = b
	if g.primary == "" {
		g.primary = id
	}
	g.mu.Unlock()
	go b.accept(l)
	go b.beat()
	return nil
}

const heartbeat = 1200 * time.Millisecond

// beat reports to the store, whose entry expires after three intervals of silence.
func (b *backend) beat() {
	for ; ; time.Sleep(10 * time.Millisecond) {
		b.g.mu.Lock()
		since := time.Since(b.beatAt)
		switch {
		case b.up && !b.noStore && since >= heartbeat:
			b.register()
		case !b.beatAt.IsZero() && since >= 3*heartbeat:
			b.beatAt = time.Time{}
			b.g.st.remove("servers", b.id)
			b.g.record("store: the entry of %s expires", b.id)
		}
		b.g.mu.Unlock()
	}
}

// register writes the backend's entry. The caller holds g.mu.
func (b *backend) register() {
	b.beatAt = time.Now()
	b.sequence++
	role := "replica"
	if b.g.primary == b.id {
		role = "primary"
	}
	state := "ready"
	if b.draining {
		state = "draining"
	}
	b.g.st.put("servers", b.id, map[string]any{
		"Service": b.g.service, "Address": b.addr, "Zone": b.zone, "Version": "v1", "Slots": b.g.slots, "State": state,
		"ColdRemainingMs": 0, "Sequence": b.sequence, "DatabaseRole": role, "born": b.born,
	})
}

// replicate sends the primary's log to the replicas that receive.
func (g *group) replicate() {
	for ; ; time.Sleep(time.Millisecond) {
		g.mu.Lock()
		if p := g.backends[g.primary]; p != nil && p.up {
			for _, r := range g.backends {
				if r == p || !r.up || r.deaf || r.paused != 0 || len(r.log) >= len(p.log) {
					continue
				}
				r.log = append(r.log, p.log[len(r.log):]...)
				n, born := len(r.log), r.born
				time.AfterFunc(g.lag, func() {
					g.mu.Lock()
					defer g.mu.Unlock()
					if r.born == born {
						r.applied = min(max(r.applied, n), len(r.log))
					}
				})
			}
		}
		g.mu.Unlock()
	}
}

// received reports whether a replica has the first n entries of the primary's log. The
// caller holds g.mu.
func (g *group) received(n int) bool {
	for _, r := range g.backends {
		if r.id != g.primary && r.up && len(r.log) >= n {
			return true
		}
	}
	return false
}

// crash ends the process: its port refuses and its connections break.
func (b *backend) crash() {
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	b.up = false
	b.refuseHosts()
	b.g.record("%s crashes with %d commits in its log", b.id, len(b.log))
}

// refuseHosts cuts the process off from all hosts: its port refuses and its connections break.
// It goes on to receive. The caller holds g.mu.
func (b *backend) refuseHosts() {
	if b.listener != nil {
		b.listener.Close()
	}
	for c := range b.conns {
		c.Close()
	}
}

// startAgain starts the process under its id. Without its log it knows nothing of before.
func (b *backend) startAgain(keepsLog bool) {
	l, err := net.Listen("tcp", b.addr)
	if err != nil {
		b.g.record("%s can't listen: %v", b.id, err)
		return
	}
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	b.up, b.listener, b.paused, b.sequence, b.born = true, l, 0, 0, time.Now().UnixMilli()
	if !keepsLog {
		b.log, b.applied = nil, 0
	}
	if p := b.g.backends[b.g.primary]; p != b { // what another primary doesn't have is rolled back
		n := 0
		for n < len(b.log) && n < len(p.log) && b.log[n].id == p.log[n].id {
			n++
		}
		b.log, b.applied = b.log[:n:n], min(b.applied, n)
	}
	go b.accept(b.listener)
	b.g.record("%s starts again with %d commits in its log", b.id, len(b.log))
}

// set changes backends.
func (g *group) set(change func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change()
}

// lead makes a backend the primary of the next term. The caller holds g.mu.
func (g *group) lead(b *backend) {
	g.primary = b.id
	g.term++
	for _, r := range g.backends {
		r.paused = 0
		if len(r.log) > len(b.log) && r.up { // rolled back
			r.log, r.applied = r.log[:len(b.log):len(b.log)], min(r.applied, len(b.log))
		}
	}
}

func (b *backend) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

func (b *backend) position() position {
	if len(b.log) == 0 {
		return position{1, 0}
	}
	return b.log[len(b.log)-1].position
}

// read returns the newest value of an item in the applied log.
func (b *backend) read(item string) string {
	n := b.applied
	if b.g.primary == b.id {
		n = len(b.log)
	}
	for i := n - 1; i >= 0; i-- {
		if v, ok := b.log[i].writes[item]; ok {
			return v
		}
	}
	return ""
}

// keptValues is the number of commits whose values are kept, so that large ones don't fill
// the memory of this process.
const keptValues = 64

// commit appends to the primary's log and waits until a replica has received it. It returns
// false if the backend loses the lead or ends before. The caller holds g.mu.
func (b *backend) commit(id string, writes map[string]string) bool {
	term := b.g.term
	if n := len(b.log); n >= keptValues { // older values aren't read any more
		clear(b.log[n-keptValues].writes)
	}
	b.log = append(b.log, entry{id: strings.Clone(id), position: position{term, b.position().number + 1}, writes: writes})
	for n := len(b.log); !b.g.received(n); {
		b.g.mu.Unlock()
		time.Sleep(time.Millisecond)
		b.g.mu.Lock()
		if !b.up || b.g.term != term {
			return false
		}
	}
	return true
}

// txn is the state of one connection to a backend.
type txn struct {
	state    string
	open     bool
	readOnly bool
	term     uint64
	writes   map[string]string
	prepared map[string]string // "READ"|"WRITE" by name
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 64<<10)
	line, err := readLine(r)
	f := strings.Split(line, " ")
	if err != nil || f[0] != "START" {
		return
	}
	if len(f) < 2 || f[1] != b.g.service || len(f) > 3 && f[3] != b.id {
		fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", b.id)
		return
	}
	b.g.mu.Lock()
	if len(b.conns) >= b.g.maxConns {
		b.g.mu.Unlock()
		fmt.Fprintf(c, "ERROR TOOMANY %s\r\n", b.id)
		return
	}
	b.conns[c] = true
	b.g.mu.Unlock()
	defer func() {
		b.g.mu.Lock()
		delete(b.conns, c)
		b.g.mu.Unlock()
	}()
	t := &txn{state: "I", prepared: map[string]string{}}
	fmt.Fprintf(c, "READY I -\r\n")
	for {
		line, err := readLine(r)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		if word != "QUERY" {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		answer := b.run(t, id, text)
		if answer == "" {
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

func (b *backend) run(t *txn, id, text string) string {
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "READ", "WRITE", "EXECUTE", "COMMIT", "AFTER", "STATUS":
		b.work <- struct{}{}
		defer func() { <-b.work }()
		time.Sleep(3 * time.Millisecond)
	}
	b.g.mu.Lock()
	defer b.g.mu.Unlock()
	ready := func() string {
		p := "-"
		if n := len(b.log); n > 0 && (b.g.primary == b.id || b.applied > 0) {
			if b.g.primary != b.id {
				n = b.applied
			}
			p = b.log[n-1].position.String()
		}
		return "READY " + t.state + " " + p + "\r\n"
	}
	fail := func(code string) string {
		if t.open {
			t.state = "E"
		}
		return "ERROR " + code + " " + b.id + "\r\n" + ready()
	}
	ok := func(rows ...string) string {
		var s strings.Builder
		for _, row := range rows {
			s.WriteString("ROW " + row + "\r\n")
		}
		sig := "-"
		if id != "-" {
			sig = "7." + b.id + "." + id
		}
		return s.String() + "COMPLETE " + sig + "\r\n" + ready()
	}
	leads := b.g.primary == b.id
	if t.open && t.state == "E" && verb != "ROLLBACK" && verb != "COMMIT" {
		return fail("MALFORMED")
	}
	if t.open && !t.readOnly && (!leads || t.term != b.g.term) && verb != "ROLLBACK" && !(verb == "COMMIT" && len(t.writes) == 0) {
		return fail("READONLY")
	}
	if verb == "AFTER" {
		at, statement, _ := strings.Cut(rest, " ")
		term, number, _ := strings.Cut(at, ".")
		p := position{}
		p.term, _ = strconv.ParseUint(term, 10, 64)
		p.number, _ = strconv.ParseUint(number, 10, 64)
		have := b.position()
		if !leads {
			have = position{}
			if b.applied > 0 {
				have = b.log[b.applied-1].position
			}
		}
		if !have.atLeast(p) && p.number > 0 {
			return fail("LAGGING")
		}
		verb, rest, _ = strings.Cut(statement, " ")
	}
	switch verb {
	case "BEGIN":
		if rest != "READ" && !leads {
			return fail("READONLY")
		}
		t.open, t.state, t.readOnly, t.term, t.writes = true, "T", rest == "READ", b.g.term, map[string]string{}
		return ok()
	case "ROLLBACK":
		t.open, t.state = false, "I"
		return ok()
	case "COMMIT":
		failed, writes := t.state == "E", t.writes
		t.open, t.state = false, "I"
		if failed {
			return fail("ABORTED")
		}
		if len(writes) > 0 {
			if !b.commit(id, writes) {
				return ""
			}
			b.g.record("%s commits %s", b.id, id)
		}
		return ok()
	case "READ":
		return ok(b.read(rest))
	case "WRITE":
		item, data, _ := strings.Cut(rest, " ")
		if !leads {
			return fail("READONLY")
		}
		if t.open {
			t.writes[item] = data
			return ok()
		}
		if !b.commit(id, map[string]string{item: data}) {
			return ""
		}
		b.g.record("%s runs write %s (%d bytes)", b.id, id, len(text))
		return ok()
	case "SET", "RESET", "PREPARE", "DEALLOCATE":
		return ok()
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		switch verb {
		case "PAUSE":
			b.paused, _ = strconv.ParseUint(rest, 10, 64)
		case "RESUME":
			b.paused = 0
		}
		role := "replica"
		if leads {
			role = "primary"
		}
		return ok(fmt.Sprintf("%s %d %s %d 0 %d %d", role, b.g.term, b.position(), b.paused, len(b.work), len(b.conns)))
	}
	return fail("MALFORMED")
}

func readLine(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		piece, err := r.ReadString('\n')
		b.WriteString(piece)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(piece, "\r\n") {
			return strings.TrimSuffix(b.String(), "\r\n"), nil
		}
	}
}
