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
	simSilent = time.Second
	simAgain  = 2 * time.Second
	simKeep   = 3 * time.Second
)

// sim is a fleet in which processes die and messages are lost.
type sim struct {
	t         *rapid.T
	now       time.Time
	hosts     []topology.Host
	boots     []uint64
	holdings  []*Holdings
	platform  Ledger
	truth     Ledger     // what every process really consumed
	delivered []delivery // answers that arrived
}

type delivery struct {
	meter pool.Meter
	entry Source
}

func newSim(t *rapid.T) *sim {
	s := &sim{t: t, now: time.Unix(1_000_000, 0)}
	for _, id := range []topology.HostID{"a1", "a2", "b1", "b2"} {
		s.hosts = append(s.hosts, topology.Host{ID: id, Domain: topology.Domain(id[:1]), State: topology.HostLive})
		s.boots = append(s.boots, 1)
		s.holdings = append(s.holdings, NewHoldings(Source{id, 1}))
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

func (s *sim) host(label string) int { return rapid.IntRange(0, len(s.hosts)-1).Draw(s.t, label) }

func (s *sim) consume() {
	holder, entry := s.host("holder"), s.host("entry")
	id := rapid.SampledFrom([]topology.CustomerID{"x", "y"}).Draw(s.t, "customer")
	used := pool.Usage{Statements: 1, Rows: rapid.Uint64Range(0, 9).Draw(s.t, "rows")}
	m := s.holdings[holder].Consume(id, used, s.now)
	s.truth.Merge(m)
	if holder != entry && rapid.Bool().Draw(s.t, "answered") {
		s.holdings[entry].Saw(m, s.now)
		s.delivered = append(s.delivered, delivery{m, s.source(entry)})
	}
}

func (s *sim) hand(i int) {
	for source, readings := range s.holdings[i].ToHand(s.now, simSilent, simAgain, s.fleet()) {
		var by []Source
		for _, id := range Witnesses(source, s.hosts) {
			if !rapid.Bool().Draw(s.t, "handed") {
				continue
			}
			w := s.holdings[s.index(id)]
			w.Witness(readings, nil, s.now)
			by = append(by, w.self)
			s.holdings[i].Durable(w.DurableOf(readings))
		}
		if len(by) > 0 {
			s.holdings[i].Handed(source, readings, by, s.now)
		}
	}
}

func (s *sim) fleet() Fleet { return fleetOf(s.hosts) }

func fleetOf(hosts []topology.Host) Fleet {
	var c witnessCache
	c.refresh(hosts)
	return c.fleet()
}

func (s *sim) write(i int) {
	for _, readings := range s.holdings[i].ToWrite(s.now, simSilent) {
		s.platform.MergeAll(readings)
		if rapid.Bool().Draw(s.t, "acknowledged") {
			s.holdings[i].Durable(readings)
		}
	}
}

func (s *sim) kill(i int) {
	s.boots[i]++
	s.holdings[i] = NewHoldings(s.source(i))
}

func (s *sim) report() *Ledger {
	l := &Ledger{}
	merge := func(from *Ledger) {
		for _, source := range from.Sources() {
			l.MergeAll(from.Readings(source))
		}
	}
	merge(&s.platform)
	for _, h := range s.holdings {
		merge(&h.known)
	}
	return l
}

// check compares the report with the truth: never more, and never less than
// what was answered through an entry host that is still alive.
func (s *sim) check() {
	report := s.report()
	for _, source := range report.Sources() {
		for _, m := range report.Readings(source) {
			if !s.truth.Covers(m) {
				s.t.Fatalf("reported %+v, more than was consumed", m)
			}
		}
	}
	for _, d := range s.delivered {
		alive := s.source(s.index(d.entry.Host)) == d.entry
		if alive && !report.Covers(d.meter) {
			s.t.Fatalf("%+v, answered through %+v, is not in the report", d.meter, d.entry)
		}
	}
}

func TestReportsAreWholeAndNeverDouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				s.consume()
			case 2:
				s.hand(s.host("hands"))
			case 3:
				s.write(s.host("writes"))
			case 4:
				s.now = s.now.Add(simSilent)
			case 5:
				s.holdings[s.host("forgets")].Forget(s.now, simKeep)
			case 6:
				s.kill(s.host("killed"))
			}
			s.check()
		}
		s.checkKilledTogether()
	})
}

