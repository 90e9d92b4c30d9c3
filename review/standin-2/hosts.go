package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is one process of the project.
type host struct {
	p       *platform
	name    string
	zone    string
	ip      string
	dir     string
	program string
	seeds   string
	cmd     *exec.Cmd
	done    chan struct{}
	ends    int  // ends that this test didn't cause
	expect  bool // the test ends it
	memory  int  // MemoryMb
}

func (h *host) front() string   { return h.ip + ":8784" }
func (h *host) ready() string   { return h.ip + ":8785" }
func (h *host) control() string { return h.ip + ":8782" }

const settings = `NodeName = %q
Role = "proxy"
MachineClass = "frontend"
Serves = ["frontend","control_plane"]
IpAddress = %q
Zone = %q
Region = "seq"
InternalPorts = [7440,7455]
SeedNodes = [%s]
Bootstrap = true
HeartbeatIntervalMs = 1200
[Zones]
%s
[ListenAddresses]
FrontendAddress = %q
Ready = %q
Control = %q
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
`

// addHosts writes the settings of the hosts, one for each of the zones listed, and starts them.
func (p *platform) addHosts(program, dir string, zones []string) ([]*host, error) {
	var list []*host
	var seeds []string
	zoneLines := map[string]bool{}
	for i, zone := range zones {
		h := &host{p: p, name: fmt.Sprintf("frontend-%s-%d", zone, i+1), zone: zone, ip: p.ip(i + 1), dir: dir, program: program, memory: 284}
		list = append(list, h)
		if !zoneLines[zone] {
			seeds = append(seeds, fmt.Sprintf("%q", h.control()))
		}
		zoneLines[zone] = true
	}
	var lines []string
	for zone := range zoneLines {
		lines = append(lines, fmt.Sprintf("%s = \"seq\"", zone))
	}
	for _, h := range list {
		h.seeds = strings.Join(seeds, ",")
		text := fmt.Sprintf(settings, h.name, h.ip, h.zone, h.seeds, strings.Join(lines, "\n"), h.front(), h.ready(), h.control(), h.memory, p.store.addr, p.cloud)
		if err := os.WriteFile(h.path("toml"), []byte(text), 0o600); err != nil {
			return nil, err
		}
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	return list, nil
}

func (h *host) path(extension string) string { return filepath.Join(h.dir, h.name+"."+extension) }

func (h *host) start() error {
	log, err := os.OpenFile(h.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	h.cmd = exec.Command(h.program, "serve", "--metrics-port", "7440")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "NETTLEWALK_CONFIG=" + h.path("toml")}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.expect = false
	done, cmd := make(chan struct{}), h.cmd
	h.done = done
	go func() {
		err := cmd.Wait()
		if !h.expect {
			h.ends++
			h.p.rec.say("%s ended by itself: %v", h.name, err)
		}
		close(done)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.expect = h.expect || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = h.cmd.Process.Signal(s)
}

// kill ends the process, as a loss of power does.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + h.ready() + "/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// rss returns the memory of the process in MB.
func (h *host) rss() int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	var size, resident int
	fmt.Sscan(string(text), &size, &resident)
	return resident * os.Getpagesize() >> 20
}
