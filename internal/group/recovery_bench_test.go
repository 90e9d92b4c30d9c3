package group

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// The choice of a target and the record of its answer run for each read.
func BenchmarkReadWithRecovery(b *testing.B) {
	for _, on := range []bool{false, true} {
		name := "off"
		if on {
			name = "on"
		}
		b.Run(name, func(b *testing.B) {
			g := New(Options{ID: "g", Dialer: leadingDialer{}, Log: logr.Discard(), Recovery: func() bool { return on }})
			defer g.Close()
			members := []catalog.Member{recoveryMember("a", "a"), recoveryMember("b", "b"), recoveryMember("c", "c")}
			g.SetMembers(members, func(topology.Target) int { return 2 })
			for len(g.Readers(topology.Position{})) < len(members) {
				time.Sleep(time.Millisecond)
			}
			for b.Loop() {
				id := g.Readers(topology.Position{})[0].ID
				g.NoteServed(id, time.Millisecond, &statement.Answer{})
			}
		})
	}
}