// checkKilledTogether lets the fleet write what earlier deaths left, consumes
// more, hands that over only, and kills a holder and an entry host at once:
// nothing is lost.
func (s *sim) checkKilledTogether() {
	s.handAll()
	for _, h := range s.holdings {
		for _, readings := range h.ToWrite(s.now, 0) {
			s.platform.MergeAll(readings)
		}
	}
	for range rapid.IntRange(0, 5).Draw(s.t, "late") {
		s.consume()
	}
	s.handAll()
	before := s.report()
	s.kill(s.host("holder killed"))
	s.kill(s.host("entry killed"))
	after := s.report()
	for _, id := range []topology.CustomerID{"x", "y"} {
		if before.Usage(id) != after.Usage(id) {
			s.t.Fatalf("%s: %+v before, %+v after both were killed", id, before.Usage(id), after.Usage(id))
		}
	}
}

func (s *sim) handAll() {
	for _, h := range s.holdings {
		for source, readings := range h.ToHand(s.now, 0, 0, s.fleet()) {
			for _, id := range Witnesses(source, s.hosts) {
				s.holdings[s.index(id)].Witness(readings, nil, s.now)
			}
		}
	}
}

func TestMergeIsIdempotentAndCommutes(t *testing.T) {
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

// handOnce hands what is due of a process to some witnesses, which note who they are.
func handOnce(h *Holdings, now time.Time, fleet Fleet, by ...Source) map[Source][]pool.Meter {
	due := h.ToHand(now, simSilent, simAgain, fleet)
	for source, readings := range due {
		h.Handed(source, readings, by, now)
	}
	return due
}

// A witness that another host replaced, or that was started again, has none of
// the readings that were handed before.
func TestReadingsAreHandedAgainToANewWitness(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	hosts := []topology.Host{{ID: "a1", Domain: "a", State: topology.HostLive}, {ID: "b1", Domain: "b", State: topology.HostLive}, {ID: "c1", Domain: "c", State: topology.HostLive}}
	h := NewHoldings(Source{"a1", 1})
	h.Consume("x", pool.Usage{Statements: 1}, now)
	b, c := Source{"b1", 1}, Source{"c1", 1}
	qt.Check(t, handOnce(h, now, fleetOf(hosts), b, c), qt.HasLen, 1)
	qt.Check(t, handOnce(h, now, fleetOf(hosts), b, c), qt.HasLen, 0)

	without := fleetOf(append(hosts[:2:2], topology.Host{ID: "d1", Domain: "d", State: topology.HostLive}))
	qt.Check(t, handOnce(h, now, without, b, Source{"d1", 1}), qt.HasLen, 1)
	qt.Check(t, handOnce(h, now, fleetOf(hosts), b, c), qt.HasLen, 1)

	h.Consume("y", pool.Usage{Statements: 1}, now)
	again := Source{"c1", 2}
	qt.Check(t, handOnce(h, now, fleetOf(hosts), b, again)[h.self], qt.HasLen, 1)
	qt.Check(t, handOnce(h, now, fleetOf(hosts), b, again)[h.self], qt.HasLen, 2)
	qt.Check(t, handOnce(h, now, fleetOf(hosts), b, again), qt.HasLen, 0)
}

// What only an entry host knows of a process that has ended would be lost with
// the entry host.
func TestReadingsOfAGoneProcessAreHandedAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	hosts := []topology.Host{{ID: "b1", Domain: "b", State: topology.HostLive}, {ID: "c1", Domain: "c", State: topology.HostLive}, {ID: "a1", Domain: "a", State: topology.HostLive}}
	h := NewHoldings(Source{"b1", 1})
	h.Saw(pool.Meter{Host: "a1", Boot: 1, Customer: "x", Total: pool.Usage{Statements: 1}}, now)
	qt.Check(t, h.ToHand(now, simSilent, simAgain, fleetOf(hosts)), qt.HasLen, 0)
	qt.Check(t, h.ToHand(now, simSilent, simAgain, fleetOf(hosts[:2])), qt.HasLen, 1)
	h.Saw(pool.Meter{Host: "a1", Boot: 2, Customer: "x", Total: pool.Usage{Statements: 1}}, now)
	due := h.ToHand(now, simSilent, simAgain, fleetOf(hosts))
	qt.Check(t, due, qt.HasLen, 1)
	qt.Check(t, due[Source{"a1", 1}], qt.HasLen, 1)
}
