package locality

import (
	"slices"
	"sort"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Crossings returns how many times a statement and its answer cross domains if a
// host forwards it to a holder, which sends it to a target: between the two hosts,
// and between the holder and the nearest of the targets' domains. Without known
// targets only the first counts.
func Crossings(own, holder topology.Domain, targets []topology.Domain) int {
	n := 0
	if holder != own {
		n++
	}
	if len(targets) > 0 && !slices.Contains(targets, holder) {
		n++
	}
	return n
}

// HoldersPerDomain distributes the n holders of a group over the domains, in proportion to their
// hosts. Each domain with hosts gets at least one if there are enough, so that its
// statements don't have to leave it to reach a holder. No domain gets more than it has
// hosts. All hosts with the same list compute the same result.
func HoldersPerDomain(hosts map[topology.Domain]int, n int) map[topology.Domain]int {
	domains := make([]topology.Domain, 0, len(hosts))
	total := 0
	for domain, count := range hosts {
		if count > 0 {
			domains = append(domains, domain)
			total += count
		}
	}
	slices.Sort(domains)
	holders := make(map[topology.Domain]int, len(domains))
	if total == 0 {
		return holders
	}
	n = min(n, total)
	rest := n
	if n >= len(domains) {
		for _, domain := range domains {
			holders[domain] = 1
			rest--
		}
	}
	for ; rest > 0; rest-- {
		// The next holder goes to the domain that is furthest below its proportion.
		sort.SliceStable(domains, func(i, j int) bool {
			return missing(hosts, holders, domains[i], n, total) > missing(hosts, holders, domains[j], n, total)
		})
		holders[domains[0]]++
	}
	return holders
}

// missing returns by how many holders, times total, a domain is below its proportion of
// n, or a value below any such number if each of its hosts has one.
func missing(hosts, holders map[topology.Domain]int, domain topology.Domain, n, total int) int {
	if holders[domain] >= hosts[domain] {
		return -n*total - 1
	}
	return hosts[domain]*n - holders[domain]*total
}
