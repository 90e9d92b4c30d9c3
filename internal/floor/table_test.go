package floor

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/target"
	"nettlewalk.example/nettlewalk/internal/topology"
)

func pos(offset uint64) topology.Position { return topology.Position{Term: 1, Offset: offset} }

func TestTableNeverLowersAFloor(t *testing.T) {
	members := []topology.Target{{ID: "a"}, {ID: "b"}}
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(rapid.IntRange(1, 4).Draw(t, "max"))
		lowest := map[string]topology.Position{}
		for range 40 {
			session := rapid.SampledFrom([]string{"s", "t", "u", "v", "w"}).Draw(t, "session")
			at := pos(rapid.Uint64Range(0, 100).Draw(t, "offset"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				table.Record(session, at)
				lowest[session] = topology.Later(lowest[session], at)
			case 1:
				table.BeginEpoch(Epoch{Lock: at.Offset}, at)
			case 2:
				table.Prune(members, []target.Status{{Target: rapid.SampledFrom([]topology.TargetID{"a", "b"}).Draw(t, "target"), Applied: at}})
			}
			floor := table.Floor(session)
			if !floor.AtLeast(lowest[session]) {
				t.Fatalf("floor %v of session %s is below the earlier %v", floor, session, lowest[session])
			}
			lowest[session] = floor
			if table.Len() > table.maxEntries {
				t.Fatalf("table has %d entries, above its limit", table.Len())
			}
		}
	})
}

func TestPruneWaitsForEveryTarget(t *testing.T) {
	members := []topology.Target{{ID: "a"}, {ID: "b"}}
	table := NewTable(MaxEntries)
	table.Record("s", pos(5))
	table.Prune(members, []target.Status{{Target: "a", Applied: pos(9)}})
	qt.Assert(t, table.Len(), qt.Equals, 1)
	qt.Assert(t, table.Floor("other"), qt.Equals, topology.Position{})
	table.Prune(members, []target.Status{{Target: "b", Applied: pos(5)}})
	qt.Assert(t, table.Len(), qt.Equals, 0)
	qt.Assert(t, table.Floor("s"), qt.Equals, pos(5))
}

// Every write that a majority has received must be at or below the confirmed
// position, whichever majority answers. No write is past the primary's position.
func TestConfirmedCoversEveryAcknowledgedWrite(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "targets")
		all := make([]target.Status, n)
		for i := range all {
			all[i] = target.Status{Target: topology.TargetID(fmt.Sprint(i)), Received: pos(rapid.Uint64Range(0, 9).Draw(t, "offset"))}
			all[0].Received = topology.Later(all[0].Received, all[i].Received)
		}
		all[0].Role = target.Primary
		var acknowledged topology.Position
		for _, s := range all {
			copies := 0
			for _, other := range all {
				if other.Received.AtLeast(s.Received) {
					copies++
				}
			}
			if copies > n/2 {
				acknowledged = topology.Later(acknowledged, s.Received)
			}
		}
		answers := rapid.Permutation(all).Draw(t, "order")[:rapid.IntRange(0, n).Draw(t, "answers")]
		round := QuorumRead{Term: 1, Primary: "0", Statuses: answers}
		if got, ok := Confirmed(n, round, customer.AckTerm); ok && got != all[0].Received {
			t.Fatalf("AckTerm: confirmed %v, but the primary is at %v", got, all[0].Received)
		}
		got, ok := Confirmed(n, round, customer.AckMajority)
		if ok != (len(answers) > n/2) {
			t.Fatalf("confirmed position with %d of %d answers: ok is %v", len(answers), n, ok)
		}
		if ok && !got.AtLeast(acknowledged) {
			t.Fatalf("confirmed %v, acknowledged %v", got, acknowledged)
		}
		if len(answers) == n && got != acknowledged {
			t.Fatalf("confirmed %v with all answers, acknowledged %v", got, acknowledged)
		}
	})
}

// BenchmarkTableMemory reports the heap bytes per entry of a table.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range []int{1_000, 10_000, MaxEntries} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var perEntry float64
			for b.Loop() {
				before := heapBytes()
				table := NewTable(MaxEntries)
				for i := range n {
					table.Record(fmt.Sprintf("session-%020d", i), pos(uint64(i)))
				}
				perEntry = float64(heapBytes()-before) / float64(n)
				runtime.KeepAlive(table)
			}
			b.ReportMetric(perEntry, "heap-B/entry")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
