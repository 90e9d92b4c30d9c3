// Package lease grants leases on the leadership of groups.
//
// A target that was replaced may go on to lead, as far as it knows: nobody has to
// reach it for a promotion. What it answers then misses commits of the new leader.
// A host therefore uses a target as the leader only while it has a lease on that
// target's leadership, and no promotion takes effect before all leases on the old
// leader have ended.
//
// The host that holds a group's duty (package duty) grants the leases. Grantor
// records them and ends them: a lessee confirms a revocation at once; the lease of
// one that doesn't answer ends after MaxLifetime. Lessee renews this host's leases
// and Table says which ones are valid. A lease counts from the time at which its
// request was sent, so an answer that was held up brings a shorter lease, never a
// longer one.
//
// All times are those of package steady, whose clock advances while a host is
// suspended.
package lease
