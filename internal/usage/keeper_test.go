package usage_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/internal/usage"
	standin "nettlewalk.example/nettlewalk/test/standin/platform"
)

// fleet is a set of keepers that call each other directly. It implements
// peer.Caller.
type fleet struct {
	mu       sync.Mutex
	platform *standin.Server
	hosts    []topology.Host
	keepers  map[topology.HostID]*usage.Keeper
	stops    map[topology.HostID]func()
}

func newFleet(c *qt.C, ids ...topology.HostID) *fleet {
	p, err := standin.Start(standin.Config{})
	c.Assert(err, qt.IsNil)
	c.Cleanup(p.Close)
	f := &fleet{platform: p, keepers: map[topology.HostID]*usage.Keeper{}, stops: map[topology.HostID]func(){}}
	for _, id := range ids {
		f.hosts = append(f.hosts, topology.Host{ID: id, Domain: topology.Domain(id[:1]), State: topology.HostLive})
	}
	for _, id := range ids {
		f.start(c, id, 1)
	}
	return f
}

// start starts a process of the host. It replaces an earlier one in the same
// moment, so that the list of hosts doesn't change.
func (f *fleet) start(c *qt.C, id topology.HostID, boot uint64) {
	client := platform.New(platform.Options{Addr: f.platform.Addr, Caller: string(id)})
	k := usage.NewKeeper(usage.Options{Self: id, Boot: boot, Client: client, Peers: f, Hosts: f.listedHosts})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); k.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers[id] = k
	f.stops[id] = sync.OnceFunc(func() { cancel(); <-done; client.Close() })
	c.Cleanup(f.stops[id])
}

