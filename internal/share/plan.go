package share

// Constants of the plan.
const (
	// sparePart of a target's connections stays free: a killed host's linger for
	// seconds while its successor opens its own.
	sparePart = 8
	// usefulShare is what a host needs at least to serve transactions beside
	// single statements, in connections. Where a limit doesn't allow even one
	// for every host of a large fleet, some hosts hold so many for the others.
	usefulShare = 3
)

// Plan returns how many hosts hold connections to one target, and how many each
// of them keeps open, for the target's limit on connections from all hosts.
func Plan(limit, hosts int) (holders, size int) {
	hosts = max(hosts, 1)
	room := max(limit-limit/sparePart, 1)
	if hosts <= room {
		return hosts, room / hosts
	}
	return max(room/usefulShare, 1), min(usefulShare, room)
}
