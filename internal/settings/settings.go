package settings

import (
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// Settings is everything that a host learns from its file.
type Settings struct {
	Host      Host
	Platform  Platform
	Peers     Peers
	Targets   Targets
	Callers   Callers
	Operators []Operator
	Addresses map[string]string // address as published to address as dialed
	Log       Log
}

// Host is this process's identity and its listeners.
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

// Platform tells how the platform's object API is reached.
type Platform struct {
	Addr           string  // host:port
	CallsPerSecond float64 // this process's budget
}

// Peers tells how hosts prove themselves to each other and find the first peer.
type Peers struct {
	Key   string
	Seeds []string // host:port
}

// Targets is the login of hosts at targets.
type Targets struct {
	User     string
	Password string
	Database string
}

// Callers bounds what callers may do.
type Callers struct {
	AllowTrust      bool // users without a verifier need no password
	TokenKey        string
	Deadline        time.Duration // of a request that names none
	MaxMessageBytes int
	MaxSessions     int
}

// Operator is one bearer token of the administration API.
type Operator struct {
	Name      string
	Token     string
	Customers []topology.CustomerID // empty: all
}

// Log chooses what is logged.
type Log struct {
	Level int // 0: what operators need, 1: each refusal, 2: each request
}

// HostInfo returns the host as other hosts see it.
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
