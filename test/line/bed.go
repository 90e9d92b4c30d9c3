package line

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	control "nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
	store "nettlewalk.example/nettlewalk/test/standin/platform"
	"nettlewalk.example/nettlewalk/test/standin/target"
	"nettlewalk.example/nettlewalk/test/testbed"
)

const (
	hostCount = 3
	upTimeout = 20 * time.Second
)

// Member is one target: a server with its line protocol, behind a link.
type Member struct {
	ID     topology.TargetID
	Server *target.Server
	Line   *target.Line
	Link   *testbed.Link // that hosts use
	dead   bool
}

// Bed is a store, a group of three targets and hosts of the product.
type Bed struct {
	Store *store.Server
	// StoreLink is the hosts' way to the store: one for all, since their key
	// rests on its address.
	StoreLink *testbed.Link
	Hosts     []*Host
	Members   []*Member

	tb           testing.TB
	ipPrefix     string        // of the hosts
	promoteTakes time.Duration // from the call to its effect
	cloud        *httptest.Server
	mu           sync.Mutex
	token        uint64   // highest seen
	orders       []string // accepted promotions
	closed       bool     // the test has ended
}

// Host is one process of the product.
type Host struct {
	Name     string
	Cmd      *exec.Cmd
	Done     chan error // gets one value when the process has ended
	settings string
	log      string
	callers  string
	ready    string
}

// NewBed starts everything and waits until a group has its leader. All ends
// with tb.
func NewBed(tb testing.TB) *Bed {
	tb.Helper()
	b := &Bed{tb: tb, ipPrefix: testbed.IPPrefix(), promoteTakes: 100 * time.Millisecond}
	var err error
	b.Store, err = store.Start(store.Config{})
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(b.Store.Close)
	b.StoreLink = b.link("store", b.Store.Addr)
	b.cloud = httptest.NewServer(http.HandlerFunc(b.promotion))
	tb.Cleanup(b.cloud.Close)
	b.startTargets()
	tb.Cleanup(func() { // before the targets end, in the reverse order
		b.mu.Lock()
		defer b.mu.Unlock()
		b.closed = true
	})
	b.Configure(1, "db")
	b.startHosts()
	return b
}

// link opens a link to a listener until the bed ends.
func (b *Bed) link(name, listener string) *testbed.Link {
	l, err := testbed.NewLink(name, listener)
	qt.Assert(b.tb, err, qt.IsNil)
	b.tb.Cleanup(l.Close)
	return l
}

func (b *Bed) startTargets() {
	for i := range 3 {
		id := topology.TargetID(fmt.Sprintf("t%d", i+1))
		server, err := target.Start(target.Config{ID: id, Dir: b.tb.TempDir(), Primary: "t1", SeedSQL: target.ItemsSQL})
		qt.Assert(b.tb, err, qt.IsNil)
		m := &Member{ID: id, Server: server}
		b.tb.Cleanup(func() { _ = server.Close() })
		m.Line, err = server.ServeLine(target.LineConfig{Group: "svc", Received: func(p topology.Position) bool { return b.received(m, p) }})
		qt.Assert(b.tb, err, qt.IsNil)
		b.tb.Cleanup(m.Line.Close)
		m.Link = b.link(string(id), m.Line.Addr())
		b.Members = append(b.Members, m)
	}
	for _, m := range b.Members {
		for _, other := range b.Members {
			m.Server.SetPeer(other.ID, other.Server.PeerAddr())
		}
		b.Register(m, "ready")
	}
}

// received tells whether one replica has the position.
func (b *Bed) received(of *Member, p topology.Position) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.Members {
		if m != of && !m.dead && m.Server.Has(p) {
			return true
		}
	}
	return false
}

// Register writes the target's entry in the register.
func (b *Bed) Register(m *Member, state string) {
	_, err := b.Store.Put("servers", string(m.ID), map[string]any{
		"Service": "svc", "Address": m.Link.Addr(), "Zone": "north", "Slots": 2, "State": state, "DatabaseRole": "replica",
	})
	qt.Assert(b.tb, err, qt.IsNil)
}

// Configure writes a configuration with one route per database.
func (b *Bed) Configure(version int, databases ...string) {
	var routes []map[string]any
	for i, database := range databases {
		kind := []string{"read_your_writes", "primary"}[i%2]
		routes = append(routes, map[string]any{"DatabaseName": database, "Kind": kind, "Service": "svc",
			"TimeoutMs": 3000, "TargetLatencyMs": 500, "MaxStalenessMs": 2000, "Priority": 1})
	}
	_, err := b.Store.Put("config", "main", map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": "svc", "MaxConnections": 16, "SyncReplicas": 1}},
		"Limits":   map[string]any{"TransactionIdleMs": 3000},
	})
	qt.Assert(b.tb, err, qt.IsNil)
}

// promotion serves the promotion call: it checks the fence and acts later.
func (b *Bed) promotion(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	b.mu.Lock()
	defer b.mu.Unlock()
	if token < b.token {
		w.WriteHeader(http.StatusConflict)
		return
	}
	b.token = token
	b.orders = append(b.orders, body.Id)
	time.AfterFunc(b.promoteTakes, func() { b.promote(topology.TargetID(body.Id)) })
}

func (b *Bed) promote(id topology.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	var next *target.Server
	var others []*target.Server
	for _, m := range b.Members {
		switch {
		case m.ID == id:
			next = m.Server
		case !m.dead:
			others = append(others, m.Server)
		}
	}
	if err := target.Promote(context.Background(), next, others); err != nil {
		b.tb.Logf("promote %s: %v", id, err)
	}
	// Not before: a replica must not receive from the old primary again.
	for _, m := range b.Members {
		m.Line.Unpause()
	}
}

