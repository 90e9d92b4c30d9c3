package testbed

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Ports of every process, on its own IP number.
const (
	callerPort      = 6432
	peerPort        = 6433
	adminPort       = 6434
	targetPort      = 5432
	replicationPort = 5433
	controlPort     = 7001
	platformPort    = 7000
)

// Secrets of all hosts of a Bed.
const (
	PeerKey       = "testbed-peer-key"
	TokenKey      = "testbed-token-key"
	OperatorToken = "testbed-operator-token"
)

// Bed is a running set of processes. Close ends them all.
type Bed struct {
	Plan     Plan
	Network  *Network
	Platform *Platform
	Targets  map[topology.TargetID]*Target
	Hosts    []*Host

	dir      string
	started  []*Process
	ipPrefix string
	nextIP   int
	programs Programs
	caller   *Node
}

var bedCount atomic.Int32

// Start builds the programs, starts the plan's processes and waits until every
// host is ready. The caller owns the Bed.
func Start(ctx context.Context, plan Plan) (*Bed, error) {
	programs, err := Build()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "nettlewalk-"+plan.Name+"-")
	if err != nil {
		return nil, err
	}
	b := &Bed{
		Plan:     plan,
		Targets:  map[topology.TargetID]*Target{},
		dir:      dir,
		ipPrefix: IPPrefix(),
		programs: programs,
		caller:   &Node{Name: "caller", Kind: KindCaller},
	}
	b.Network = newNetwork(&b.Plan)
	if err := b.startAll(ctx); err != nil {
		err = errors.Wrapf(err, "%s", b.Logs())
		b.Close()
		return nil, err
	}
	return b, nil
}

// IPPrefix returns three octets of loopback addresses that no other bed on this
// machine uses: a port that was free there is still free later.
func IPPrefix() string {
	pid := os.Getpid()
	n := int(bedCount.Add(1))
	return fmt.Sprintf("127.%d.%d", 1+(pid*7+n)%250, 1+(pid/250+n*31)%250)
}

func (b *Bed) startAll(ctx context.Context) error {
	if err := b.startPlatform(ctx); err != nil {
		return err
	}
	if err := b.startTargets(ctx); err != nil {
		return err
	}
	if err := b.seed(ctx); err != nil {
		return err
	}
	if err := b.startHosts(ctx); err != nil {
		return err
	}
	return b.WaitReady(ctx)
}

func (b *Bed) node(name string, kind Kind, domain topology.Domain) *Node {
	b.nextIP++
	return &Node{Name: name, Kind: kind, Domain: domain, IP: fmt.Sprintf("%s.%d", b.ipPrefix, b.nextIP)}
}

func (n *Node) addr(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }

func (b *Bed) logPath(name string) string { return filepath.Join(b.dir, name+".log") }

// start starts a program; Close ends it.
func (b *Bed) start(program, name string, args ...string) (*Process, error) {
	p, err := startProcess(program, b.logPath(name), args...)
	if err == nil {
		b.started = append(b.started, p)
	}
	return p, err
}

// WaitReady waits until every running host serves callers.
func (b *Bed) WaitReady(ctx context.Context) error {
	for _, h := range b.Hosts {
		if !h.Running() {
			continue
		}
		if err := h.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Close ends every process, the links, and removes the files.
func (b *Bed) Close() {
	for _, p := range b.started {
		_ = p.Kill()
	}
	b.Network.close()
	os.RemoveAll(b.dir)
}

const logTail = 3000 // bytes of each process's log

// Logs returns the end of every process's log.
func (b *Bed) Logs() string {
	var text strings.Builder
	for _, p := range b.started {
		log := p.Log()
		fmt.Fprintf(&text, "--- %s\n%s\n", filepath.Base(p.log), log[max(0, len(log)-logTail):])
	}
	return text.String()
}

const pollInterval = 10 * time.Millisecond // between looks at a condition

// Until waits until cond returns true or ctx ends; what names the condition.
func Until(ctx context.Context, what string, cond func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !cond() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting until %s", what)
		case <-ticker.C:
		}
	}
	return nil
}
