package share

// Constants of the plan.
const (
	// sparePart of a target's connections stays free: a killed host's linger for
	// seconds while its successor opens its own.
	sparePart = 8
	// leastShare of a host, in connections. Below it, a transaction blocks
	// every other statement.
	leastShare = 1
)

// Plan returns how many connections to one target each of so many hosts keeps
// open, for the target's limit on connections from all of them.
func Plan(limit, hosts int) int {
	if hosts < 1 {
		hosts = 1
	}
	return max(leastShare, (limit-limit/sparePart)/hosts)
}
