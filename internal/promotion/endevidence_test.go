package promotion

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// A target in domain b, whose leader is in a, has ended only if nobody reaches it, and hosts
// of both domains and of most domains tell so.
func TestEndNeedsEvidenceOfTheDomainsConcerned(t *testing.T) {
	const long = unregisteredDeadAfter + 1
	answer := func(d topology.Domain, r DialResult) HostAnswer { return HostAnswer{Domain: d, Result: r} }
	silent := func(domains ...topology.Domain) (list []HostAnswer) {
		for _, d := range domains {
			list = append(list, answer(d, TargetSilent))
		}
		return list
	}
	for _, test := range []struct {
		name            string
		domains         []topology.Domain
		answers         []HostAnswer
		target, leader  topology.Domain
		unregisteredFor time.Duration
		age             time.Duration
		want            endVerdict
	}{
		{"all silent", []topology.Domain{"a", "b", "c"}, silent("a", "b", "c"), "b", "a", long, 0, endPresumed},
		{"refused and silent", []topology.Domain{"a", "b", "c"}, append(silent("a"), answer("b", TargetRefused)), "b", "a", long, 0, endPresumed},
		{"one host of a domain answers", []topology.Domain{"a", "b"}, append(silent("a", "b"), answer("a", NotDialed), answer("b", NotDialed)), "b", "a", long, 0, endPresumed},
		{"leader in the same domain", []topology.Domain{"a", "b", "c"}, silent("b", "c"), "b", "b", long, 0, endPresumed},
		{"one domain", []topology.Domain{"b"}, silent("b"), "b", "b", long, 0, endPresumed},
		{"target's domain has no hosts", []topology.Domain{"a", "c"}, silent("a", "c"), "b", "a", long, 0, endPresumed},
		{"alive in its own domain", []topology.Domain{"a", "b", "c"}, append(silent("a", "b", "c"), answer("b", TargetAlive)), "b", "a", long, 0, endRefuted},
		{"alive in the leader's domain", []topology.Domain{"a", "b", "c"}, append(silent("a", "b", "c"), answer("a", TargetAlive)), "b", "a", long, 0, endRefuted},
		{"alive in a third domain", []topology.Domain{"a", "b", "c"}, append(silent("a", "b"), answer("c", TargetAlive)), "b", "a", long, 0, endRefuted},
		{"nobody answers", []topology.Domain{"a", "b", "c"}, nil, "b", "a", long, 0, endUncertain},
		{"target's domain doesn't answer", []topology.Domain{"a", "b", "c"}, append(silent("a", "c"), answer("b", NotDialed)), "b", "a", long, 0, endUncertain},
		{"leader's domain doesn't answer", []topology.Domain{"a", "b", "c"}, append(silent("b", "c"), answer("a", NotDialed)), "b", "a", long, 0, endUncertain},
		{"half of the domains", []topology.Domain{"a", "b", "c", "d"}, silent("a", "b"), "b", "a", long, 0, endUncertain},
		{"leader unknown", []topology.Domain{"a", "b", "c"}, silent("a", "b", "c"), "b", "", long, 0, endUncertain},
		{"target's domain unknown", []topology.Domain{"a", "b", "c"}, silent("a", "b", "c"), "", "a", long, 0, endUncertain},
		{"registered recently", []topology.Domain{"a", "b", "c"}, silent("a", "b", "c"), "b", "a", unregisteredDeadAfter, 0, endUncertain},
		{"answers too old", []topology.Domain{"a", "b", "c"}, silent("a", "b", "c"), "b", "a", long, endEvidenceMaxAge + 1, endUncertain},
	} {
		askedAt := time.Unix(1000, 0)
		got, reason := judgeEnd(&EndEvidence{AskedAt: askedAt, Domains: test.domains, Answers: test.answers}, test.target, test.leader, test.unregisteredFor, askedAt.Add(test.age))
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%s: %s", test.name, reason))
	}
}
