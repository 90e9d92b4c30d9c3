package platform

import "time"

// Outage tells how the platform is out of reach.
type Outage string

// The kinds of outage.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // connections are closed without an answer
	OutageSilent Outage = "silent" // requests get no answer until the outage ends
)

// Faults is what the stand-in does wrong at present.
type Faults struct {
	Outage       Outage        `json:"outage"`
	Delay        time.Duration `json:"delay"`          // before each answer, in nanoseconds
	DropAnswers  int           `json:"drop_answers"`   // next writes that take effect without an answer
	HostLag      time.Duration `json:"host_lag"`       // until a host's change is listed, in nanoseconds
	WritesPerSec float64       `json:"writes_per_sec"` // above it writes are refused; 0: no bound
	ReadsPerSec  float64       `json:"reads_per_sec"`  // above it reads are refused; 0: no bound
}