// listedHosts returns the hosts that the platform lists, without killed ones.
func (f *fleet) listedHosts() []topology.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var hosts []topology.Host
	for _, host := range f.hosts {
		if f.keepers[host.ID] != nil || f.stops[host.ID] == nil {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// countHostsWithReading counts the live hosts that know a reading of the source
// with at least that many statements.
func (f *fleet) countHostsWithReading(source usage.Source, statements uint64) int {
	n := 0
	for _, host := range f.listedHosts() {
		var reply usage.ReadReply
		if f.Call(context.Background(), host.ID, "Usage.Read", &usage.ReadArgs{Customer: "x"}, &reply) != nil {
			continue
		}
		for _, m := range reply.Readings {
			if m.Host == source.Host && m.Boot == source.Boot && m.Total.Statements >= statements {
				n++
			}
		}
	}
	return n
}

// kill stops a host without a final write.
func (f *fleet) kill(id topology.HostID) {
	f.mu.Lock()
	delete(f.keepers, id)
	f.mu.Unlock()
	f.stops[id]()
}

// Call implements peer.Caller.
func (f *fleet) Call(_ context.Context, host topology.HostID, method string, args, reply any) error {
	f.mu.Lock()
	k := f.keepers[host]
	f.mu.Unlock()
	if k == nil {
		return result.New(result.HostUnreachable, "host %s is down", host)
	}
	if method == "Usage.Read" {
		return k.Service().Read(args.(*usage.ReadArgs), reply.(*usage.ReadReply))
	}
	return k.Service().Witness(args.(*usage.WitnessArgs), reply.(*usage.WitnessReply))
}

// holder is an executor that meters one statement per batch.
type holder struct {
	pool.Executor
	keeper *usage.Keeper
}

func (h holder) Exec(_ context.Context, req *pool.Request) (*pool.Reply, error) {
	return &pool.Reply{Meter: h.keeper.Consume(req.Customer, req.Group, pool.Usage{Statements: 1})}, nil
}

// execute runs n batches at the holder through an entry host.
func (f *fleet) execute(c *qt.C, entry, holderID topology.HostID, n int) {
	exec := f.keepers[entry].Observe(holder{keeper: f.keepers[holderID]})
	for range n {
		_, err := exec.Exec(context.Background(), &pool.Request{Customer: "x"})
		c.Assert(err, qt.IsNil)
	}
}

// statements returns the customer's statement count in the reporter's report.
func (f *fleet) statements(c *qt.C, reporter topology.HostID) uint64 {
	report, err := f.keepers[reporter].Report(context.Background(), "x")
	c.Assert(err, qt.IsNil)
	return report.Statements
}

func TestReportIsCompleteAfterHostFailures(t *testing.T) {
	tests := []struct {
		name     string
		killed   []topology.HostID
		minHosts int // hosts that must have the reading before the failure
	}{
		{"holder, immediately", []topology.HostID{"a1"}, 1},
		{"entry host, immediately", []topology.HostID{"b1"}, 1},
		{"both, after replication", []topology.HostID{"a1", "b1"}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(c, "a1", "a2", "b1", "b2", "c1", "c2")
			f.execute(c, "b1", "a1", 7)
			waitFor(c, "the reading is replicated", func() bool { return f.countHostsWithReading(usage.Source{Host: "a1", Boot: 1}, 7) >= test.minHosts })
			for _, id := range test.killed {
				f.kill(id)
			}
			c.Check(f.statements(c, "c1"), qt.Equals, uint64(7))
		})
	}
}

func TestWitnessesWriteReadingsOfFailedHolder(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a1", "b1", "c1")
	f.platform.UpdateFaults(func(x *standin.Faults) { x.Outage = standin.OutageRefuse })
	f.execute(c, "a1", "b1", 4)
	f.kill("b1")
	f.platform.UpdateFaults(func(x *standin.Faults) { x.Outage = standin.OutageNone; x.DropResponses = 2 })
	waitFor(c, "the usage object is written", func() bool {
		o, ok := f.platform.Object("usage", "b1.1")
		return ok && string(o.Value) != ""
	})
	f.kill("a1")
	c.Check(f.statements(c, "c1"), qt.Equals, uint64(4))
}

// A witness that restarts before the list of hosts shows it has lost its copy. The
// reading of a dead holder, whose other copy is at an entry host, is copied again.
func TestRestartedWitnessGetsReadingsAgain(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a1", "b1", "c1")
	f.platform.UpdateFaults(func(x *standin.Faults) { x.Outage = standin.OutageRefuse })
	f.execute(c, "b1", "a1", 7)
	source := usage.Source{Host: "a1", Boot: 1}
	waitFor(c, "the reading is replicated", func() bool { return f.countHostsWithReading(source, 7) == 3 })
	f.kill("a1")
	unreplicated := func() int { return f.keepers["b1"].Dump().(usage.Dump).Unreplicated }
	waitFor(c, "the entry host copies the readings of the dead holder", func() bool { return unreplicated() > 0 })
	waitFor(c, "the copies are made", func() bool { return unreplicated() == 0 })
	stop := f.stops["c1"]
	f.start(c, "c1", 2)
	stop()
	restartedAt := time.Now()
	waitFor(c, "the new process has the reading", func() bool { return f.countHostsWithReading(source, 7) == 2 })
	c.Check(time.Since(restartedAt) < 2*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(restartedAt)))
	f.kill("b1")
	c.Check(f.statements(c, "c1"), qt.Equals, uint64(7))
}

func TestLeaveWritesAllReadings(t *testing.T) {
	c := qt.New(t)
	f := newFleet(c, "a1", "b1")
	f.execute(c, "a1", "b1", 4)
	f.keepers["b1"].Leave(context.Background())
	_, ok := f.platform.Object("usage", "b1.1")
	c.Check(ok, qt.IsTrue)
}

func waitFor(c *qt.C, condition string, met func() bool) {
	c.Helper()
	deadline := time.Now().Add(30 * time.Second)
	for !met() {
		if time.Now().After(deadline) {
			c.Fatalf("timed out waiting: %s", condition)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
