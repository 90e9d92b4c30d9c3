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

// Ports on which processes listen. Every process has its own IP address.
const (
	callerPort      = 6432
	peerPort        = 6433
	adminPort       = 6434
	targetPort      = 5432
	replicationPort = 5433
	controlPort     = 7001
	platformPort    = 7000
)

// Secrets that all hosts of a Bed share.
const (
	PeerKey       = "testbed-peer-key"
	TokenKey      = "testbed-token-key"
	OperatorToken = "testbed-operator-token"
)

// Bed is a running deployment. Close stops all of its processes.
type Bed struct {
	Plan     Plan
	Network  *Network
	Platform *Platform
	Targets  map[topology.TargetID]*Target
	Hosts    []*Host

	workDir   string
	processes []*Process
	ipPrefix  string
	nextIP    int
	programs  Programs
	caller    *Node
}

var bedCount atomic.Int32

// Start builds the programs, starts the plan's processes and waits until every host
// is ready. The caller must close the Bed.
func Start(ctx context.Context, plan Plan) (*Bed, error) {
	programs, err := Build()
	if err != nil {
		return nil, err
	}
	workDir, err := os.MkdirTemp("", "nettlewalk-"+plan.Name+"-")
	if err != nil {
		return nil, err
	}
	b := &Bed{
		Plan:     plan,
		Targets:  map[topology.TargetID]*Target{},
		workDir:  workDir,
		ipPrefix: IPPrefix(),
		programs: programs,
		caller:   &Node{Name: "caller", Kind: KindCaller},
	}
	b.Network = newNetwork(&b.Plan)
	if err := b.startProcesses(ctx); err != nil {
		err = errors.Wrapf(err, "%s", b.Logs())
		b.Close()
		return nil, err
	}
	return b, nil
}

// IPPrefix returns the first three octets of a range of loopback addresses that no
// other Bed on this machine uses, so that no other process takes a port that was
// found free. The range depends on the process id and the number of Beds so far.
func IPPrefix() string {
	pid := os.Getpid()
	n := int(bedCount.Add(1))
	return fmt.Sprintf("127.%d.%d", 1+(pid*7+n)%250, 1+(pid/250+n*31)%250)
}

func (b *Bed) startProcesses(ctx context.Context) error {
	if err := b.startPlatform(ctx); err != nil {
		return err
	}
	if err := b.startTargets(ctx); err != nil {
		return err
	}
	if err := b.seedPlatform(ctx); err != nil {
		return err
	}
	if err := b.startHosts(ctx); err != nil {
		return err
	}
	return b.WaitReady(ctx)
}

func (b *Bed) newNode(name string, kind Kind, domain topology.Domain) *Node {
	b.nextIP++
	return &Node{Name: name, Kind: kind, Domain: domain, IP: fmt.Sprintf("%s.%d", b.ipPrefix, b.nextIP)}
}

func (n *Node) addr(port int) string { return fmt.Sprintf("%s:%d", n.IP, port) }

func (b *Bed) logPath(name string) string { return filepath.Join(b.workDir, name+".log") }

// startProgram starts a program. Close stops it.
func (b *Bed) startProgram(program, name string, args ...string) (*Process, error) {
	p, err := startProcess(program, b.logPath(name), args...)
	if err == nil {
		b.processes = append(b.processes, p)
	}
	return p, err
}

// WaitReady waits until every running host is ready.
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

// Close kills every process, closes the links and removes the files.
func (b *Bed) Close() {
	for _, p := range b.processes {
		_ = p.Kill()
	}
	b.Network.close()
	os.RemoveAll(b.workDir)
}

const logTailBytes = 3000 // per process, in the result of Logs

// Logs returns the last part of every process's log.
func (b *Bed) Logs() string {
	var text strings.Builder
	for _, p := range b.processes {
		log := p.Log()
		fmt.Fprintf(&text, "--- %s\n%s\n", filepath.Base(p.logPath), log[max(0, len(log)-logTailBytes):])
	}
	return text.String()
}

const pollInterval = 10 * time.Millisecond // between evaluations of a condition

// Until polls isMet until it returns true or ctx ends. The error contains the
// description in condition.
func Until(ctx context.Context, condition string, isMet func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !isMet() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "waiting until %s", condition)
		case <-ticker.C:
		}
	}
	return nil
}
