package main

import (
	"context"

	"nettlewalk.example/nettlewalk/test/testbed"
)

const readsMetric = "nettlewalk_reads_total" // label "at" is the role of the serving target, "reason" why the primary served the read

// replicaReadShare returns the share of reads that replicas served, and the number
// of reads at the primary by reason. It skips hosts whose metrics can't be read.
func replicaReadShare(ctx context.Context, bed *testbed.Bed) (float64, map[string]int64) {
	replica, primary := int64(0), int64(0)
	reasons := map[string]int64{}
	for _, h := range bed.Hosts {
		samples, err := h.Metrics(ctx)
		if err != nil {
			continue
		}
		for _, s := range samples {
			switch {
			case s.Name != readsMetric:
			case s.Label("at") == "replica":
				replica += int64(s.Value)
			default:
				primary += int64(s.Value)
				reasons[s.Label("reason")] += int64(s.Value)
			}
		}
	}
	if replica+primary == 0 {
		return 0, reasons
	}
	return float64(replica) / float64(replica+primary), reasons
}
