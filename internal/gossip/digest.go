package gossip

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ServiceName is the name under which hosts exchange digests.
const ServiceName = "Gossip"

const exchangeMethod = ServiceName + ".Exchange"

// Host is a host as it announces itself.
type Host struct {
	Addr    topology.HostID // for other hosts
	Name    string
	Domain  topology.Domain
	Boot    uint64 // incarnation of its process
	Leaving bool
	UpFor   time.Duration // since its process started
}

// Heard says how long ago a host was heard of, directly or through others.
type Heard struct {
	Host uint64 // keyOf its address, which takes a third of the bytes
	Ago  uint16 // in heardUnit, rounded up: a dead host grows older with each teller
}

const (
	heardUnit = 10 * time.Millisecond
	heardMost = math.MaxUint16 // what is older is not told
	// sample is how many hosts of a large fleet one answer tells of beside the
	// holders of duties. With ten answers a second a host of 86 hears of each
	// other one about four times a second, for 5 KB/s.
	sample = 32
)

// keyOf stands for a host's address.
func keyOf(id topology.HostID) uint64 { return xxhash.Sum64String(string(id)) }

// Digest is what one host tells another.
type Digest struct {
	From          Host
	Configuration uint64 // versions that it knows
	Register      uint64
	// Sum stands for Hosts and Claims, which are left out where the other host
	// told the same sum last.
	Sum   uint64
	Hosts []topology.HostID
	Heard []Heard
	// ConfigurationRead and RegisterRead are how long ago the store was last
	// read, as far as the host knows.
	ConfigurationRead, RegisterRead time.Duration
	Claims                          []duty.Claim
	Offers                          []Offer
}

// Offer says that a host has connections to targets of a group, which other
// hosts may use by sending it their statements.
type Offer struct {
	Group topology.GroupID
	Leads bool // one of them to the target that the host believes to lead
	placement.Load
	Open int
	// Last is the target that led last, as far as the host knows, and ProvedAgo
	// how long ago that was proved.
	Last      topology.TargetID
	ProvedAgo time.Duration
}

// forgetAges drops what the host asked doesn't use.
func (d *Digest) forgetAges() {
	d.Heard, d.ConfigurationRead, d.RegisterRead = nil, 0, 0
}

// News is the answer: the other's digest, and what the asker lacks.
type News struct {
	Digest
	NewConfiguration *catalog.Configuration
	NewRegister      *catalog.Register
}
