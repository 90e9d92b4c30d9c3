package configcheck

import (
	"fmt"

	"nettlewalk.example/nettlewalk/internal/catalog"
)

// Severity tells what follows from a finding.
type Severity string

// The severities.
const (
	Error   Severity = "error"   // hosts refuse the configuration, or an entry can never have an effect
	Warning Severity = "warning" // it has an effect that is most likely not intended
	Change  Severity = "change"  // a difference to another version
)

// Finding is one result of a check or a comparison.
type Finding struct {
	Severity Severity `json:"severity"`
	Place    string   `json:"place"` // the field, such as Routes[2].Service
	Text     string   `json:"text"`
}

// String returns the finding as one line.
func (f Finding) String() string { return fmt.Sprintf("%s %s: %s", f.Severity, f.Place, f.Text) }

// Names has the words of the configuration's written form.
type Names struct {
	Routes, Groups, Customers string // lists of entries
	Group, Customer           string // one entry, in texts
	Version, TransactionIdle  string

	// Fields of a route.
	Database, RouteGroup, Freshness, MaxAge, StatementTimeout, LatencyGoal string
	// Fields of a group. ID is also a field of a customer.
	ID, MaxConnections, AckReplicas string
	// Fields of a customer.
	Keys, Rate, Burst string
	// Priority is a field of routes and of customers.
	Priority string

	// Kinds has the names of the consistency levels.
	Kinds map[catalog.Freshness]string
	// Sendable reports whether a name or key can be sent in a message of the protocol.
	Sendable func(string) bool
}

// checker collects findings.
type checker struct {
	names    *Names
	findings []Finding
}

func (c *checker) add(s Severity, place, format string, args ...any) {
	c.findings = append(c.findings, Finding{s, place, fmt.Sprintf(format, args...)})
}

// entry returns the place of an entry of a list.
func entry(list string, index int) string { return fmt.Sprintf("%s[%d]", list, index) }
