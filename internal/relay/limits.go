package relay

import "nettlewalk.example/nettlewalk/internal/group"

// MinMaxAge is the smallest bound on the age of reads that replicas can keep. With a
// smaller one, hosts know no position that is new enough, and all reads go to the leader.
const MinMaxAge = group.MaxAnchorAge + maxAgeMargin
