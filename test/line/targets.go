package line

import (
	"fmt"
	"strings"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
	"nettlewalk.example/nettlewalk/test/standin/target"
	"nettlewalk.example/nettlewalk/test/testbed"
)

// Member is one target of the group: a server that speaks the line protocol and
// is reached through a link that can inject faults.
type Member struct {
	ID      topology.TargetID
	Server  *target.Server
	Line    *target.Line
	Link    *testbed.Link // between the hosts and the target
	addr    string        // registered
	relay   *relay        // between the hosts and Link, or nil
	crashed bool
}

func (b *Bed) startTargets() {
	for i := range 3 {
		b.startTarget(i)
	}
	b.connectTargets()
	for _, m := range b.Members {
		b.Register(m, "ready")
	}
}

// AddTarget starts another replica, which registers, and returns it.
func (b *Bed) AddTarget() *Member {
	m := b.startTarget(len(b.Members))
	b.connectTargets()
	b.Register(m, "ready")
	return m
}

// startTarget starts target i, which neither knows the others nor is registered.
func (b *Bed) startTarget(i int) *Member {
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
	m.addr = m.Link.Addr()
	if b.opts.Relays {
		m.addr = fmt.Sprintf("%s.%d:%d", b.ipPrefix, 100+i, targetPort)
		m.relay = newRelay(m.addr, m.Link.Addr())
		qt.Assert(b.tb, m.relay.open(), qt.IsNil)
		b.tb.Cleanup(m.relay.close)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Members = append(b.Members, m)
	return m
}

// connectTargets lets all targets replicate from each other.
func (b *Bed) connectTargets() {
	for _, m := range b.Members {
		for _, other := range b.Members {
			m.Server.SetPeer(other.ID, other.Server.PeerAddr())
		}
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
	zone := "north"
	if b.opts.SpreadTargets {
		zone = "zone" + strings.TrimPrefix(string(m.ID), "t")
	}
	_, err := b.Store.Put("servers", string(m.ID), map[string]any{
		"Service": "svc", "Address": m.addr, "Zone": zone, "Version": "v1", "Slots": 2, "State": state, "ColdRemainingMs": 0, "DatabaseRole": "replica", "Sequence": 1,
	})
	qt.Assert(b.tb, err, qt.IsNil)
}

// Unregister removes the target's entry from the store.
func (b *Bed) Unregister(m *Member) { b.Store.Delete("servers", string(m.ID)) }

// Crash simulates a crash of target i: its listener and connections are closed.
func (b *Bed) Crash(i int) {
	b.mu.Lock()
	b.Members[i].crashed = true
	m := b.Members[i]
	b.mu.Unlock()
	if m.relay != nil {
		m.relay.close()
	}
	m.Link.Close()
	m.Line.Close()
	_ = m.Server.Close()
}

// StopAnswering closes the line protocol of target i behind its link, which still
// accepts connections but closes them without an answer. The server keeps running.
func (b *Bed) StopAnswering(i int) { b.Members[i].Line.Close() }
