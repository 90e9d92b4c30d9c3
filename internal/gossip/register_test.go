package gossip

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Each change of a large register was sent whole to every host, a hundred times
// while its targets started.
func TestALargeRegisterIsTakenNowAndThen(t *testing.T) {
	n := newNetwork("north", "south")
	a, b := n.hosts["a"], n.hosts["b"]
	register := func(revision uint64, targets int) {
		members := map[topology.TargetID]catalog.Member{}
		for i := range targets {
			id := topology.TargetID(rune('A' + i))
			members[id] = catalog.Member{Target: topology.Target{ID: id}}
		}
		b.opts.Catalog.OfferRegister(&catalog.Register{Revision: revision, Members: members})
	}
	known := func() uint64 {
		_, revision := a.opts.Catalog.Versions()
		return revision
	}
	register(1, 1000)
	n.round()
	qt.Check(t, known(), qt.Equals, uint64(1))
	register(2, 1000)
	n.round()
	qt.Check(t, known(), qt.Equals, uint64(1))
	a.registerAfter = a.begun // the pause is over
	n.round()
	qt.Check(t, known(), qt.Equals, uint64(2))
}
