package routing

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"nettlewalk.example/nettlewalk/internal/pool"
)

// stats counts batches by where they ran.
type stats struct {
	replicaReads *metrics.Counter
	primaryReads map[Reason]*metrics.Counter
	writes       *metrics.Counter
	retries      *metrics.Counter
}

func newStats() *stats {
	s := &stats{
		replicaReads: metrics.GetOrCreateCounter(`nettlewalk_reads_total{at="replica"}`),
		primaryReads: make(map[Reason]*metrics.Counter),
		writes:       metrics.GetOrCreateCounter(`nettlewalk_writes_total`),
		retries:      metrics.GetOrCreateCounter(`nettlewalk_retries_total`),
	}
	for _, r := range reasons {
		name := fmt.Sprintf(`nettlewalk_reads_total{at="primary",reason=%q}`, r)
		s.primaryReads[r] = metrics.GetOrCreateCounter(name)
	}
	return s
}

// countBatch counts a batch that was answered. A batch that was sent as a write
// but wrote nothing and left no transaction open is an undeclared read. Batches
// that only prepare or describe statements aren't counted.
func (s *stats) countBatch(class pool.Class, out Outcome, reason Reason) {
	switch {
	case out.Usage.Statements == 0:
	case out.Replica:
		s.replicaReads.Inc()
	case class == pool.Read && out.Position.IsZero():
		s.countPrimaryRead(reason)
	case out.Position.IsZero() && out.TxStatus == 'I':
		s.countPrimaryRead(NotDeclared)
	default:
		s.writes.Inc()
	}
}

func (s *stats) countPrimaryRead(reason Reason) {
	if c, ok := s.primaryReads[reason]; ok {
		c.Inc()
		return
	}
	s.primaryReads[Unhealthy].Inc()
}

// ReadCounts holds the number of reads at replicas and at the primary since the
// process started.
type ReadCounts struct {
	Replica uint64            `json:"replica"`
	Primary map[Reason]uint64 `json:"primary"` // by reason
}

func (s *stats) readCounts() ReadCounts {
	c := ReadCounts{Replica: s.replicaReads.Get(), Primary: make(map[Reason]uint64)}
	for r, counter := range s.primaryReads {
		c.Primary[r] = counter.Get()
	}
	return c
}
