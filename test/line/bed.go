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
	hostCount         = 3
	eventuallyTimeout = 20 * time.Second
)

// Member is one target of the group: a server that speaks the line protocol and
// is reached through a link that can inject faults.
type Member struct {
	ID      topology.TargetID
	Server  *target.Server
	Line    *target.Line
	Link    *testbed.Link // between the hosts and the target
	crashed bool
}

// Bed is a test bed: a configuration store, a group of three targets, a server
// for promotion calls and host processes of the product.
type Bed struct {
	Store *store.Server
	// StoreLink connects all hosts to the store. The hosts share one link because
	// the peer key must be equal on all hosts and is derived from the addresses of
	// the store and the promotion API.
	StoreLink *testbed.Link
	Hosts     []*Host
	Members   []*Member

	tb              testing.TB
	opts            Options
	lateOrders      int           // number of promotion calls to leave without an answer
	lateBy          time.Duration // after which those calls are carried out
	ipPrefix        string        // first three octets of the hosts' addresses
	promotionDelay  time.Duration // delay between the promotion call and its effect
	promotionServer *httptest.Server
	mu              sync.Mutex
	customers       map[string]bool // names of all customers so far
	keys            map[string]bool // all keys so far
	highestToken    uint64          // highest fencing token seen
	promotions      []string        // targets of the accepted promotion calls, in order
	tokens          []uint64        // fencing tokens of all promotion calls, in order
	closed          bool            // the test has ended: later promotions are ignored
}

// Options configures a Bed.
type Options struct {
	// Unfenced makes a replaced primary lead on until it is demoted, and the platform
	// accept any fencing token.
	Unfenced bool
	// IgnoreDemote makes targets ignore DEMOTE.
	IgnoreDemote bool
	// MaxConnections is the limit for each target over all hosts; 0 means 16.
	MaxConnections int
	// ConfigApplyMS, StrictRevocation and RevokeTimeoutMS are settings of the hosts; 0
	// means their default.
	ConfigApplyMS    int
	StrictRevocation bool
	RevokeTimeoutMS  int
}

// Host is one host process of the product.
type Host struct {
	Name         string
	Cmd          *exec.Cmd
	Done         chan error // receives one value when the process exits
	settingsPath string
	logPath      string
	callerAddr   string
	readyAddr    string
}

// NewBed starts all components and waits until the group has a leader. It stops
// them when tb ends.
func NewBed(tb testing.TB) *Bed { return NewBedWith(tb, Options{}) }

// NewBedWith is like NewBed with options.
func NewBedWith(tb testing.TB, opts Options) *Bed {
	tb.Helper()
	if opts.MaxConnections == 0 {
		opts.MaxConnections = 16
	}
	b := &Bed{tb: tb, opts: opts, customers: map[string]bool{}, keys: map[string]bool{}, ipPrefix: testbed.IPPrefix(), promotionDelay: 100 * time.Millisecond}
	var err error
	b.Store, err = store.Start(store.Config{})
	qt.Assert(tb, err, qt.IsNil)
	tb.Cleanup(b.Store.Close)
	b.StoreLink = b.link("store", b.Store.Addr)
	b.promotionServer = httptest.NewServer(http.HandlerFunc(b.servePromotion))
	tb.Cleanup(b.promotionServer.Close)
	b.startTargets()
	tb.Cleanup(func() { // runs before the targets close: cleanups run in reverse order
		b.mu.Lock()
		defer b.mu.Unlock()
		b.closed = true
	})
	b.Configure(1, "db")
	b.startHosts()
	return b
}

// link opens a link to a listener and closes it when the test ends.
func (b *Bed) link(name, listenerAddr string) *testbed.Link {
	l, err := testbed.NewLink(name, listenerAddr)
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
		config := target.LineConfig{
			Group: "svc", Received: func(p topology.Position) bool { return b.receivedByReplica(m, p) },
			KnowsCustomer: b.knowsCustomer, IsKey: b.isKey,
		}
		if !b.opts.IgnoreDemote {
			config.Demoted = func() { b.demote(m) }
		}
		m.Line, err = server.ServeLine(config)
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

// receivedByReplica reports whether at least one running replica other than the
// sender has received the position.
func (b *Bed) receivedByReplica(sender *Member, p topology.Position) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, m := range b.Members {
		if m != sender && !m.crashed && m.Server.ConfirmsPosition(p) {
			return true
		}
	}
	return false
}

