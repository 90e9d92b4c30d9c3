package routing

import (
	"testing"

	"nettlewalk.example/nettlewalk/internal/pool"
)

func BenchmarkChooseRead(b *testing.B) {
	view := threeTargets()
	b.ReportAllocs()
	for b.Loop() {
		Choose(Ask{Class: pool.Read, Floor: at(10), Slot: anySlot}, view)
	}
}

func BenchmarkChooseWrite(b *testing.B) {
	view := threeTargets()
	b.ReportAllocs()
	for b.Loop() {
		Choose(Ask{Class: pool.Write, Slot: 1}, view)
	}
}

// BenchmarkRun is the whole of routing around an executor that answers at once.
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
