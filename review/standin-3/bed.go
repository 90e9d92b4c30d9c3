package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bed is one small deployment on loopback: stand-ins in this process, hosts of the product as
// processes of their own.
type bed struct {
	dir    string
	prefix string // first three octets of all addresses
	store  *store
	cloud  string
	groups []*group
	hosts  []*host
	zones  []string
	memory int

	mu     sync.Mutex
	late   *lateCall // what becomes of the next promotion call; nil: it is carried out at once
	record *os.File
	start  time.Time
}

const (
	callerPort  = 8784
	readyPort   = 8785
	controlPort = 8782
)

// host is one machine with one process of the product.
type host struct {
	b      *bed
	name   string
	ip     string
	zone   string
	config string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func newBed(recordPath string, memory int) (*bed, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	b := &bed{dir: dir, record: record, start: time.Now(), zones: []string{"zone-a", "zone-b", "zone-c"}, memory: memory}
	for range 50 {
		b.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if l, err := net.Listen("tcp", b.prefix+"200:8783"); err == nil {
			l.Close()
			break
		}
	}
	if b.store, err = startStore(b.prefix + "200:8783"); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", b.prefix+"201:8783")
	if err != nil {
		return nil, err
	}
	b.cloud = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(b.servePromotion)) }()
	return b, nil
}

func (b *bed) log(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  "+format+"\n", append([]any{time.Since(b.start).Seconds()}, args...)...)
}

// say writes to the record and to the standard output.
func (b *bed) say(format string, args ...any) {
	b.log(format, args...)
	fmt.Printf("%8.3f  "+format+"\n", append([]any{time.Since(b.start).Seconds()}, args...)...)
}

// lateCall is a promotion call that gets no answer and is carried out later.
type lateCall struct {
	by      time.Duration
	ordered chan<- *backend
}

// lateOrder leaves the next promotion call without an answer, and carries it out later. Its
// target is sent to ordered.
func (b *bed) lateOrder(by time.Duration, ordered chan<- *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.late = &lateCall{by: by, ordered: ordered}
}

func (b *bed) takeLateOrder() *lateCall {
	b.mu.Lock()
	defer b.mu.Unlock()
	late := b.late
	b.late = nil
	return late
}

func (b *bed) servePromotion(w http.ResponseWriter, r *http.Request) {
	var body struct{ Service, Id string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	token, _ := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64)
	holder := r.Header.Get("X-Duty-Holder")
	for _, g := range b.groups {
		if g.service != body.Service {
			continue
		}
		if late := b.takeLateOrder(); late != nil {
			b.say("platform: the call for the promotion of %s by %s with token %d gets no answer", body.Id, holder, token)
			late.ordered <- g.backends[body.Id]
			time.AfterFunc(late.by, func() { b.promote(g, body.Id, holder, token) })
			<-r.Context().Done()
			return
		}
		w.WriteHeader(b.promote(g, body.Id, holder, token))
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

// promote carries out a call and returns the status of its answer. Its fence is checked now.
func (b *bed) promote(g *group, id, holder string, token uint64) (status int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	target := g.backends[id]
	b.log("platform: promotion of %s by %s with token %d (highest seen %d)", id, holder, token, g.token)
	if token < g.token || target == nil || !target.up {
		b.log("platform: refused")
		return http.StatusConflict
	}
	g.token = token
	if g.primary != id {
		time.AfterFunc(300*time.Millisecond, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.lead(target)
			b.log("platform: %s leads term %d with %d commits in its log", id, g.term, len(target.log))
			if g.onLead != nil {
				g.onLead(target)
			}
		})
	}
	return http.StatusOK
}

// configure writes a version of the operator's configuration.
func (b *bed) configure(version, maxConns int, routes ...map[string]any) {
	services := []map[string]any{}
	for _, g := range b.groups {
		services = append(services, map[string]any{"Name": g.service, "HealthPath": "/health", "MaxConnections": maxConns, "Protocol": "own", "Tls": false, "SyncReplicas": 1})
	}
	b.store.put("config", "main", map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Limits": map[string]any{"TransactionIdleMs": 5000},
	})
}

func route(database, kind, service string, timeoutMs, aimMs int) map[string]any {
	return map[string]any{
		"Name": database, "DatabaseName": database, "Service": service, "Kind": kind, "TimeoutMs": timeoutMs, "TargetLatencyMs": aimMs,
		"MaxStalenessMs": 2500, "Priority": 0, "MaxAttempts": 1,
	}
}

// addGroup starts a service with three backends, one in each zone.
func (b *bed) addGroup(service string, firstIP, maxConns, slots int) (*group, error) {
	g := newGroup(b.store, service, maxConns, slots, b.log)
	for i, zone := range b.zones {
		if err := g.add(fmt.Sprintf("i-%s-%d", service, i+1), fmt.Sprintf("%s%d:9100", b.prefix, firstIP+i), zone); err != nil {
			return nil, err
		}
	}
	b.groups = append(b.groups, g)
	return g, nil
}

