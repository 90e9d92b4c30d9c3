package catalog

// Entries are a configuration's entries in the order in which its author wrote them,
// including those that have no effect because another entry has the same name. Times are
// in milliseconds as written, because findings quote them.
type Entries struct {
	Routes          []RouteEntry
	Groups          []GroupEntry
	Customers       []Customer // Keys in the order as written
	TransactionIdle float64    // in milliseconds
}

// RouteEntry is a route as written.
type RouteEntry struct {
	Route
	Kind             string // the name of Freshness
	KnownKind        bool   // Kind is the name of a consistency level
	MaxAge           float64
	StatementTimeout float64
	LatencyGoal      float64
}

// GroupEntry is a group as written.
type GroupEntry struct {
	Group
	ReplicasWritten int // Group.AckReplicas has those that hosts rely on
}
