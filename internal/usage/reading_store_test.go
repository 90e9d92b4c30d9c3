package usage

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	simSilence     = time.Second
	simResendAfter = 2 * time.Second
	simRetention   = 3 * time.Second
)

// sim simulates a fleet in which processes restart and messages are lost.
type sim struct {
	t         *rapid.T
	now       time.Time
	hosts     []topology.Host
	boots     []uint64
	stores    []*ReadingStore
	platform  Ledger
	consumed  Ledger     // actual usage of every process
	delivered []delivery // responses that reached their entry host
}

// delivery is a meter that reached an entry host in a response.
type delivery struct {
	meter pool.Meter
	entry Source
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: time.Unix(1_000_000, 0)}
	for _, id := range []topology.HostID{"a1", "a2", "b1", "b2"} {
		s.hosts = append(s.hosts, topology.Host{ID: id, Domain: topology.Domain(id[:1]), State: topology.HostLive})
		s.boots = append(s.boots, 1)
		s.stores = append(s.stores, NewReadingStore(Source{id, 1}))
	}
	return s
}

func (s *sim) source(i int) Source { return Source{s.hosts[i].ID, s.boots[i]} }

func (s *sim) index(id topology.HostID) int {
	for i := range s.hosts {
		if s.hosts[i].ID == id {
			return i
		}
	}
	return -1
}

func (s *sim) drawHost(label string) int { return rapid.IntRange(0, len(s.hosts)-1).Draw(s.t, label) }

func (s *sim) consume() {
	holder, entry := s.drawHost("holder"), s.drawHost("entry")
	id := rapid.SampledFrom([]topology.CustomerID{"x", "y"}).Draw(s.t, "customer")
	used := pool.Usage{Statements: 1, Rows: rapid.Uint64Range(0, 9).Draw(s.t, "rows")}
	m := s.stores[holder].Consume(id, used, s.now)
	s.consumed.Merge(m)
	if holder != entry && rapid.Bool().Draw(s.t, "response delivered") {
		s.stores[entry].ObserveMeter(m, s.now)
		s.delivered = append(s.delivered, delivery{m, s.source(entry)})
	}
}

func (s *sim) replicate(i int) {
	for source, readings := range s.stores[i].DueForReplication(s.now, simSilence, simResendAfter, s.view()) {
		var receivers []Source
		for _, id := range Witnesses(source, s.hosts) {
			if !rapid.Bool().Draw(s.t, "replicated") {
				continue
			}
			witness := s.stores[s.index(id)]
			witness.MergeWitnessed(readings, nil, s.now)
			receivers = append(receivers, witness.self)
			s.stores[i].MarkDurable(witness.DurableOf(readings))
		}
		if len(receivers) > 0 {
			s.stores[i].MarkReplicated(source, readings, receivers, s.now)
		}
	}
}

func (s *sim) view() FleetView { return viewOf(s.hosts) }

func viewOf(hosts []topology.Host) FleetView {
	var c witnessCache
	c.refresh(hosts)
	return c.fleet()
}

func (s *sim) writeDue(i int) {
	for _, readings := range s.stores[i].DueForWrite(s.now, simSilence) {
		s.platform.MergeAll(readings)
		if rapid.Bool().Draw(s.t, "acknowledged") {
			s.stores[i].MarkDurable(readings)
		}
	}
}

func (s *sim) restart(i int) {
	s.boots[i]++
	s.stores[i] = NewReadingStore(s.source(i))
}

func (s *sim) report() *Ledger {
	l := &Ledger{}
	merge := func(from *Ledger) {
		for _, source := range from.Sources() {
			l.MergeAll(from.Readings(source))
		}
	}
	merge(&s.platform)
	for _, store := range s.stores {
		merge(&store.known)
	}
	return l
}

// checkReport checks that the report never exceeds the actual usage and contains
// every response that reached an entry host which is still running.
func (s *sim) checkReport() {
	report := s.report()
	for _, source := range report.Sources() {
		for _, m := range report.Readings(source) {
			if !s.consumed.Covers(m) {
				s.t.Fatalf("report has %+v, which exceeds the actual usage", m)
			}
		}
	}
	for _, d := range s.delivered {
		alive := s.source(s.index(d.entry.Host)) == d.entry
		if alive && !report.Covers(d.meter) {
			s.t.Fatalf("%+v, delivered to %+v, is missing from the report", d.meter, d.entry)
		}
	}
}

func TestReportIsCompleteWithoutDoubleCounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				s.consume()
			case 2:
				s.replicate(s.drawHost("replicating host"))
			case 3:
				s.writeDue(s.drawHost("writing host"))
			case 4:
				s.now = s.now.Add(simSilence)
			case 5:
				s.stores[s.drawHost("pruning host")].Prune(s.now, simRetention)
			case 6:
				s.restart(s.drawHost("restarted host"))
			}
			s.checkReport()
		}
		s.checkConcurrentFailures()
	})
}

