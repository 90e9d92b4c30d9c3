package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is one process of the product, with a loopback address of its own.
type host struct {
	name, zone string
	caller     string // FrontendAddress
	ready      string
	cmd        *exec.Cmd
	logPath    string
	words      []string // of the run line
	env        []string
	rec        *record

	mu       sync.Mutex
	ended    bool
	stopping bool // this program has told it to end
}

const settings = `
NodeName = "%s"
Role = "proxy"
MachineClass = "frontend"
Serves = ["frontend","control_plane"]
IpAddress = "%s"
Zone = "%s"
Region = "seq"
InternalPorts = [7440,7455]
SeedNodes = [%s]
Bootstrap = true
CountsAsLoss = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatIntervalMs = 1200
Contracts = ["base","drain","config","cost","recover","sql","platform"]
[Zones]
bne-north = "seq"
bne-south = "seq"
gold-coast = "seq"
[ListenAddresses]
FrontendAddress = "%s:8784"
Ready = "%s:8785"
Control = "%s:8782"
[Limits]
CpuShare = 0.4
CpuCores = 1
MemoryMb = 284
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
%s[platform]
Address = "%s"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
[Cloud]
Address = "%s"
RatePerS = 50.0
Duties = ["promotion"]
DutyPerS = 50.0
`

var zones = []string{"bne-north", "bne-south", "gold-coast"}

// runLine returns the words of the run line in the deploy file.
func runLine() ([]string, error) {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(rest, "\"")), nil
		}
	}
	return nil, fmt.Errorf("no run line in the deploy file")
}

// startHosts starts one host in each zone.
func startHosts(dir string, extraBounds string, s *store, c *cluster, rec *record) ([]*host, error) {
	words, err := runLine()
	if err != nil {
		return nil, err
	}
	prefix := fmt.Sprintf("127.%d.%d.", 10+rand.Intn(200), rand.Intn(250))
	var seeds []string
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s%d:8782", prefix, i+1)))
	}
	var hosts []*host
	for i, zone := range zones {
		ip := fmt.Sprintf("%s%d", prefix, i+1)
		h := &host{name: "frontend-" + zone + "-1", zone: zone, caller: ip + ":8784", ready: ip + ":8785", logPath: filepath.Join(dir, zone+".log"), rec: rec}
		path := filepath.Join(dir, zone+".toml")
		text := fmt.Sprintf(settings, h.name, ip, zone, strings.Join(seeds, ","), ip, ip, ip, extraBounds, s.addr(), c.calls.Addr())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return hosts, err
		}
		h.words = words
		h.env = []string{"NETTLEWALK_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
		if err := h.start(); err != nil {
			return hosts, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// start starts the host's process. It may be called again after the process has ended.
func (h *host) start() error {
	out, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(h.words[0], h.words[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = h.env, out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.ended, h.stopping = cmd, false, false
	go h.await(cmd)
	return nil
}

// await records the end of a process.
func (h *host) await(cmd *exec.Cmd) {
	state := "exit code 0"
	if err := cmd.Wait(); err != nil {
		state = err.Error()
	}
	h.mu.Lock()
	h.ended = true
	how := "ended by itself"
	if h.stopping {
		how = "ended as it was told"
	}
	h.mu.Unlock()
	h.rec.note("host %s: its process %s: %s", h.name, how, state)
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + h.ready + "/api/readiness")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (h *host) stop(signal syscall.Signal) {
	h.mu.Lock()
	h.stopping = true
	h.mu.Unlock()
	_ = h.cmd.Process.Signal(signal) // it may have ended
}

func (h *host) endedByItself() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended && !h.stopping
}

func (h *host) hasEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ended
}

// await polls until ok is true, for a limited time.
func await(limit time.Duration, ok func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

func dialTCP(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, 2*time.Second) }