// Register writes the target's entry, with the given state, to the store.
func (b *Bed) Register(m *Member, state string) {
	_, err := b.Store.Put("servers", string(m.ID), map[string]any{
		"Service": "svc", "Address": m.Link.Addr(), "Zone": "north", "Slots": 2, "State": state, "DatabaseRole": "replica",
	})
	qt.Assert(b.tb, err, qt.IsNil)
}

// Configure writes a configuration with one route per database. Databases with
// an even index get read-your-writes routes, the others primary routes.
func (b *Bed) Configure(version int, databases ...string) {
	b.configure(version, nil, databases...)
}

// configure is like Configure with customers, unless nil. A database named open is public.
func (b *Bed) configure(version int, customers []map[string]any, databases ...string) {
	var routes []map[string]any
	for i, database := range databases {
		kind := []string{"read_your_writes", "primary"}[i%2]
		routes = append(routes, map[string]any{"DatabaseName": database, "Kind": kind, "Service": "svc",
			"TimeoutMs": 3000, "TargetLatencyMs": 500, "MaxStalenessMs": 2000, "Priority": 1, "Public": database == "open"})
	}
	body := map[string]any{
		"Version": version, "Routes": routes,
		"Services": []map[string]any{{"Name": "svc", "MaxConnections": b.opts.MaxConnections, "SyncReplicas": 1}},
		"Limits":   map[string]any{"TransactionIdleMs": 3000},
	}
	if customers != nil {
		body["Tenants"] = customers
	}
	_, err := b.Store.Put("config", "main", body)
	qt.Assert(b.tb, err, qt.IsNil)
}

// servePromotion handles a promotion call: it rejects a fencing token lower than
// the highest one seen, and otherwise promotes the target after promotionDelay.
func (b *Bed) servePromotion(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	b.mu.Lock()
	defer b.mu.Unlock()
	if token < b.highestToken && !b.opts.Unfenced {
		w.WriteHeader(http.StatusConflict)
		return
	}
	b.tokens = append(b.tokens, token)
	b.highestToken = max(b.highestToken, token)
	if b.lateOrders > 0 {
		b.lateOrders--
		time.AfterFunc(b.lateBy, func() { b.promote(topology.TargetID(body.Id)) })
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close() // the caller gets no answer
		}
		return
	}
	b.promotions = append(b.promotions, body.Id)
	time.AfterFunc(b.promotionDelay, func() { b.promote(topology.TargetID(body.Id)) })
}

func (b *Bed) promote(id topology.TargetID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return
	}
	var newPrimary *target.Server
	var others []*target.Server
	for _, m := range b.Members {
		switch {
		case m.ID == id:
			newPrimary = m.Server
		case m.crashed, b.opts.Unfenced && m.Server.Status().Role == control.Primary: // leads on
		default:
			others = append(others, m.Server)
		}
	}
	if newPrimary.Status().Role == control.Primary {
		return // the present primary
	}
	if err := target.Promote(context.Background(), newPrimary, others); err != nil {
		b.tb.Logf("promote %s: %v", id, err)
	}
	// Resume only after the promotion: a replica must not receive from the old
	// primary again.
	for _, m := range b.Members {
		m.Line.Resume()
	}
}

// demote makes a replaced primary follow the present one.
func (b *Bed) demote(m *Member) {
	go func() { // the caller holds a lock of the target's session
		b.mu.Lock()
		defer b.mu.Unlock()
		for _, other := range b.Members {
			if other != m && !other.crashed && other.Server.Status().Role == control.Primary {
				if err := target.Follow(m.Server, other.Server); err != nil {
					b.tb.Logf("demote %s: %v", m.ID, err)
				}
			}
		}
	}()
}

// LoseAnswers leaves the next n promotion calls without an answer and carries them out
// after the delay.
func (b *Bed) LoseAnswers(n int, after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lateOrders, b.lateBy = n, after
}

// Tokens returns the fencing tokens of all promotion calls, in order.
func (b *Bed) Tokens() []uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]uint64(nil), b.tokens...)
}

// PrimaryReplaced reports whether the first target is no longer the primary.
func (b *Bed) PrimaryReplaced() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Members[0].Server.Status().Role != control.Primary
}

// Promotions returns the targets of the accepted promotion calls, in order.
func (b *Bed) Promotions() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.promotions...)
}

// Crash simulates a crash of target i: its listener and connections are closed.
func (b *Bed) Crash(i int) {
	b.mu.Lock()
	b.Members[i].crashed = true
	m := b.Members[i]
	b.mu.Unlock()
	m.Link.Close()
	m.Line.Close()
	_ = m.Server.Close()
}

