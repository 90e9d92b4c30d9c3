package settings

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Settings holds all values of a host's settings file.
type Settings struct {
	Host       Host
	Platform   Platform
	Peers      Peers
	Targets    Targets
	Callers    Callers
	Operators  []Operator
	AddressMap map[string]string // maps published addresses to the addresses to dial
	Log        Log
}

// Host holds the identity and the listener addresses of this process.
type Host struct {
	ID              topology.HostID
	Domain          topology.Domain
	CallerListen    string // host:port
	PeerListen      string // host:port
	AdminListen     string // host:port
	CallerAdvertise string // host:port that callers dial
	PeerAdvertise   string // host:port that other hosts dial
	AdminAdvertise  string // host:port that operators dial
	DrainTimeout    time.Duration
}

// Platform holds the address and the call budget of the platform's object API.
type Platform struct {
	Addr           string  // host:port
	CallsPerSecond float64 // call budget of this process
}

// Peers holds the key with which hosts authenticate each other and the addresses of
// the first peers to contact.
type Peers struct {
	Key   string
	Seeds []string // host:port
}

// Targets holds the credentials and the database with which hosts log in to targets.
type Targets struct {
	User     string
	Password string
	Database string
}

// Callers holds the authentication settings and limits of callers.
type Callers struct {
	AllowTrust      bool // users without a password verifier log in without a password
	TokenKey        string
	Deadline        time.Duration // deadline of a request that sets none
	MaxMessageBytes int
	MaxSessions     int
}

// Operator is a user of the administration API with a bearer token.
type Operator struct {
	Name      string
	Token     string
	Customers []topology.CustomerID // customers that the operator may access; empty means all
}

// Log holds the logging settings.
type Log struct {
	Level int // 0: events for operators, 1: also each refusal, 2: also each request
}

// HostInfo returns the host's record as other hosts see it.
func (s *Settings) HostInfo() topology.Host {
	return topology.Host{
		ID:         s.Host.ID,
		Domain:     s.Host.Domain,
		PeerAddr:   s.Host.PeerAdvertise,
		CallerAddr: s.Host.CallerAdvertise,
		AdminAddr:  s.Host.AdminAdvertise,
		State:      topology.HostLive,
	}
}