// checkConcurrentFailures checks that no usage is lost when a holder and an entry
// host fail together. It first writes all earlier readings to the platform; the
// usage added after that is only replicated to witnesses.
func (s *sim) checkConcurrentFailures() {
	s.replicateAll()
	for _, store := range s.stores {
		for _, readings := range store.DueForWrite(s.now, 0) {
			s.platform.MergeAll(readings)
		}
	}
	for range rapid.IntRange(0, 5).Draw(s.t, "late batches") {
		s.consume()
	}
	s.replicateAll()
	before := s.report()
	s.restart(s.drawHost("failed holder"))
	s.restart(s.drawHost("failed entry host"))
	after := s.report()
	for _, id := range []topology.CustomerID{"x", "y"} {
		if before.Usage(id) != after.Usage(id) {
			s.t.Fatalf("%s: usage %+v before, %+v after the failure of two hosts", id, before.Usage(id), after.Usage(id))
		}
	}
}

func (s *sim) replicateAll() {
	for _, store := range s.stores {
		for source, readings := range store.DueForReplication(s.now, 0, 0, s.view()) {
			for _, id := range Witnesses(source, s.hosts) {
				s.stores[s.index(id)].MergeWitnessed(readings, nil, s.now)
			}
		}
	}
}

func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.Custom(func(t *rapid.T) pool.Meter {
			n := rapid.Uint64Range(0, 20).Draw(t, "reading")
			return pool.Meter{
				Host:     rapid.SampledFrom([]topology.HostID{"a", "b"}).Draw(t, "host"),
				Boot:     rapid.Uint64Range(1, 2).Draw(t, "boot"),
				Customer: rapid.SampledFrom([]topology.CustomerID{"x", "y"}).Draw(t, "customer"),
				Total:    pool.Usage{Statements: n, Rows: 2 * n, Bytes: 3 * n, TargetTime: time.Duration(n)},
			}
		})
		meters := rapid.SliceOf(draw).Draw(t, "meters")
		shuffled := rapid.Permutation(meters).Draw(t, "order")
		var a, b Ledger
		a.MergeAll(meters)
		b.MergeAll(shuffled)
		b.MergeAll(meters)
		for _, id := range []topology.CustomerID{"x", "y"} {
			if a.Usage(id) != b.Usage(id) {
				t.Fatalf("%s: %+v and %+v", id, a.Usage(id), b.Usage(id))
			}
		}
	})
}

// replicateOnce marks the readings that are due as replicated to receivers and
// returns them.
func replicateOnce(store *ReadingStore, now time.Time, fleet FleetView, receivers ...Source) map[Source][]pool.Meter {
	due := store.DueForReplication(now, simSilence, simResendAfter, fleet)
	for source, readings := range due {
		store.MarkReplicated(source, readings, receivers, now)
	}
	return due
}

// A witness that restarted, or that replaced another host, has none of the
// readings replicated earlier, so they must be sent again.
func TestReplicationResendsToNewWitness(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	hosts := []topology.Host{{ID: "a1", Domain: "a", State: topology.HostLive}, {ID: "b1", Domain: "b", State: topology.HostLive}, {ID: "c1", Domain: "c", State: topology.HostLive}}
	store := NewReadingStore(Source{"a1", 1})
	store.Consume("x", pool.Usage{Statements: 1}, now)
	b, c := Source{"b1", 1}, Source{"c1", 1}
	qt.Check(t, replicateOnce(store, now, viewOf(hosts), b, c), qt.HasLen, 1)
	qt.Check(t, replicateOnce(store, now, viewOf(hosts), b, c), qt.HasLen, 0)

	replaced := viewOf(append(hosts[:2:2], topology.Host{ID: "d1", Domain: "d", State: topology.HostLive}))
	qt.Check(t, replicateOnce(store, now, replaced, b, Source{"d1", 1}), qt.HasLen, 1)
	qt.Check(t, replicateOnce(store, now, viewOf(hosts), b, c), qt.HasLen, 1)

	store.Consume("y", pool.Usage{Statements: 1}, now)
	restarted := Source{"c1", 2}
	qt.Check(t, replicateOnce(store, now, viewOf(hosts), b, restarted)[store.self], qt.HasLen, 1)
	qt.Check(t, replicateOnce(store, now, viewOf(hosts), b, restarted)[store.self], qt.HasLen, 2)
	qt.Check(t, replicateOnce(store, now, viewOf(hosts), b, restarted), qt.HasLen, 0)
}

