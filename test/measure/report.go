package main

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"nettlewalk.example/nettlewalk/internal/topology"
)

// report is the result of one scenario on one deployment.
type report struct {
	Scenario             string                      `json:"scenario"`
	Deployment           string                      `json:"deployment"`
	Seed                 int64                       `json:"seed"`
	Seconds              int                         `json:"seconds"`
	Statements           int64                       `json:"statements"`
	ReplicaReadShare     float64                     `json:"replica_read_share"`
	PastLagReplicaShare  float64                     `json:"replica_share_past_lag"` // of sessions' reads later than the lag after their last write
	PastLagReads         int                         `json:"reads_past_lag"`
	PrimaryReadsByReason map[string]int64            `json:"primary_reads_by_reason"`
	FailoverGap          gaps                        `json:"failover_gap_ms"`
	WriteLatency         latency                     `json:"write_latency_ms"`
	ReadLatency          latency                     `json:"read_latency_ms"`
	StaleReadLatency     latency                     `json:"declared_stale_read_latency_ms"`
	LostWrites           int                         `json:"lost_writes"`
	DoubledWrites        int                         `json:"doubled_writes"`
	StaleSessionReads    int                         `json:"stale_session_reads"`
	FalseNotRun          int                         `json:"false_not_run"`
	UnknownOutcomes      int                         `json:"unknown_outcomes"`
	Refused              int                         `json:"refused"`
	ConnectionsMax       int                         `json:"connections_max_per_target"`
	ConnectionLimit      int                         `json:"connection_limit_per_target"`
	HostCPUPerStatement  float64                     `json:"host_cpu_us_per_statement"`
	Direct               *direct                     `json:"direct,omitempty"`
	Errors               map[string]int              `json:"errors,omitempty"`
	Extra                map[string]any              `json:"extra,omitempty"`
	GapsByGroup          map[topology.GroupID]string `json:"gaps_by_group,omitempty"`
}

// direct compares clients straight at a target with clients of a host in the
// same domain, without network delay. Its first three fields are of the host
// that holds the target's slot itself.
type direct struct {
	ReadLatency    latency    `json:"read_latency_ms"`
	WriteLatency   latency    `json:"write_latency_ms"`
	AddedReadP50   float64    `json:"added_read_p50_ms"`
	ReadAtHolder   comparison `json:"read_at_holder"`
	ReadForwarded  comparison `json:"read_forwarded"`
	WriteAtHolder  comparison `json:"write_at_holder"`
	WriteForwarded comparison `json:"write_forwarded"`
}

// comparison is one statement straight at its target and through a host.
type comparison struct {
	Straight   latency `json:"straight_ms"`
	Through    latency `json:"through_ms"`
	AddedP50   float64 `json:"added_p50_ms"`
	AddedP99   float64 `json:"added_p99_ms"`
	CPU        float64 `json:"host_cpu_us_per_statement"`           // of all hosts, without what they use when idle
	CPUAndIdle float64 `json:"host_cpu_us_per_statement_with_idle"` // of all hosts
}

// latency sums up a histogram in milliseconds.
type latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	N   int64   `json:"n"`
}

const microsPerMilli = 1000

func latencyOf(h *hdrhistogram.Histogram) latency {
	return latency{
		P50: float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P99: float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max: float64(h.Max()) / microsPerMilli,
		N:   h.TotalCount(),
	}
}

// gaps sums up failover gaps in milliseconds.
type gaps struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
	N   int     `json:"n"`
}

func gapsOf(list []time.Duration) gaps {
	if len(list) == 0 {
		return gaps{}
	}
	sorted := slices.Sorted(slices.Values(list))
	at := func(q float64) float64 {
		return milliseconds(sorted[int(q*float64(len(sorted)-1)+0.5)])
	}
	return gaps{P50: at(0.5), P99: at(0.99), Max: milliseconds(sorted[len(sorted)-1]), N: len(sorted)}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / microsPerMilli }
