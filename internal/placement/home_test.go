package placement

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// A customer's statements go to its home hosts, the nearest free one first, so that few
// hosts have its connections; then to the next holder in order, and only then to a home
// host without a free connection.
func TestPickHome(t *testing.T) {
	order := []topology.HostID{"home-1", "home-2", "next", "last"}
	pick := func(need Requirements, offers ...Offer) topology.HostID {
		o, ok := PickHome(offers, need, order, 2, seededIntN)
		if !ok {
			return ""
		}
		return o.Host
	}
	last, next := offer("last", true, 9, 9), offer("next", true, 1, 1)
	qt.Check(t, pick(Requirements{}, last, next, offer("home-1", false, 1, 1), offer("home-2", true, 0, 0)), qt.Equals, topology.HostID("home-1"))
	qt.Check(t, pick(Requirements{}, last, next, offer("home-1", false, 5, 5), offer("home-2", true, 1, 1)), qt.Equals, topology.HostID("home-2"))
	full := []Offer{last, next, offer("home-1", true, 0, 0), offer("home-2", true, -2, -2)}
	qt.Check(t, pick(Requirements{}, full...), qt.Equals, topology.HostID("next"))
	qt.Check(t, pick(Requirements{Exclude: []topology.HostID{"next"}}, full...), qt.Equals, topology.HostID("last"))
	qt.Check(t, pick(Requirements{}, full[2:]...), qt.Equals, topology.HostID("home-1"))
	qt.Check(t, pick(Requirements{FreeOnly: true}, full[2:]...), qt.Equals, topology.HostID(""))
	unknown := Offer{Host: "home-1", Leads: true} // holds connections according to the plan
	qt.Check(t, pick(Requirements{NeedsLeader: true}, last, next, unknown), qt.Equals, topology.HostID("home-1"))
	qt.Check(t, pick(Requirements{}, offer("elsewhere", true, 1, 1)), qt.Equals, topology.HostID("elsewhere"))
}