// An entry host may be the only one that knows some readings of an ended process.
// If it waited before replicating them, its own failure would lose them.
func TestReadingsOfEndedProcessReplicateImmediately(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	hosts := []topology.Host{{ID: "b1", Domain: "b", State: topology.HostLive}, {ID: "c1", Domain: "c", State: topology.HostLive}, {ID: "a1", Domain: "a", State: topology.HostLive}}
	store := NewReadingStore(Source{"b1", 1})
	store.ObserveMeter(pool.Meter{Host: "a1", Boot: 1, Customer: "x", Total: pool.Usage{Statements: 1}}, now)
	qt.Check(t, store.DueForReplication(now, simSilence, simResendAfter, viewOf(hosts)), qt.HasLen, 0)
	qt.Check(t, store.DueForReplication(now, simSilence, simResendAfter, viewOf(hosts[:2])), qt.HasLen, 1)
	store.ObserveMeter(pool.Meter{Host: "a1", Boot: 2, Customer: "x", Total: pool.Usage{Statements: 1}}, now)
	due := store.DueForReplication(now, simSilence, simResendAfter, viewOf(hosts))
	qt.Check(t, due, qt.HasLen, 1)
	qt.Check(t, due[Source{"a1", 1}], qt.HasLen, 1)
}

// A process stays ended when its host is listed again under a new process that has
// metered nothing yet. Otherwise its readings, whose copy a restarted witness has lost,
// would wait until they count as silent, and die with the entry host.
func TestEndedProcessStaysEndedWhenItsHostReturns(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	hosts := []topology.Host{{ID: "b1", Domain: "b", State: topology.HostLive}, {ID: "c1", Domain: "c", State: topology.HostLive}, {ID: "a1", Domain: "a", State: topology.HostLive}}
	ended := Source{"a1", 1}
	store := NewReadingStore(Source{"b1", 1})
	store.ObserveMeter(pool.Meter{Host: "a1", Boot: 1, Customer: "x", Total: pool.Usage{Statements: 158}}, now)
	due := store.DueForReplication(now, simSilence, simResendAfter, viewOf(hosts[:2]))
	qt.Assert(t, due[ended], qt.HasLen, 1)
	store.MarkReplicated(ended, due[ended], []Source{{"b1", 1}, {"c1", 1}}, now)
	qt.Check(t, store.DueForReplication(now, simSilence, simResendAfter, viewOf(hosts)), qt.HasLen, 0)
	store.MarkConfirmed(ended, []Source{{"b1", 1}, {"c1", 2}}, now)
	qt.Check(t, store.DueForReplication(now, simSilence, simResendAfter, viewOf(hosts))[ended], qt.HasLen, 1)
}

// A witness that answers under a new process shows that its earlier process has ended.
func TestAnswerOfANewProcessEndsTheEarlierOne(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	hosts := []topology.Host{{ID: "b1", Domain: "b", State: topology.HostLive}, {ID: "c1", Domain: "c", State: topology.HostLive}, {ID: "a1", Domain: "a", State: topology.HostLive}}
	store := NewReadingStore(Source{"b1", 1})
	store.ObserveMeter(pool.Meter{Host: "a1", Boot: 1, Customer: "x", Total: pool.Usage{Statements: 1}}, now)
	qt.Check(t, store.DueForReplication(now, simSilence, simResendAfter, viewOf(hosts)), qt.HasLen, 0)
	store.MarkConfirmed(store.self, []Source{{"a1", 2}}, now)
	qt.Check(t, store.DueForReplication(now, simSilence, simResendAfter, viewOf(hosts))[Source{"a1", 1}], qt.HasLen, 1)
}

// A call that didn't reach a holder shows that its process may have ended, though its
// host is listed: it may have been back before the next list. Its readings are due at
// once, until a new one shows that it lives.
func TestReadingsOfAnUnreachableHolderAreDueAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	hosts := []topology.Host{{ID: "b1", Domain: "b", State: topology.HostLive}, {ID: "c1", Domain: "c", State: topology.HostLive}, {ID: "a1", Domain: "a", State: topology.HostLive}}
	source := Source{"a1", 1}
	store := NewReadingStore(Source{"b1", 1})
	reading := pool.Meter{Host: "a1", Boot: 1, Customer: "x", Total: pool.Usage{Statements: 1}}
	store.ObserveMeter(reading, now)
	qt.Check(t, store.DueForReplication(now, simSilence, simResendAfter, viewOf(hosts)), qt.HasLen, 0)
	store.NoteUnreachable("a1", now.Add(time.Millisecond))
	qt.Check(t, store.DueForReplication(now, simSilence, simResendAfter, viewOf(hosts))[source], qt.HasLen, 1)
	reading.Total.Statements = 2
	store.ObserveMeter(reading, now.Add(2*time.Millisecond))
	qt.Check(t, store.DueForReplication(now, simSilence, simResendAfter, viewOf(hosts)), qt.HasLen, 0)
}
