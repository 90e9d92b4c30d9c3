package share

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

func newHosts(n int) []topology.Host {
	var hosts []topology.Host
	for i := range n {
		hosts = append(hosts, topology.Host{ID: topology.HostID(fmt.Sprintf("host-%d", i)), State: topology.HostLive})
	}
	return hosts
}

func TestHoldersFollowHostList(t *testing.T) {
	var h Holders
	first := h.ForGroup("g", 7, newHosts(86), 1)
	qt.Assert(t, first, qt.HasLen, 7)
	qt.Check(t, h.ForGroup("g", 7, newHosts(86), 1), qt.DeepEquals, first)
	qt.Check(t, h.ForGroup("g", 3, newHosts(86), 1), qt.HasLen, 3)
	qt.Check(t, h.ForGroup("g", 5, newHosts(5), 2), qt.HasLen, 5)
}

// The lookup for each request must not cost more in a larger fleet, so it must
// not allocate.
func TestHoldersAreCached(t *testing.T) {
	var h Holders
	hosts := newHosts(300)
	qt.Check(t, testing.AllocsPerRun(100, func() { h.ForGroup("g", 7, hosts, 1) }), qt.Equals, 0.0)
}
