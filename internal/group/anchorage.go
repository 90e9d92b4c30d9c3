package group

// MaxAnchorAge is how old the newest known position of a leader usually is. Reads that
// may be no older than that can't be served by replicas.
const MaxAnchorAge = maxAnchorAge
