package line

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/test/testbed"
)

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

// Ports of a host. Each host has its own IP address, so all hosts use the same
// ports.
const (
	callerPort   = 5432
	peerPort     = 7001
	readyPort    = 7002
	internalPort = 7440
	targetPort   = 5433 // of targets with relays
)

func (b *Bed) addr(host, port int) string { return fmt.Sprintf("%s.%d:%d", b.ipPrefix, host+1, port) }

const defaultDrainTimeoutMS = 7000

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
DrainTimeoutMs = %d
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
			h.callerAddr, h.readyAddr, b.addr(i, peerPort), cmp.Or(b.opts.DrainTimeoutMS, defaultDrainTimeoutMS), !b.opts.Unfenced, b.opts.StrictRevocation, b.opts.ConfigApplyMS, b.opts.RevokeTimeoutMS, b.StoreLink.Addr(), strings.TrimPrefix(b.promotionServer.URL, "http://"))
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
	h.Cmd = exec.Command(programs.Host, append([]string{"serve"}, b.opts.HostArgs...)...)
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
