package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cluster is a service of three backends and the promotion call (PROTOCOL.md, "Backends",
// "Service discovery" and "Singleton duties"). Its replication is a copy under one lock after
// replicationDelay.
type cluster struct {
	service string
	store   *store
	rec     *record
	timing  timing

	mu       sync.Mutex
	backends []*backend
	fence    uint64
	term     uint64
	calls    net.Listener
}

type timing struct {
	replication, promote, handshake time.Duration
	read, write                     time.Duration // work
	heartbeat                       time.Duration
}

type entry struct {
	term, number uint64
	items        map[string]string
}

type backend struct {
	c          *cluster
	id, zone   string
	addr       string
	listener   net.Listener
	slots      chan struct{}
	registered bool

	// Guarded by the cluster's lock.
	primary    bool
	crashed    bool
	cutOff     bool // from the store
	term       uint64
	pausedTerm uint64
	log        []entry
	conns      map[net.Conn]bool
	lastBeat   time.Time
	sequence   int
	runs       map[string]int // by id of the statement
	commits    map[string]int // effects by id of the statement
	// failShare is the share of its requests that the backend fails.
	failShare float64
	// onRun is called with the session values under which a statement runs; it may be nil.
	onRun func(id string, values map[string]string)
}

func newCluster(service string, ids, zones []string, s *store, rec *record, t timing) (*cluster, error) {
	c := &cluster{service: service, store: s, rec: rec, timing: t, term: 1}
	for i, id := range ids {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		b := &backend{c: c, id: id, zone: zones[i], addr: l.Addr().String(), listener: l, slots: make(chan struct{}, 2), primary: i == 0, term: 1,
			conns: map[net.Conn]bool{}, runs: map[string]int{}, commits: map[string]int{}}
		c.backends = append(c.backends, b)
		go b.accept()
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.calls = l
	go func() { _ = http.Serve(l, http.HandlerFunc(c.promotion)) }()
	for _, b := range c.backends {
		go b.beatEvery()
	}
	go c.expire()
	return c, nil
}

func (c *cluster) backend(id string) *backend {
	for _, b := range c.backends {
		if b.id == id {
			return b
		}
	}
	return nil
}

// beat registers the backend in the store.
func (b *backend) beat() {
	if b.c.store.isDown() {
		return
	}
	b.c.mu.Lock()
	if b.crashed || b.cutOff {
		b.c.mu.Unlock()
		return
	}
	b.sequence++
	role := "replica"
	if b.primary {
		role = "primary"
	}
	spec := map[string]any{"Service": b.c.service, "Address": b.addr, "Zone": b.zone, "Version": "v1", "Slots": 2, "State": "ready",
		"ColdRemainingMs": 0, "DatabaseRole": role, "Sequence": b.sequence}
	if !b.registered {
		b.c.rec.note("store: %s is registered", b.id)
	}
	b.registered, b.lastBeat = true, time.Now()
	b.c.mu.Unlock()
	b.c.store.put("servers", b.id, spec)
}

// beatEvery registers the backend at once and then at each heartbeat interval.
func (b *backend) beatEvery() {
	for at := time.Now(); ; at = at.Add(b.c.timing.heartbeat) {
		time.Sleep(time.Until(at))
		b.beat()
	}
}

// expire removes entries after three heartbeat intervals of silence.
func (c *cluster) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		var gone []string
		c.mu.Lock()
		if c.store.isDown() { // silence counts from its return
			for _, b := range c.backends {
				b.lastBeat = time.Now()
			}
		}
		for _, b := range c.backends {
			if b.registered && time.Since(b.lastBeat) > 3*c.timing.heartbeat {
				b.registered = false
				gone = append(gone, b.id)
			}
		}
		c.mu.Unlock()
		for _, id := range gone {
			c.rec.note("store: the entry of %s is removed after three intervals of silence", id)
			c.store.remove("servers", id)
		}
	}
}

func (c *cluster) promotion(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string }
	_ = json.NewDecoder(r.Body).Decode(&body) // an unreadable body names no backend
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.backend(body.Id)
	if token < c.fence || b == nil || b.crashed {
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.fence = token
	c.rec.note("promotion: %s by %s with token %d", body.Id, r.Header.Get("X-Duty-Holder"), token)
	if b.primary {
		return
	}
	time.AfterFunc(c.timing.promote, func() { c.promote(b) })
}