// Replaced tells whether another target than the first one leads.
func (b *Bed) Replaced() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Members[0].Server.Status().Role != control.Primary
}

// Promotions returns the targets of the accepted orders.
func (b *Bed) Promotions() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.orders...)
}

// Crash ends a target like a crash: its listener and connections are gone.
func (b *Bed) Crash(i int) {
	b.mu.Lock()
	b.Members[i].dead = true
	m := b.Members[i]
	b.mu.Unlock()
	m.Link.Close()
	m.Line.Close()
	_ = m.Server.Close()
}

// Mute makes a target end every connection without a word.
func (b *Bed) Mute(i int) { b.Members[i].Line.Close() }

// Ports of a host. Its IP number is its own, so that they are free.
const (
	callerPort  = 5432
	peerPort    = 7001
	readyPort   = 7002
	inspectPort = 7440
)

func (b *Bed) addr(host, port int) string { return fmt.Sprintf("%s.%d:%d", b.ipPrefix, host+1, port) }

const settingsText = `
NodeName = "h%d"
Zone = "zone%d"
IpAddress = "%s.%d"
InternalPorts = [%d,%d]
SeedNodes = [%s]
[ListenAddresses]
FrontendAddress = "%s"
Ready = "%s"
Control = "%s"
[Bounds]
GracePeriodS = 6
DrainTimeoutMs = 7000
[platform]
Address = "%s"
[Cloud]
Address = "%s"
`

func (b *Bed) startHosts() {
	var seeds []string
	for i := range hostCount {
		seeds = append(seeds, strconv.Quote(b.addr(i, peerPort)))
	}
	for i := range hostCount {
		h := &Host{Name: fmt.Sprintf("h%d", i+1), callers: b.addr(i, callerPort), ready: b.addr(i, readyPort)}
		dir := b.tb.TempDir()
		h.settings, h.log = filepath.Join(dir, "boot.toml"), filepath.Join(dir, "log")
		text := fmt.Sprintf(settingsText, i+1, i+1, b.ipPrefix, i+1, inspectPort, inspectPort, strings.Join(seeds, ","),
			h.callers, h.ready, b.addr(i, peerPort), b.StoreLink.Addr(), strings.TrimPrefix(b.cloud.URL, "http://"))
		qt.Assert(b.tb, os.WriteFile(h.settings, []byte(text), 0o600), qt.IsNil)
		b.Hosts = append(b.Hosts, h)
		b.Start(h)
	}
	for _, h := range b.Hosts {
		b.Eventually("host is ready", func() bool { return h.IsReady() })
	}
	b.Eventually("the group has a leader", func() bool { return b.Dial(0, "db").Try("x READ nothing") == "COMPLETE" })
}

// Start starts the host's process, also again after its end.
func (b *Bed) Start(h *Host) {
	programs, err := testbed.Build()
	qt.Assert(b.tb, err, qt.IsNil)
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(b.tb, err, qt.IsNil)
	defer out.Close()
	h.Cmd = exec.Command(programs.Host, "serve")
	h.Cmd.Env = append(os.Environ(), "NETTLEWALK_CONFIG="+h.settings)
	h.Cmd.Stdout, h.Cmd.Stderr = out, out
	qt.Assert(b.tb, h.Cmd.Start(), qt.IsNil)
	h.Done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) { done <- cmd.Wait() }(h.Cmd, h.Done)
	b.tb.Cleanup(func() {
		_ = h.Cmd.Process.Signal(syscall.SIGKILL)
		checkLines(b.tb, h.log)
		if b.tb.Failed() {
			b.tb.Logf("%s:\n%s", h.callers, decisions(h.log))
		}
	})
}

// DutyIsHeld tells whether a host holds the group's duty. Until one does,
// nobody can take it without the store.
func (b *Bed) DutyIsHeld() bool {
	for _, h := range b.Hosts {
		if strings.Contains(decisions(h.log), `"mine":true`) {
			return true
		}
	}
	return false
}

// decisions returns the log without the lines of single statements.
func decisions(path string) string {
	text, _ := os.ReadFile(path)
	var kept []string
	for line := range strings.SplitSeq(string(text), "\n") {
		if !strings.Contains(line, `"logger":"relay"`) {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// IsReady tells what the host's readiness says.
func (h *Host) IsReady() bool {
	resp, err := http.Get("http://" + h.ready + "/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// metric returns the sum of a metric over all hosts.
func (b *Bed) metric(name string) float64 {
	sum := 0.0
	for i := range b.Hosts {
		resp, err := http.Get("http://" + b.addr(i, inspectPort) + "/metrics")
		qt.Assert(b.tb, err, qt.IsNil)
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		qt.Assert(b.tb, err, qt.IsNil)
		for line := range strings.SplitSeq(string(text), "\n") {
			if value, ok := strings.CutPrefix(line, name+" "); ok {
				v, err := strconv.ParseFloat(value, 64)
				qt.Assert(b.tb, err, qt.IsNil)
				sum += v
			}
		}
	}
	return sum
}

// Eventually waits until ok tells true.
func (b *Bed) Eventually(what string, ok func() bool) {
	b.tb.Helper()
	for end := time.Now().Add(upTimeout); !ok(); {
		qt.Assert(b.tb, time.Now().Before(end), qt.IsTrue, qt.Commentf("%s", what))
		<-time.After(20 * time.Millisecond)
	}
}
