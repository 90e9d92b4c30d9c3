package failover

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func BenchmarkStatus(b *testing.B) {
	now := time.Now()
	m := NewMachine("h0", *fakeGroup, TimingsFor(1), customer.AckMajority, now)
	for i := range b.N {
		now = now.Add(10 * time.Millisecond)
		pos := topology.Position{Term: 1, Offset: uint64(i)}
		id := fakeGroup.Targets[i%3].ID
		st := target.Status{Target: id, Role: target.Replica, Term: 1, Primary: "t0", Received: pos, Applied: pos}
		if id == "t0" {
			st.Role = target.Primary
		}
		m.Step(now, StatusAnswered{Status: st, SentAt: now})
	}
}

func BenchmarkTick(b *testing.B) {
	now := time.Now()
	m := NewMachine("h0", *fakeGroup, TimingsFor(1), customer.AckMajority, now)
	for range b.N {
		now = now.Add(time.Microsecond)
		m.Step(now, Tick{})
	}
}

func BenchmarkCanConfirm(b *testing.B) {
	now := time.Now()
	m := NewMachine("h0", *fakeGroup, TimingsFor(1), customer.AckMajority, now)
	for range b.N {
		_ = m.CanConfirm(now)
	}
}

// BenchmarkGroupMemory reports the memory that the machine of one group takes.
func BenchmarkGroupMemory(b *testing.B) {
	const groups = 10_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	machines := make([]*Machine, groups)
	for i := range machines {
		g := *fakeGroup
		g.ID = topology.GroupID(fmt.Sprintf("g%d", i))
		machines[i] = NewMachine("h0", g, TimingsFor(1), customer.AckMajority, time.Now())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/groups, "B/group")
	runtime.KeepAlive(machines)
}