func (c *cluster) promote(b *backend) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.crashed || b.primary {
		return
	}
	c.term++
	for _, other := range c.backends {
		other.primary, other.pausedTerm = false, 0
		if !other.crashed {
			other.log = append([]entry(nil), b.log...)
			other.term = c.term
		}
	}
	b.primary = true
	c.rec.note("backend %s leads term %d", b.id, c.term)
	go b.beat()
}

// crash ends the backend's process.
func (b *backend) crash() {
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	b.crashed = true
	b.listener.Close()
	for conn := range b.conns {
		conn.Close()
	}
}

func (b *backend) cut(on bool) {
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	b.cutOff = on
}

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		b.c.mu.Lock()
		b.conns[conn] = true
		b.c.mu.Unlock()
		go func() {
			b.serve(conn)
			conn.Close()
			b.c.mu.Lock()
			delete(b.conns, conn)
			b.c.mu.Unlock()
		}()
	}
}

// session is a connection to a backend.
type session struct {
	b        *backend
	state    string
	plain    bool // the transaction may write
	began    uint64
	writes   map[string]string
	ids      []string
	prepared map[string]string
	values   map[string]string // session values
}

func (b *backend) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	line, err := readMessage(reader)
	f := strings.Fields(line)
	if err != nil || len(f) < 3 || f[0] != "START" || f[1] != b.c.service || len(f) > 3 && f[3] != b.id {
		fmt.Fprintf(conn, "ERROR MISROUTED %s\r\n", b.id)
		return
	}
	b.work(b.c.timing.handshake)
	s := &session{b: b, state: "I", prepared: map[string]string{}, values: map[string]string{}}
	fmt.Fprintf(conn, "READY I %s\r\n", b.position())
	for {
		line, err := readMessage(reader)
		if err != nil {
			return
		}
		id, text, _ := strings.Cut(strings.TrimPrefix(line, "QUERY "), " ")
		out := s.query(id, text)
		b.c.mu.Lock()
		crashed := b.crashed
		b.c.mu.Unlock()
		if out == "" || crashed {
			return
		}
		if _, err := fmt.Fprintf(conn, "%sREADY %s %s\r\n", out, s.state, b.position()); err != nil {
			return
		}
	}
}

// readMessage reads a message, which ends with CR LF.
func readMessage(r *bufio.Reader) (string, error) {
	message := ""
	for {
		part, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		message += part
		if whole, ok := strings.CutSuffix(message, "\r\n"); ok {
			return whole, nil
		}
	}
}

// work occupies one of the backend's slots.
func (b *backend) work(d time.Duration) {
	b.slots <- struct{}{}
	time.Sleep(d)
	<-b.slots
}

func (b *backend) position() string {
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	return b.end()
}