// addHost writes the settings file of a machine. The process is started by start.
func (b *bed) addHost(i int) *host {
	h := &host{b: b, name: fmt.Sprintf("frontend-%d", i+1), ip: b.prefix + strconv.Itoa(i+1), zone: b.zones[i%len(b.zones)]}
	h.config = filepath.Join(b.dir, h.name+".toml")
	seeds := []string{}
	for j := range 3 {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:%d", b.prefix, j+1, controlPort)))
	}
	text := fmt.Sprintf(`NodeName = %q
Role = "proxy"
MachineClass = "frontend"
Serves = ["frontend","control_plane"]
IpAddress = %q
Zone = %q
Region = "r"
InternalPorts = [7440,7455]
SeedNodes = [%s]
Bootstrap = true
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatIntervalMs = 1200
[Zones]
zone-a = "r"
zone-b = "r"
zone-c = "r"
[ListenAddresses]
FrontendAddress = "%s:%d"
Ready = "%s:%d"
Control = "%s:%d"
[Limits]
CpuShare = 0.4
CpuCores = 1
MemoryMb = %d
FileDescriptors = 4300
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
AddressReuseS = 2
StabilityWindowMs = 4000
AckTimeoutMs = 5000
CatchUpS = 4
DrainTimeoutMs = 7000
GracePeriodS = 6
LossSlackMs = 200
ConfigApplyMs = 3000
DowngradeSlackMs = 250
MaxStretchMs = 12000
RecoveryS = 12
FencingEnforced = true
ThawSlackMs = 300
[platform]
Address = %q
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
[Cloud]
Address = %q
RatePerS = 50.0
Duties = ["promotion"]
DutyPerS = 50.0
`, h.name, h.ip, h.zone, strings.Join(seeds, ","), h.ip, callerPort, h.ip, readyPort, h.ip, controlPort, b.memory, b.store.addr(), b.cloud)
	_ = os.WriteFile(h.config, []byte(text), 0o644)
	b.hosts = append(b.hosts, h)
	return h
}

// program is the built program of the deploy file.
const program = "target/nettlewalk"

func (h *host) startProcess() error {
	out, err := os.OpenFile(filepath.Join(h.b.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	args := []string{"serve", "--metrics-port", "7440"}
	cmd := exec.Command(program, args...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "NETTLEWALK_CONFIG=" + h.config}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.mu.Lock()
	h.cmd = cmd
	h.mu.Unlock()
	h.b.log("%s: process starts", h.name)
	go func() { _ = cmd.Wait() }()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// residentMB returns the memory of the process.
func (h *host) residentMB() float64 {
	h.mu.Lock()
	cmd := h.cmd
	h.mu.Unlock()
	if cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", cmd.Process.Pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

func (h *host) ready() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readiness", h.ip, readyPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *bed) awaitReady(limit time.Duration, hosts ...*host) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, h := range hosts {
			all = all && h.ready()
		}
		if all {
			return true
		}
	}
	return false
}

func (b *bed) stop() {
	b.killAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("kept", b.dir)
	}
	_ = b.record.Close()
}

// client is one session of a caller.
type client struct {
	conn net.Conn
	r    *bufio.Reader
	n    int
	name string
}

func (h *host) open(database, name string) (*client, error) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", h.ip, callerPort), 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, r: bufio.NewReaderSize(conn, 64<<10), name: name}
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(conn, "START %s %s\r\n", database, name)
	line, err := readLine(c.r)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = fmt.Errorf("START answered with %q", line)
	}
	if err != nil {
		conn.Close()
		return nil, err
	}
	return c, nil
}

// answer is what a caller is told.
type answer struct {
	id    string
	rows  []string
	word  string // COMPLETE or ERROR
	text  string
	state string
}

func (a answer) ok() bool { return a.word == "COMPLETE" }

func (c *client) query(text string, limit time.Duration) (answer, error) {
	c.n++
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.n)}
	_ = c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := c.conn.Write([]byte("QUERY " + a.id + " " + text + "\r\n")); err != nil {
		return a, err
	}
	for {
		line, err := readLine(c.r)
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "ROW":
			a.rows = append(a.rows, rest)
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		default:
			a.word, a.text = word, rest
		}
	}
}

// startSmall starts a deployment of one service and six machines, and waits until it serves.
func startSmall(recordPath string) (*bed, *group, error) {
	b, err := newBed(recordPath, 284)
	if err != nil {
		return nil, nil, err
	}
	g, err := b.addGroup("svc1", 101, 16, 2)
	if err == nil {
		b.configure(10, 16, route("db1", "primary", "svc1", 800, 100))
		for i := range 6 {
			if err = b.addHost(i).startProcess(); err != nil {
				break
			}
		}
	}
	if err == nil && !b.awaitReady(15*time.Second, b.hosts...) {
		err = errors.New("the hosts don't get ready")
	}
	if err != nil {
		b.stop()
		return nil, nil, err
	}
	time.Sleep(8 * time.Second)
	return b, g, nil
}

// killAll kills the processes of all machines.
func (b *bed) killAll() {
	for _, h := range b.hosts {
		h.signal(syscall.SIGKILL)
	}
}

// startAll starts the processes of all machines again.
func (b *bed) startAll() {
	for _, h := range b.hosts {
		if err := h.startProcess(); err != nil {
			b.say("%s: %v", h.name, err)
		}
	}
}

// schedule returns a function that waits until so many seconds after now.
func schedule() func(seconds float64) {
	begin := time.Now()
	return func(seconds float64) {
		time.Sleep(time.Until(begin.Add(time.Duration(seconds * float64(time.Second)))))
	}
}
