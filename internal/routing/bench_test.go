package routing

import (
	"testing"

	"nettlewalk.example/nettlewalk/internal/pool"
)

func BenchmarkChooseRead(b *testing.B) {
	view := threeTargets()
	b.ReportAllocs()
	for b.Loop() {
		Choose(Criteria{Class: pool.Read, Floor: pos(10), Slot: anySlot}, view)
	}
}

func BenchmarkChooseWrite(b *testing.B) {
	view := threeTargets()
	b.ReportAllocs()
	for b.Loop() {
		Choose(Criteria{Class: pool.Write, Slot: 1}, view)
	}
}

// BenchmarkRun measures routing with an executor that answers at once.
func BenchmarkRun(b *testing.B) {
	f := newFakeGroup()
	f.answer = func(*pool.Request) (*pool.Reply, error) {
		f.requests = f.requests[:0]
		return &pool.Reply{TxStatus: 'I'}, nil
	}
	c := f.open()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := run(c, Call{Class: pool.Read, Floor: FloorSource{Known: true}}); err != nil {
			b.Fatal(err)
		}
	}
}
