package share

const (
	// spareDivisor sets the part of a target's connection limit that stays
	// free, 1/spareDivisor: a killed host's connections linger for seconds
	// while its successor opens its own.
	spareDivisor = 8
	// SharedHolderSize is the number of connections of each holder in a fleet
	// that is too large for one connection per host within the limit. Some
	// hosts then hold connections for the others. A holder needs at least this
	// many to serve transactions besides single statements.
	SharedHolderSize = 3
)

const (
	// CustomerHolderSize is the number of connections of each holder where connections
	// belong to customers: the customers at home at a holder must fit its connections.
	CustomerHolderSize = 8
	// minCustomerHolders is the number of holders that a small limit is divided among,
	// so that the loss of one host doesn't leave a group without connections.
	minCustomerHolders = 3
)

// PlanForCustomers is Plan where connections belong to customers: fewer holders with
// more connections each.
func PlanForCustomers(limit, hosts int) (holders, size int) {
	usable := max(limit-limit/spareDivisor, 1)
	holders = min(max(usable/CustomerHolderSize, minCustomerHolders), usable, max(hosts, 1))
	return holders, usable / holders
}

// Plan returns how many hosts hold connections to one target and how many each
// of them keeps open, given the target's limit on connections from all hosts
// together.
func Plan(limit, hosts int) (holders, size int) {
	hosts = max(hosts, 1)
	usable := max(limit-limit/spareDivisor, 1)
	if hosts <= usable {
		return hosts, usable / hosts
	}
	return max(usable/SharedHolderSize, 1), min(SharedHolderSize, usable)
}
