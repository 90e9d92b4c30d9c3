package quota

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/fleet"
	"nettlewalk.example/nettlewalk/internal/gossip"
	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// sellerVariable has the address of the parent process's seller in a child process.
const sellerVariable = "NETTLEWALK_TEST_QUOTA_SELLER"

// processQuota returns a Quota of one of two hosts, the first of which sells the tokens of
// the returned customer.
func processQuota(self, sellerID topology.HostID) (*Quota, *peer.Client, topology.CustomerID) {
	hosts := []topology.Host{{ID: sellerID, Domain: "d", State: topology.HostLive}, {ID: "child", Domain: "d", State: topology.HostLive}}
	id := topology.CustomerID("c")
	for chooseSellers(fleet.NewIndex(hosts), id, "d").coordinator != sellerID {
		id += "c"
	}
	c := &catalog.Configuration{Version: 1, Customers: map[topology.CustomerID]catalog.Customer{id: {ID: id, Rate: 1000, Burst: 1000}}}
	client := peer.NewClient([]byte("key"), self, func(id topology.HostID) (string, bool) { return string(id), true }, nil)
	return New(Options{Self: self, Domain: "d", Peers: client, Hosts: func() ([]topology.Host, uint64) { return hosts, 1 },
		Reach: func() gossip.Reach {
			return gossip.Reach{Domains: map[topology.Domain]float64{"d": 1}, Own: "d", Self: 0.5}
		},
		Configuration: func() *catalog.Configuration { return c }, Bounds: testBounds, Log: logr.Discard()}), client, id
}

// runChild sends operations when told to, and tells how many tokens it holds.
func runChild(sellerID topology.HostID) {
	q, _, id := processQuota("child", sellerID)
	for in := bufio.NewScanner(os.Stdin); in.Scan(); {
		for range map[string]int{"run": 400}[in.Text()] {
			_, _, _ = q.Admit(id, time.Now().Add(time.Second))
			time.Sleep(time.Millisecond)
		}
		tokens := 0
		for _, w := range q.Dump().Wallets {
			tokens = w.Tokens
		}
		fmt.Println("tokens", tokens)
	}
}

// A process that is frozen for longer than the lifetime of its tokens must not spend them
// when it wakes.
func TestFrozenProcessHasNoTokensWhenItWakes(t *testing.T) {
	if sellerID := os.Getenv(sellerVariable); sellerID != "" {
		runChild(topology.HostID(sellerID))
		os.Exit(0)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	self := topology.HostID(l.Addr().String())
	q, client, _ := processQuota(self, self)
	t.Cleanup(client.Close)
	server := peer.NewServer([]byte("key"), self, logr.Discard())
	qt.Assert(t, server.Register(ServiceName, q.Service()), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = server.Serve(ctx, l) }()

	child := exec.Command(os.Args[0], "-test.run=^TestFrozenProcessHasNoTokensWhenItWakes$")
	child.Env = append(os.Environ(), sellerVariable+"="+string(self))
	in, err := child.StdinPipe()
	qt.Assert(t, err, qt.IsNil)
	out, err := child.StdoutPipe()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, child.Start(), qt.IsNil)
	t.Cleanup(func() {
		_ = child.Process.Signal(syscall.SIGCONT)
		_ = in.Close()
		_ = child.Wait()
	})
	lines := bufio.NewScanner(out)
	ask := func(what string) int {
		_, err := fmt.Fprintln(in, what)
		qt.Assert(t, err, qt.IsNil)
		for lines.Scan() {
			if text, ok := strings.CutPrefix(lines.Text(), "tokens "); ok {
				n, err := strconv.Atoi(text)
				qt.Assert(t, err, qt.IsNil)
				return n
			}
		}
		t.Fatal("the child ended")
		return 0
	}
	for attempts := 0; ask("run") <= 10; attempts++ { // it holds some that it bought in advance, unless all were just spent
		qt.Assert(t, attempts < 20, qt.IsTrue)
	}
	qt.Assert(t, child.Process.Signal(syscall.SIGSTOP), qt.IsNil)
	time.Sleep(TokenLifetime + 200*time.Millisecond)
	qt.Assert(t, child.Process.Signal(syscall.SIGCONT), qt.IsNil)
	qt.Check(t, ask("tokens"), qt.Equals, 0)
}
