package gossip

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/lease"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the RPC service name of the digest exchange.
const ServiceName = "Gossip"

const exchangeMethod = ServiceName + ".Exchange"

// Host describes a host as it announces itself.
type Host struct {
	Addr    topology.HostID // at which other hosts reach it
	Name    string
	Domain  topology.Domain
	Boot    uint64 // incarnation of its process
	Leaving bool
	UpFor   time.Duration // time since its process started
	// Connected tells whether it was in contact with most of the fleet at its last
	// round. Only hosts that share their domain's vote announce it.
	Connected bool
	Weight    float64 // the host's share of a processor core; 0: unknown
}

// HostPlace is what the choice of holders depends on besides a host's address. Hosts that
// chose without it for those that they haven't heard from yet, half of 139 in the first
// seconds, would choose others than the rest of the fleet.
type HostPlace struct {
	Domain topology.Domain // "": unknown
	Weight float64         // see Host
}

// LastSeen holds the time since a host was last seen, directly or as reported by others.
type LastSeen struct {
	Host uint64 // hashAddr of its address, which takes a third of the bytes
	Ago  uint16 // in heardAgeUnit, rounded up so that relaying never makes a dead host look younger
}

const (
	heardAgeUnit = 10 * time.Millisecond
	maxHeardAge  = math.MaxUint16 // in heardAgeUnit; hosts last seen earlier aren't reported
	// heardSampleSize is how many hosts of a large fleet one answer reports in
	// addition to the holders of duties. With ten answers a second in a fleet of
	// 86, a host gets about four reports a second on each other host, for 5 KB/s.
	heardSampleSize = 32
)

// hashAddr returns the hash that identifies a host's address in LastSeen.
func hashAddr(id topology.HostID) uint64 { return xxhash.Sum64String(string(id)) }

// Digest is the state that a host sends to another one in an exchange.
type Digest struct {
	From          Host
	Configuration uint64 // version of the configuration that the sender has
	// Register is the position of the target registry that the sender has, and
	// StoreEra the store's newest era that it knows of.
	Register catalog.StorePosition
	StoreEra uint64
	// FetchesSnapshots tells that the sender fetches newer snapshots by itself and lets others
	// fetch its own. Hosts of earlier versions don't.
	FetchesSnapshots bool
	// Sum is a checksum over Hosts and Claims. Both are omitted if the latest
	// digest of the other host had the same Sum.
	Sum   uint64
	Hosts []topology.HostID
	// Places are those of Hosts, in the same order. Hosts of earlier versions send none.
	Places []HostPlace
	Heard  []LastSeen
	// ConfigurationRead and RegisterRead are the times since any host last read
	// the configuration and the registry from the store, as far as the sender knows.
	ConfigurationRead, RegisterRead time.Duration
	// ConfigurationConfirmed is the age of the newest read of the store that is known to have
	// found no version newer than Configuration. It is above 0 except from hosts of earlier
	// versions.
	ConfigurationConfirmed time.Duration
	// RegisterConfirmed is the same for Register.
	RegisterConfirmed time.Duration
	Claims            []duty.Claim // who holds which duty (see package duty)
	Offers            []Offer
}

// Offer states that a host has connections to targets of a group. Other hosts may
// use them by forwarding statements to that host.
type Offer struct {
	Group topology.GroupID
	Leads bool // one of the connections is to the target that the host considers the leader
	placement.Load
	Open int // number of open connections to targets of the group
	// Last is the latest leader that the host knows of, and ProvedAgo the time
	// since its leadership was last proved.
	Last      topology.TargetID
	ProvedAgo time.Duration
}

// clearAges clears the ages, which the receiver of a request ignores (see mergeAges).
func (d *Digest) clearAges() {
	d.Heard, d.ConfigurationRead, d.RegisterRead = nil, 0, 0
}

// DigestReply is the answer to a Digest: the digest of the answering host.
type DigestReply struct {
	Digest
	// NewConfiguration and NewRegister are set for callers that don't fetch snapshots,
	// if theirs are older.
	NewConfiguration *catalog.Configuration
	NewRegister      *catalog.Registry
	Leases           []lease.Lease // on groups to which the caller has connections
}
