package settings

import "time"

const (
	minKeyBytes     = 16       // shorter shared keys can be guessed
	minMessageBytes = 64 << 10 // a lower limit would reject ordinary statements
	maxMessageBytes = 1 << 30  // the protocol's own limit
	maxSessions     = 1_000_000
	maxDeadline     = time.Hour        // longer requests would outlive a host
	maxDrainTimeout = 10 * time.Minute // longer drains would exceed the time of one rollout step
)

// keys lists every setting except those of the operators and addresses sections, in
// the order of the documentation.
var keys = []key{
	{"host", "id", "", true, "a name", "names this process among live hosts", textSetter(func(s *Settings) *string { return (*string)(&s.Host.ID) }, checkName)},
	{"host", "domain", "", true, "a name", "failure domain of this host", textSetter(func(s *Settings) *string { return (*string)(&s.Host.Domain) }, checkName)},
	{"host", "caller_listen", "127.0.0.1:6432", false, "IP:PORT", "listener for callers (PostgreSQL protocol)", textSetter(func(s *Settings) *string { return &s.Host.CallerListen }, checkAddress)},
	{"host", "peer_listen", "127.0.0.1:6433", false, "IP:PORT", "listener for other hosts", textSetter(func(s *Settings) *string { return &s.Host.PeerListen }, checkAddress)},
	{"host", "admin_listen", "127.0.0.1:6434", false, "IP:PORT", "listener for operators (HTTP)", textSetter(func(s *Settings) *string { return &s.Host.AdminListen }, checkAddress)},
	{"host", "caller_advertise", "", false, "IP:PORT, empty: caller_listen", "address that callers dial", textSetter(func(s *Settings) *string { return &s.Host.CallerAdvertise }, checkOptionalAddress)},
	{"host", "peer_advertise", "", false, "IP:PORT, empty: peer_listen", "address that other hosts dial", textSetter(func(s *Settings) *string { return &s.Host.PeerAdvertise }, checkOptionalAddress)},
	{"host", "admin_advertise", "", false, "IP:PORT, empty: admin_listen", "address that operators dial", textSetter(func(s *Settings) *string { return &s.Host.AdminAdvertise }, checkOptionalAddress)},
	{"host", "drain_timeout", "30s", false, "0s to 10m", "longest wait for requests in flight at a planned stop", durationSetter(func(s *Settings) *time.Duration { return &s.Host.DrainTimeout }, 0, maxDrainTimeout)},

	{"platform", "address", "", true, "IP:PORT", "the platform's object API (HTTP)", textSetter(func(s *Settings) *string { return &s.Platform.Addr }, checkAddress)},
	{"platform", "calls_per_second", "5", false, "0.1 to 1000", "this process's budget of platform calls, waiting watches included", floatSetter(func(s *Settings) *float64 { return &s.Platform.CallsPerSecond }, 0.1, 1000)},

	{"peers", "key", "", true, "16 bytes or more", "secret that all hosts share", textSetter(func(s *Settings) *string { return &s.Peers.Key }, checkMinBytes(minKeyBytes))},
	{"peers", "seeds", "", false, "IP:PORT, ...", "hosts asked for the configuration while the platform is down", addressListSetter(func(s *Settings) *[]string { return &s.Peers.Seeds })},

	{"targets", "user", "nettlewalk", false, "text", "login of hosts at targets", textSetter(func(s *Settings) *string { return &s.Targets.User }, acceptAnyText)},
	{"targets", "password", "", false, "text", "password of that login", textSetter(func(s *Settings) *string { return &s.Targets.Password }, acceptAnyText)},
	{"targets", "database", "nettlewalk", false, "text", "database at targets", textSetter(func(s *Settings) *string { return &s.Targets.Database }, acceptAnyText)},

	{"callers", "allow_trust", "false", false, "true or false", "whether users without a verifier need no password", boolSetter(func(s *Settings) *bool { return &s.Callers.AllowTrust })},
	{"callers", "token_key", "", true, "16 bytes or more", "secret that signs session tokens, the same on all hosts", textSetter(func(s *Settings) *string { return &s.Callers.TokenKey }, checkMinBytes(minKeyBytes))},
	{"callers", "deadline", "10s", false, "10ms to 1h", "deadline of a request that names none", durationSetter(func(s *Settings) *time.Duration { return &s.Callers.Deadline }, 10*time.Millisecond, maxDeadline)},
	{"callers", "max_message_bytes", "16777216", false, "65536 to 1073741824", "largest request in bytes", intSetter(func(s *Settings) *int { return &s.Callers.MaxMessageBytes }, minMessageBytes, maxMessageBytes)},
	{"callers", "max_sessions", "10000", false, "1 to 1000000", "callers' connections of this host; more are refused", intSetter(func(s *Settings) *int { return &s.Callers.MaxSessions }, 1, maxSessions)},

	{"log", "level", "0", false, "0 to 2", "0: what operators need, 1: each refusal, 2: each request", intSetter(func(s *Settings) *int { return &s.Log.Level }, 0, 2)},
}
