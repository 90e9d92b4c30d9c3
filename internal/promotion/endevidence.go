package promotion

import (
	"fmt"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// DialResult is what a host found when it dialed a target.
type DialResult uint8

// The results.
const (
	NotDialed     DialResult = iota // the host gave no answer, or can't tell
	TargetAlive                     // the target accepted the connection
	TargetRefused                   // nothing listens at its address
	TargetSilent                    // no response to the connection request
)

// String returns the name used in logs.
func (r DialResult) String() string {
	switch r {
	case TargetAlive:
		return "alive"
	case TargetRefused:
		return "refused"
	case TargetSilent:
		return "silent"
	}
	return "no answer"
}

// HostAnswer is a host's answer to the question whether it reaches a target.
type HostAnswer struct {
	Host   topology.HostID
	Domain topology.Domain
	Result DialResult
	After  time.Duration // from the question to the answer
}

// String returns the form used in logs.
func (a HostAnswer) String() string {
	return fmt.Sprintf("%s in %s: %s after %d ms", a.Host, a.Domain, a.Result, a.After.Milliseconds())
}

// EndEvidence is what hosts of all failure domains found when they dialed a target.
type EndEvidence struct {
	AskedAt time.Time         // on the clock of package steady; every dial began later
	Domains []topology.Domain // all failure domains that have hosts
	Answers []HostAnswer
}

// endEvidenceMaxAge is how old answers may be. It covers the time that they take
// (see endCheckTimeout) and a tick of the watcher that dials silent targets.
const endEvidenceMaxAge = 2 * time.Second

// endVerdict is what follows from an EndEvidence.
type endVerdict uint8

const (
	endUncertain endVerdict = iota + 1 // too few hosts can tell
	endRefuted                         // a host reaches the target
	endPresumed                        // no host reaches the target
)

// String returns the name used in logs and metrics.
func (v endVerdict) String() string {
	switch v {
	case endPresumed:
		return "ended"
	case endRefuted:
		return "alive"
	}
	return "uncertain"
}

// judgeEnd decides whether a target that doesn't respond to this host is presumed to have
// ended when the hosts dialed it. It may be cut off from all of them and receive from the
// leader, so that nothing may rely on the presumption. target and leader are the failure
// domains of the target and of the group's leader. "" means unknown.
func judgeEnd(e *EndEvidence, target, leader topology.Domain, unregisteredFor time.Duration, now time.Time) (verdict endVerdict, reason string) {
	answered := map[topology.Domain]bool{}
	for _, a := range e.Answers {
		switch a.Result {
		case TargetAlive:
			return endRefuted, "another host reaches the target"
		case TargetRefused, TargetSilent:
			answered[a.Domain] = true
		}
	}
	isMissing := func(d topology.Domain) bool { return slices.Contains(e.Domains, d) && !answered[d] }
	switch {
	case unregisteredFor <= unregisteredDeadAfter:
		return endUncertain, "the target was registered recently"
	case now.Sub(e.AskedAt) > endEvidenceMaxAge:
		return endUncertain, "the answers are too old"
	case target == "" || leader == "":
		return endUncertain, "the failure domain of the target or the leader is unknown"
	case isMissing(target):
		return endUncertain, "no host in the target's failure domain answered"
	case isMissing(leader):
		return endUncertain, "no host in the leader's failure domain answered"
	case 2*len(answered) <= len(e.Domains):
		return endUncertain, "hosts in too few failure domains answered"
	}
	return endPresumed, "no host reaches the target"
}
