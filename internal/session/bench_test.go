package session

import (
	"fmt"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"
)

func BenchmarkParseStatements(b *testing.B) {
	for _, size := range []int{1, 16, 256} {
		sql := "insert into bookings (id, crew) values ('a', 'b')"
		for range size {
			sql += ", ('booking-0000001', 'crew-1')"
		}
		b.Run(fmt.Sprintf("bytes=%d", len(sql)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				parseStatements(sql)
			}
		})
	}
}

// BenchmarkPreparedSelect measures the session's share of a statement's latency:
// one client over loopback and a target that answers at once.
func BenchmarkPreparedSelect(b *testing.B) {
	_, addr := startServer(b, &fakeRouter{}, nil)
	conn := connect(b, dsn(addr, "crew", ""))
	ctx := b.Context()
	var got string
	b.ReportAllocs()
	for b.Loop() {
		qt.Assert(b, conn.QueryRow(ctx, "select $1", "a").Scan(&got), qt.IsNil)
	}
}

// BenchmarkIdleSessions reports the memory of an idle session, including the
// client's end of its socket.
func BenchmarkIdleSessions(b *testing.B) {
	for _, n := range []int{250, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			_, addr := startServer(b, &fakeRouter{}, nil)
			before := memoryInUse()
			for b.Loop() { // runs once; the reported time is that of n logins
				for range n {
					login(b, addr, "crew").Frontend = nil
				}
			}
			b.ReportMetric(float64(memoryInUse()-before)/float64(n*b.N), "B/session")
		})
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
