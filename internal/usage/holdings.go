package usage

import (
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Holdings is all that one host knows of meters: its own, those of holders
// whose answers it got, and those that it is a witness of. The zero value is
// not ready for use.
type Holdings struct {
	self    Source
	known   Ledger // largest readings
	durable Ledger // readings that are in the platform
	handed  Ledger // readings that all of handedTo got
	// handedTo has the witnesses' processes: one that was started again, or
	// took another's place, has nothing yet.
	handedTo map[Source][]Source
	handAt   map[Source]time.Time // last handing
	changed  map[Source]time.Time // last growth of a reading
	witness  map[Source]bool      // sources of which this host is a witness
}

// NewHoldings returns the holdings of a process.
func NewHoldings(self Source) *Holdings {
	return &Holdings{
		self:     self,
		changed:  map[Source]time.Time{},
		witness:  map[Source]bool{},
		handAt:   map[Source]time.Time{},
		handedTo: map[Source][]Source{},
	}
}

// Consume adds to the customer's own meter and returns it.
func (h *Holdings) Consume(id topology.CustomerID, used pool.Usage, now time.Time) pool.Meter {
	total := add(h.known.sources[h.self][id], used)
	m := pool.Meter{Host: h.self.Host, Boot: h.self.Boot, Customer: id, Total: total}
	h.learn(m, now)
	return m
}

// Saw takes in the meter of an answer.
func (h *Holdings) Saw(m pool.Meter, now time.Time) {
	if m.Host != "" {
		h.learn(m, now)
	}
}

// Witness takes in what another host sent: readings, and which are durable.
func (h *Holdings) Witness(readings, durable []pool.Meter, now time.Time) {
	for _, m := range readings {
		h.learn(m, now)
		h.witness[sourceOf(m)] = true
	}
	h.durable.MergeAll(durable)
}

// Durable notes that readings are in the platform.
func (h *Holdings) Durable(readings []pool.Meter) { h.durable.MergeAll(readings) }

// Handed notes that some processes got readings of a source, as its witnesses.
func (h *Holdings) Handed(source Source, readings []pool.Meter, by []Source, now time.Time) {
	h.handAt[source] = now
	before, known := h.handedTo[source]
	if !known {
		h.handedTo[source] = by
		h.handed.MergeAll(readings)
		return
	}
	both := slices.DeleteFunc(slices.Clone(before), func(s Source) bool { return !slices.Contains(by, s) })
	if len(both) == 0 {
		h.unhand(source) // none has both what was handed before and this
		return
	}
	h.handedTo[source] = both
	h.handed.MergeAll(readings)
}

// unhand forgets what a source's witnesses got, so that they get it again.
func (h *Holdings) unhand(source Source) {
	h.handed.Drop(source)
	delete(h.handedTo, source)
}

func (h *Holdings) learn(m pool.Meter, now time.Time) {
	if h.known.Merge(m) {
		h.changed[sourceOf(m)] = now
	}
}

// Fleet is what a host knows of the others when it hands readings over.
type Fleet struct {
	Witnesses func(Source) []topology.HostID // who is to have a source's readings
	Listed    func(topology.HostID) bool     // whether the host is live or leaving
}

// ToHand returns the readings of each source that its witnesses are to get: of
// this process and of processes that are gone at once, of others once they have
// been silent for a time, for until then they send them themselves. Witnesses
// hand them to each other, too. What doesn't become durable is handed again
// after a time, and at once if a witness has been replaced.
func (h *Holdings) ToHand(now time.Time, silent, again time.Duration, fleet Fleet) map[Source][]pool.Meter {
	due := map[Source][]pool.Meter{}
	latest := h.latestBoots()
	for source := range h.known.sources {
		gone := !fleet.Listed(source.Host) || source.Boot < latest[source.Host]
		if source != h.self && !gone && now.Sub(h.changed[source]) < silent {
			continue
		}
		if now.Sub(h.handAt[source]) >= again || !h.allHave(source, fleet.Witnesses(source)) {
			h.unhand(source)
		}
		news := notCovered(notCovered(h.known.Readings(source), &h.durable), &h.handed)
		if len(news) > 0 {
			due[source] = news
		}
	}
	return due
}

// latestBoots returns the latest process of each host that is known. Boots grow
// with each start.
func (h *Holdings) latestBoots() map[topology.HostID]uint64 {
	latest := make(map[topology.HostID]uint64, len(h.known.sources))
	for source := range h.known.sources {
		latest[source.Host] = max(latest[source.Host], source.Boot)
	}
	return latest
}

// allHave tells whether each of the witnesses got what was handed.
func (h *Holdings) allHave(source Source, witnesses []topology.HostID) bool {
	for _, id := range witnesses {
		if !slices.ContainsFunc(h.handedTo[source], func(s Source) bool { return s.Host == id }) {
			return false
		}
	}
	return true
}

// ToWrite returns all readings of each source that this host is to merge into
// the platform: of this process if anything is new, and of those that it is a
// witness of once they have been silent for a time with something not durable.
func (h *Holdings) ToWrite(now time.Time, silent time.Duration) map[Source][]pool.Meter {
	due := map[Source][]pool.Meter{}
	for source := range h.known.sources {
		if source != h.self && (!h.witness[source] || now.Sub(h.changed[source]) < silent) {
			continue
		}
		readings := h.known.Readings(source)
		if len(notCovered(readings, &h.durable)) > 0 {
			due[source] = readings
		}
	}
	return due
}

// Forget drops the sources that have been silent for a time and whose readings
// are durable.
func (h *Holdings) Forget(now time.Time, silent time.Duration) {
	for source := range h.known.sources {
		if source == h.self || now.Sub(h.changed[source]) < silent {
			continue
		}
		if len(notCovered(h.known.Readings(source), &h.durable)) > 0 {
			continue
		}
		h.known.Drop(source)
		h.durable.Drop(source)
		h.unhand(source)
		delete(h.handAt, source)
		delete(h.changed, source)
		delete(h.witness, source)
	}
}

// DurableOf returns the durable readings of the sources of some readings.
func (h *Holdings) DurableOf(readings []pool.Meter) []pool.Meter {
	var durable []pool.Meter
	asked := map[Source]bool{}
	for _, m := range readings {
		if source := sourceOf(m); !asked[source] {
			asked[source] = true
			durable = append(durable, h.durable.Readings(source)...)
		}
	}
	return durable
}

// OwnDurable returns which of this process's readings are durable.
func (h *Holdings) OwnDurable() []pool.Meter { return h.durable.Readings(h.self) }

// ReadingsOf returns a customer's readings.
func (h *Holdings) ReadingsOf(id topology.CustomerID) []pool.Meter { return h.known.ReadingsOf(id) }

func notCovered(readings []pool.Meter, by *Ledger) []pool.Meter {
	var news []pool.Meter
	for _, m := range readings {
		if !by.Covers(m) {
			news = append(news, m)
		}
	}
	return news
}