// end returns the end of the log. The caller holds the cluster's lock.
func (b *backend) end() string {
	if len(b.log) == 0 {
		return "1.0"
	}
	last := b.log[len(b.log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// has reports whether the log has a position.
func (b *backend) has(position string) bool {
	t, n, _ := strings.Cut(position, ".")
	term, _ := strconv.ParseUint(t, 10, 64)
	number, _ := strconv.ParseUint(n, 10, 64)
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	return number == 0 || uint64(len(b.log)) >= number && b.log[number-1].term == term
}

const complete = "COMPLETE -\r\n"

func (s *session) fail(code string) string {
	if s.state == "T" {
		s.state = "E"
	}
	return "ERROR " + code + " " + s.b.id + "\r\n"
}

func (s *session) query(id, text string) string {
	b := s.b
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		if !b.has(position) {
			return s.fail("LAGGING")
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if s.state == "E" && word != "COMMIT" && word != "ROLLBACK" {
		return s.fail("MALFORMED")
	}
	b.c.mu.Lock()
	lead, term, failShare := b.primary, b.term, b.failShare
	b.c.mu.Unlock()
	if word != "COMMIT" && word != "ROLLBACK" && rand.Float64() < failShare { // without effect
		b.c.rec.note("backend %s fails %s %s", b.id, id, text)
		return s.fail("FAILED")
	}
	if s.state == "T" && s.plain && word != "ROLLBACK" && (!lead || term != s.began) && !(word == "COMMIT" && len(s.writes) == 0) {
		return s.fail("READONLY")
	}
	switch word {
	case "BEGIN":
		if rest != "READ" && !lead {
			return s.fail("READONLY")
		}
		s.state, s.plain, s.began, s.writes, s.ids = "T", rest != "READ", term, map[string]string{}, nil
		return complete
	case "ROLLBACK":
		s.state, s.writes, s.ids = "I", nil, nil
		return complete
	case "RESET":
		clear(s.prepared)
		clear(s.values)
		return complete
	case "SET":
		name, value, _ := strings.Cut(rest, " ")
		s.values[name] = value
		return complete
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return complete
	case "DEALLOCATE":
		delete(s.prepared, rest)
		return complete
	case "STATUS", "PAUSE", "RESUME", "DEMOTE":
		return s.control(word, rest)
	case "EXECUTE":
		name, arguments, _ := strings.Cut(rest, " ")
		shape, ok := s.prepared[name]
		if !ok {
			return s.fail("UNKNOWN")
		}
		word, _, _ = strings.Cut(shape, " ")
		rest = arguments
	}
	return s.data(id, word, rest, lead)
}

func (s *session) control(word, argument string) string {
	b := s.b
	b.work(0)
	term, _ := strconv.ParseUint(argument, 10, 64)
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	switch word {
	case "PAUSE":
		if !b.primary && term > b.term {
			b.pausedTerm = term
		}
	case "RESUME":
		b.pausedTerm = 0
	case "DEMOTE":
		if term > b.term {
			b.primary = false
		}
	}
	role := "replica"
	if b.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\n%s", role, b.term, b.end(), b.pausedTerm, len(b.conns), complete)
}

// data runs a read, a write or a commit.
func (s *session) data(id, word, rest string, lead bool) string {
	b := s.b
	name, value, _ := strings.Cut(rest, " ")
	signature := "COMPLETE " + b.id + "." + id + "\r\n"
	switch word {
	case "READ":
		b.begin(id)
		s.noteRun(id)
		b.work(b.c.timing.read)
		return "ROW " + b.item(name, s.writes) + "\r\n" + signature
	case "WRITE":
		if !lead || s.state == "T" && !s.plain {
			return s.fail("READONLY")
		}
		b.begin(id)
		s.noteRun(id)
		b.work(b.c.timing.write)
		if s.state == "T" {
			s.writes[name] = value
			s.ids = append(s.ids, id)
			return signature
		}
		if code := b.commit(map[string]string{name: value}, []string{id}); code != "" {
			return s.broken(code)
		}
		return signature
	case "COMMIT":
		failed := s.state == "E"
		writes, ids := s.writes, s.ids
		s.state, s.writes, s.ids = "I", nil, nil
		if failed {
			return s.fail("ABORTED")
		}
		b.begin(id)
		b.work(b.c.timing.write)
		if len(writes) > 0 {
			if code := b.commit(writes, ids); code != "" {
				return s.broken(code)
			}
		}
		return signature
	}
	return s.fail("MALFORMED")
}

// noteRun tells under which session values a statement runs.
func (s *session) noteRun(id string) {
	if s.b.onRun != nil {
		s.b.onRun(id, s.values)
	}
}

// broken returns the answer to a commit that failed: none if its outcome isn't known.
func (s *session) broken(code string) string {
	if code == "INDOUBT" {
		return ""
	}
	return s.fail(code)
}

func (b *backend) begin(id string) {
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	b.runs[id]++
	b.c.rec.note("backend %s runs %s", b.id, id)
}

func (b *backend) item(name string, own map[string]string) string {
	if v, ok := own[name]; ok {
		return v
	}
	b.c.mu.Lock()
	defer b.c.mu.Unlock()
	for i := len(b.log) - 1; i >= 0; i-- {
		if v, ok := b.log[i].items[name]; ok {
			return v
		}
	}
	return "-"
}

// commit appends an entry and waits until a replica has it.
func (b *backend) commit(items map[string]string, ids []string) (code string) {
	c := b.c
	c.mu.Lock()
	if !b.primary || b.crashed {
		c.mu.Unlock()
		return "READONLY"
	}
	e := entry{term: b.term, number: uint64(len(b.log)) + 1, items: items}
	b.log = append(b.log, e)
	for _, id := range ids {
		b.commits[id]++
	}
	c.mu.Unlock()
	for {
		time.Sleep(c.timing.replication)
		c.mu.Lock()
		received := false
		for _, r := range c.backends {
			if r == b || r.crashed || r.pausedTerm > 0 {
				continue
			}
			if len(r.log) < len(b.log) {
				r.log = append([]entry(nil), b.log...)
			}
			received = received || uint64(len(r.log)) >= e.number
		}
		lost := !b.primary || b.crashed
		c.mu.Unlock()
		switch {
		case lost:
			return "INDOUBT"
		case received:
			return ""
		}
	}
}