// StopAnswering closes the line protocol of target i behind its link, which still
// accepts connections but closes them without an answer. The server keeps running.
func (b *Bed) StopAnswering(i int) { b.Members[i].Line.Close() }

// Ports of a host. Each host has its own IP address, so all hosts use the same
// ports.
const (
	callerPort   = 5432
	peerPort     = 7001
	readyPort    = 7002
	internalPort = 7440
)

func (b *Bed) addr(host, port int) string { return fmt.Sprintf("%s.%d:%d", b.ipPrefix, host+1, port) }

const settingsTemplate = `
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
FencingEnforced = %t
StrictRevocation = %t
ConfigApplyMs = %d
RevokeTimeoutMs = %d
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
		h := &Host{Name: fmt.Sprintf("h%d", i+1), callerAddr: b.addr(i, callerPort), readyAddr: b.addr(i, readyPort)}
		dir := b.tb.TempDir()
		h.settingsPath, h.logPath = filepath.Join(dir, "boot.toml"), filepath.Join(dir, "log")
		text := fmt.Sprintf(settingsTemplate, i+1, i+1, b.ipPrefix, i+1, internalPort, internalPort, strings.Join(seeds, ","),
			h.callerAddr, h.readyAddr, b.addr(i, peerPort), !b.opts.Unfenced, b.opts.StrictRevocation, b.opts.ConfigApplyMS, b.opts.RevokeTimeoutMS, b.StoreLink.Addr(), strings.TrimPrefix(b.promotionServer.URL, "http://"))
		qt.Assert(b.tb, os.WriteFile(h.settingsPath, []byte(text), 0o600), qt.IsNil)
		b.Hosts = append(b.Hosts, h)
		b.Start(h)
	}
	for _, h := range b.Hosts {
		b.Eventually("host is ready", func() bool { return h.IsReady() })
	}
	b.Eventually("group has a leader", func() bool { return b.Dial(0, "db").Exec("x READ nothing") == "COMPLETE" })
}

// Start starts the host's process. It can be called again after the process has
// exited.
func (b *Bed) Start(h *Host) {
	programs, err := testbed.Build()
	qt.Assert(b.tb, err, qt.IsNil)
	logFile, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	qt.Assert(b.tb, err, qt.IsNil)
	defer logFile.Close()
	h.Cmd = exec.Command(programs.Host, "serve")
	h.Cmd.Env = append(os.Environ(), "NETTLEWALK_CONFIG="+h.settingsPath)
	h.Cmd.Stdout, h.Cmd.Stderr = logFile, logFile
	qt.Assert(b.tb, h.Cmd.Start(), qt.IsNil)
	h.Done = make(chan error, 1)
	go func(cmd *exec.Cmd, done chan error) { done <- cmd.Wait() }(h.Cmd, h.Done)
	b.tb.Cleanup(func() {
		_ = h.Cmd.Process.Signal(syscall.SIGKILL)
		checkLogFields(b.tb, h.logPath)
		if b.tb.Failed() {
			b.tb.Logf("%s:\n%s", h.callerAddr, logWithoutStatements(h.logPath))
		}
	})
}

// DutyIsHeld reports whether a host holds the group's duty, that is, whether the
// host is responsible for the group. As long as no host does, the duty can be
// acquired only while the store is available.
func (b *Bed) DutyIsHeld() bool {
	for _, h := range b.Hosts {
		if strings.Contains(logWithoutStatements(h.logPath), `"mine":true`) {
			return true
		}
	}
	return false
}

// logWithoutStatements returns the log without the lines that the relay writes
// for each statement.
func logWithoutStatements(path string) string {
	text, _ := os.ReadFile(path)
	var kept []string
	for line := range strings.SplitSeq(string(text), "\n") {
		if !strings.Contains(line, `"logger":"relay"`) {
			kept = append(kept, line)
		}
	}
	return strings.Join(kept, "\n")
}

// IsReady reports whether the host's readiness endpoint returns 200.
func (h *Host) IsReady() bool {
	resp, err := http.Get("http://" + h.readyAddr + "/api/readiness")
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
		resp, err := http.Get("http://" + b.addr(i, internalPort) + "/metrics")
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

// Eventually polls until ok returns true, and fails the test after
// eventuallyTimeout. The description goes into the failure message.
func (b *Bed) Eventually(what string, ok func() bool) {
	b.tb.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); !ok(); {
		qt.Assert(b.tb, time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%s", what))
		<-time.After(20 * time.Millisecond)
	}
}
