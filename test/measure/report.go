package main

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// report is the result of one scenario on one deployment.
type report struct {
	Scenario                string                      `json:"scenario"`
	Deployment              string                      `json:"deployment"`
	Seed                    int64                       `json:"seed"`
	Seconds                 int                         `json:"seconds"`
	Statements              int64                       `json:"statements"`
	ReplicaReadShare        float64                     `json:"replica_read_share"`
	DelayedReadReplicaShare float64                     `json:"replica_share_past_lag"` // replicas' share of the DelayedReads
	DelayedReads            int                         `json:"reads_past_lag"`
	PrimaryReadsByReason    map[string]int64            `json:"primary_reads_by_reason"`
	FailoverGap             gapSummary                  `json:"failover_gap_ms"`
	WriteLatency            latencySummary              `json:"write_latency_ms"`
	ReadLatency             latencySummary              `json:"read_latency_ms"`
	StaleReadLatency        latencySummary              `json:"declared_stale_read_latency_ms"`
	LostWrites              int                         `json:"lost_writes"`
	DuplicatedWrites        int                         `json:"doubled_writes"`
	StaleSessionReads       int                         `json:"stale_session_reads"`
	FalseNotRun             int                         `json:"false_not_run"`
	UnknownOutcomes         int                         `json:"unknown_outcomes"`
	Refused                 int                         `json:"refused"`
	ConnectionsMax          int                         `json:"connections_max_per_target"`
	ConnectionLimit         int                         `json:"connection_limit_per_target"`
	HostCPUPerStatement     float64                     `json:"host_cpu_us_per_statement"`
	Direct                  *directReport               `json:"direct,omitempty"`
	Errors                  map[string]int              `json:"errors,omitempty"`
	Extra                   map[string]any              `json:"extra,omitempty"`
	GapsByGroup             map[topology.GroupID]string `json:"gaps_by_group,omitempty"`
}

// directReport compares statements sent directly to a target with statements sent
// through a host in the same failure domain, without network delay. ReadLatency,
// WriteLatency and AddedReadP50 repeat values of ReadAtHolder and WriteAtHolder,
// whose host holds the target's slot.
type directReport struct {
	ReadLatency    latencySummary `json:"read_latency_ms"`
	WriteLatency   latencySummary `json:"write_latency_ms"`
	AddedReadP50   float64        `json:"added_read_p50_ms"`
	ReadAtHolder   comparison     `json:"read_at_holder"`
	ReadForwarded  comparison     `json:"read_forwarded"`
	WriteAtHolder  comparison     `json:"write_at_holder"`
	WriteForwarded comparison     `json:"write_forwarded"`
}

// comparison compares one statement sent directly to its target and through a host.
type comparison struct {
	Direct      latencySummary `json:"straight_ms"`
	Proxied     latencySummary `json:"through_ms"`
	AddedP50    float64        `json:"added_p50_ms"`
	AddedP99    float64        `json:"added_p99_ms"`
	CPU         float64        `json:"host_cpu_us_per_statement"`           // of all hosts, minus their idle usage
	CPUWithIdle float64        `json:"host_cpu_us_per_statement_with_idle"` // of all hosts, including their idle usage
}

// latencySummary summarizes a latency histogram in milliseconds.
type latencySummary struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	N   int64   `json:"n"`
}

const microsPerMilli = 1000

func summarizeLatency(h *hdrhistogram.Histogram) latencySummary {
	return latencySummary{
		P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max: float64(h.Max()) / microsPerMilli,
		N:   h.TotalCount(),
	}
}

// gapSummary summarizes failover gaps in milliseconds.
type gapSummary struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	N   int     `json:"n"`
}

func summarizeGaps(gaps []time.Duration) gapSummary {
	if len(gaps) == 0 {
		return gapSummary{}
	}
	sorted := slices.Sorted(slices.Values(gaps))
	quantile := func(q float64) float64 {
		return milliseconds(sorted[int(q*float64(len(sorted)-1)+0.5)])
	}
	return gapSummary{P50: quantile(0.5), P99: quantile(0.99), Max: milliseconds(sorted[len(sorted)-1]), N: len(sorted)}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / microsPerMilli }
