package gossip

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/duty"
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
	Host topology.HostID
	Ago  time.Duration
}

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
	Idle  int  // without work, less the requests that wait
	Open  int
	// Last is the target that led last, as far as the host knows, and ProvedAgo
	// how long ago that was proved.
	Last      topology.TargetID
	ProvedAgo time.Duration
}

// News is the answer: the other's digest, and what the asker lacks.
type News struct {
	Digest
	NewConfiguration *catalog.Configuration
	NewRegister      *catalog.Register
}
