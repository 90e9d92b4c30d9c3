package platform

import "time"

// Outage is the way in which the platform is unreachable.
type Outage string

// Outage modes.
const (
	OutageNone   Outage = ""
	OutageRefuse Outage = "refuse" // connections are closed without a response
	OutageSilent Outage = "silent" // requests get no response until the outage ends
)

// Faults are the faults that the stand-in simulates.
type Faults struct {
	Outage        Outage        `json:"outage"`
	Delay         time.Duration `json:"delay"`          // before each response, in nanoseconds
	DropResponses int           `json:"drop_answers"`   // number of upcoming writes that take effect without a response
	HostLag       time.Duration `json:"host_lag"`       // delay before a host change appears in lists, in nanoseconds
	WritesPerSec  float64       `json:"writes_per_sec"` // limit above which writes are refused; 0 means no limit
	ReadsPerSec   float64       `json:"reads_per_sec"`  // limit above which reads are refused; 0 means no limit
}
