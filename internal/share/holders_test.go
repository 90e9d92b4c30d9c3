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

// Drawn over all hosts, the 7 holders of a group may leave a failure domain without
// any; all statements of its hosts then cross to another one.
func TestHoldersByDomain(t *testing.T) {
	hosts := newHosts(139)
	for i := range hosts {
		hosts[i].Domain = topology.Domain([]string{"a", "b", "c", "d"}[i%4])
	}
	var h, plain Holders
	without := 0
	for group := range 100 {
		id := topology.GroupID(fmt.Sprint("g", group))
		count := map[topology.Domain]int{}
		seen := map[topology.HostID]bool{}
		for _, host := range h.ForGroupByDomain(id, 7, hosts, 1) {
			count[host.Domain]++
			seen[host.ID] = true
		}
		qt.Check(t, seen, qt.HasLen, 7)
		qt.Check(t, count, qt.HasLen, 4)
		domains := map[topology.Domain]bool{}
		for _, host := range plain.ForGroup(id, 7, hosts, 1) {
			domains[host.Domain] = true
		}
		if len(domains) < 4 {
			without++
		}
	}
	t.Logf("%d of 100 groups leave a domain without holders if they are drawn over all hosts", without)
	qt.Check(t, without > 0, qt.IsTrue)
}
