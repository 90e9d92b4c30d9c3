package duty

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// countingHosts counts how often the list of live hosts is asked for.
type countingHosts struct {
	fakeHosts
	lists int
}

func (h *countingHosts) Live() []topology.Host {
	h.lists++
	return h.fakeHosts.Live()
}

// While other hosts hold all duties, a check must compute no rank. Ranks among 139 hosts for
// each of 8 groups, five times a second, took two fifths of the control's processor time.
func TestChecksOfHeldDutiesComputeNoRanks(t *testing.T) {
	h := &countingHosts{fakeHosts: fakeHosts{connected: true}}
	k := newKeeper(&fakeStore{}, &h.fakeHosts)
	k.opts.Hosts = h
	var ids []topology.GroupID
	for i := range 200 {
		id := topology.GroupID(fmt.Sprint("g", i))
		ids = append(ids, id)
		k.Learn(Claim{Group: id, Holder: "b", Token: 1})
	}
	k.SetGroups(ids)
	for range 10 {
		qt.Check(t, k.dueClaims(steady.Now()), qt.HasLen, 0)
		qt.Check(t, k.claimsToHandOver(steady.Now()), qt.HasLen, 0)
	}
	qt.Check(t, h.lists, qt.Equals, 0)
	h.silentFor = time.Minute
	qt.Check(t, k.dueClaims(steady.Now()), qt.HasLen, 200)
	qt.Check(t, h.lists, qt.Equals, 1)
}

// Claims are listed for each message to another host; the list must be built anew only
// after a change, and then contain it.
func TestClaimListFollowsChanges(t *testing.T) {
	k := newKeeper(&fakeStore{}, &fakeHosts{connected: true})
	k.Learn(Claim{Group: "b", Holder: "x", Token: 1})
	k.Learn(Claim{Group: "a", Holder: "x", Token: 1})
	first := k.Claims()
	qt.Check(t, first, qt.DeepEquals, []Claim{{Group: "a", Holder: "x", Token: 1}, {Group: "b", Holder: "x", Token: 1}})
	qt.Check(t, testing.AllocsPerRun(100, func() { k.Claims() }), qt.Equals, 0.0)
	k.Learn(Claim{Group: "a", Holder: "y", Token: 2})
	qt.Check(t, k.Claims()[0].Holder, qt.Equals, topology.HostID("y"))
	qt.Check(t, first[0].Holder, qt.Equals, topology.HostID("x"))
}
