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

// BenchmarkStatement is the session's part of a statement's way: one caller
// over loopback, a target that answers at once.
func BenchmarkStatement(b *testing.B) {
	_, addr := start(b, &fakeRouter{}, nil)
	conn := connect(b, address(addr, "crew", ""))
	ctx := b.Context()
	var got string
	b.ReportAllocs()
	for b.Loop() {
		qt.Assert(b, conn.QueryRow(ctx, "select $1", "a").Scan(&got), qt.IsNil)
	}
}

// BenchmarkIdleSessions reports the memory that a waiting session holds, the
// caller's end of its socket included.
func BenchmarkIdleSessions(b *testing.B) {
	for _, n := range []int{250, 500, 1000, 2000} {
		b.Run(fmt.Sprintf("sessions=%d", n), func(b *testing.B) {
			_, addr := start(b, &fakeRouter{}, nil)
			before := memory()
			for b.Loop() { // once: its time is a login's
				for range n {
					login(b, addr, "crew").Frontend = nil
				}
			}
			b.ReportMetric(float64(memory()-before)/float64(n*b.N), "B/session")
		})
	}
}

// memory returns the bytes of heap and stacks in use.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
