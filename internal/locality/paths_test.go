package locality

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// A holder in a third domain makes a statement for the leader cross twice.
func TestCrossings(t *testing.T) {
	leader := []topology.Domain{"b"}
	qt.Check(t, Crossings("a", "a", leader), qt.Equals, 1)
	qt.Check(t, Crossings("a", "b", leader), qt.Equals, 1)
	qt.Check(t, Crossings("a", "c", leader), qt.Equals, 2)
	qt.Check(t, Crossings("b", "b", leader), qt.Equals, 0)
	qt.Check(t, Crossings("a", "a", nil), qt.Equals, 0)
}

// With holders drawn over all hosts a domain may have none, and all of its statements
// leave it.
func TestEveryDomainGetsHolders(t *testing.T) {
	hosts := map[topology.Domain]int{"a": 35, "b": 35, "c": 35, "d": 34}
	holders := HoldersPerDomain(hosts, 21)
	sum := 0
	for domain := range hosts {
		qt.Check(t, holders[domain] >= 5, qt.IsTrue)
		sum += holders[domain]
	}
	qt.Check(t, sum, qt.Equals, 21)
	qt.Check(t, HoldersPerDomain(map[topology.Domain]int{"a": 60, "b": 6, "c": 1}, 10), qt.DeepEquals, map[topology.Domain]int{"a": 8, "b": 1, "c": 1})
	qt.Check(t, HoldersPerDomain(map[topology.Domain]int{"a": 2, "b": 1}, 9), qt.DeepEquals, map[topology.Domain]int{"a": 2, "b": 1})
	qt.Check(t, HoldersPerDomain(hosts, 2), qt.HasLen, 2)
	qt.Check(t, HoldersPerDomain(nil, 2), qt.HasLen, 0)
}
