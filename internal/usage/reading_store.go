package usage

import (
	"maps"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// ReadingStore holds every meter reading that one host knows: those of its own
// meters, those in the responses of other holders, and those that it stores as a
// witness. Use NewReadingStore to create one. Not safe for concurrent use.
type ReadingStore struct {
	self       Source
	known      Ledger // largest known readings
	durable    Ledger // readings that the platform has stored
	replicated Ledger // readings that every process in replicatedTo has stored
	// replicatedTo lists the witness processes per source. It holds processes, not
	// hosts: a witness that restarted, or that replaced another host, has no
	// readings yet.
	replicatedTo map[Source][]Source
	replicatedAt map[Source]time.Time // last replication of each source
	confirmedAt  map[Source]time.Time // when the witnesses of each source last answered
	lastGrowth   map[Source]time.Time // time of the last new reading of each source
	witnessed    map[Source]bool      // sources of which this host is a witness
	// ended holds the sources that are known to have ended. Their hosts may be listed
	// again under processes that have metered nothing.
	ended         map[Source]bool
	unreachableAt map[topology.HostID]time.Time // when a call last didn't reach each host
	// processes holds the newest boot number under which each witness answered.
	processes map[topology.HostID]uint64
}

// NewReadingStore returns an empty store for the process self.
func NewReadingStore(self Source) *ReadingStore {
	return &ReadingStore{
		self:          self,
		lastGrowth:    map[Source]time.Time{},
		witnessed:     map[Source]bool{},
		replicatedAt:  map[Source]time.Time{},
		confirmedAt:   map[Source]time.Time{},
		replicatedTo:  map[Source][]Source{},
		ended:         map[Source]bool{},
		unreachableAt: map[topology.HostID]time.Time{},
		processes:     map[topology.HostID]uint64{},
	}
}

// Consume adds usage to this process's meter of the customer and returns the new
// reading.
func (r *ReadingStore) Consume(id topology.CustomerID, used pool.Usage, now time.Time) pool.Meter {
	total := addUsage(r.known.sources[r.self][id], used)
	m := pool.Meter{Host: r.self.Host, Boot: r.self.Boot, Customer: id, Total: total}
	r.merge(m, now)
	return m
}

// ObserveMeter merges the reading of a holder's response. It ignores a meter
// without a host.
func (r *ReadingStore) ObserveMeter(m pool.Meter, now time.Time) {
	if m.Host != "" {
		r.merge(m, now)
	}
}

// NoteUnreachable records that a call didn't reach the host. Its process may have ended
// and be replaced before a list of hosts shows that, so its readings are due at once.
func (r *ReadingStore) NoteUnreachable(id topology.HostID, now time.Time) { r.unreachableAt[id] = now }

// mayHaveEnded reports whether the source is known to have ended, or a call didn't reach
// its host since its last reading.
func (r *ReadingStore) mayHaveEnded(source Source) bool {
	unreachableAt, ok := r.unreachableAt[source.Host]
	return r.ended[source] || ok && !unreachableAt.Before(r.lastGrowth[source])
}

// MergeWitnessed merges what another host replicated to this host as a witness:
// the readings, and those that are durable.
func (r *ReadingStore) MergeWitnessed(readings, durable []pool.Meter, now time.Time) {
	for _, m := range readings {
		r.merge(m, now)
		r.witnessed[sourceOf(m)] = true
	}
	r.durable.MergeAll(durable)
}

// MarkDurable records that the platform has stored the readings.
func (r *ReadingStore) MarkDurable(readings []pool.Meter) { r.durable.MergeAll(readings) }

// MarkReplicated records that the processes in receivers stored the readings of
// a source as its witnesses.
func (r *ReadingStore) MarkReplicated(source Source, readings []pool.Meter, receivers []Source, now time.Time) {
	r.replicatedAt[source], r.confirmedAt[source] = now, now
	r.noteProcesses(receivers)
	previous, replicatedBefore := r.replicatedTo[source]
	if !replicatedBefore {
		r.replicatedTo[source] = receivers
		r.replicated.MergeAll(readings)
		return
	}
	common := slices.DeleteFunc(slices.Clone(previous), func(s Source) bool { return !slices.Contains(receivers, s) })
	if len(common) == 0 {
		r.clearReplicated(source) // no process has both the earlier readings and these
		return
	}
	r.replicatedTo[source] = common
	r.replicated.MergeAll(readings)
}

// DueForConfirmation returns the sources whose replicated readings aren't durable
// and whose witnesses have not answered for the duration after. A witness that
// restarted in the meantime has lost its copy, and the list of hosts may not show it.
// Other processes that live confirm their own.
func (r *ReadingStore) DueForConfirmation(now time.Time, after time.Duration) []Source {
	var due []Source
	for source := range r.replicatedTo {
		if source != r.self && !r.mayHaveEnded(source) {
			continue
		}
		if now.Sub(r.confirmedAt[source]) >= after && len(notCovered(r.replicated.Readings(source), &r.durable)) > 0 {
			due = append(due, source)
		}
	}
	return due
}

// MarkConfirmed records which processes the witnesses of a source are. If one of
// them has restarted, the source's readings are sent again.
func (r *ReadingStore) MarkConfirmed(source Source, processes []Source, now time.Time) {
	r.confirmedAt[source] = now
	r.noteProcesses(processes)
	restarted := func(old Source) bool {
		return slices.ContainsFunc(processes, func(s Source) bool { return s.Host == old.Host && s.Boot != old.Boot })
	}
	if slices.ContainsFunc(r.replicatedTo[source], restarted) {
		r.clearReplicated(source)
	}
}

// noteProcesses records the processes of hosts that answered.
func (r *ReadingStore) noteProcesses(processes []Source) {
	for _, s := range processes {
		r.processes[s.Host] = max(r.processes[s.Host], s.Boot)
	}
}

// clearReplicated discards the replication state of a source, so that all its
// readings are sent again.
func (r *ReadingStore) clearReplicated(source Source) {
	r.replicated.Drop(source)
	delete(r.replicatedTo, source)
}

func (r *ReadingStore) merge(m pool.Meter, now time.Time) {
	if r.known.Merge(m) {
		r.lastGrowth[sourceOf(m)] = now
	}
}

// FleetView describes the other hosts to a host that replicates readings.
type FleetView struct {
	Witnesses func(Source) []topology.HostID // hosts that store a copy of a source's readings
	Listed    func(topology.HostID) bool     // whether the host is live or leaving
}

// DueForReplication returns the readings to send to the witnesses, by source.
// Readings of this process and of ended processes are due immediately. Those of
// other processes are due once no new reading has arrived for the duration
// silence, or a call didn't reach their host: until then the process replicates them
// itself. Witnesses also replicate to
// each other. Readings that have not become durable are due again after
// resendAfter, and immediately if a witness was replaced.
func (r *ReadingStore) DueForReplication(now time.Time, silence, resendAfter time.Duration, fleet FleetView) map[Source][]pool.Meter {
	due := map[Source][]pool.Meter{}
	latest := r.latestBoots()
	for source := range r.known.sources {
		if !fleet.Listed(source.Host) || source.Boot < latest[source.Host] {
			r.ended[source] = true
		}
		if source != r.self && !r.mayHaveEnded(source) && now.Sub(r.lastGrowth[source]) < silence {
			continue
		}
		if now.Sub(r.replicatedAt[source]) >= resendAfter || !r.allReceived(source, fleet.Witnesses(source)) {
			r.clearReplicated(source)
		}
		pending := notCovered(notCovered(r.known.Readings(source), &r.durable), &r.replicated)
		if len(pending) > 0 {
			due[source] = pending
		}
	}
	return due
}

// latestBoots returns the highest known boot number of each host. The boot number
// grows with each start of a process.
func (r *ReadingStore) latestBoots() map[topology.HostID]uint64 {
	latest := maps.Clone(r.processes)
	for source := range r.known.sources {
		latest[source.Host] = max(latest[source.Host], source.Boot)
	}
	return latest
}

// allReceived reports whether every witness has stored the replicated readings.
func (r *ReadingStore) allReceived(source Source, witnesses []topology.HostID) bool {
	for _, id := range witnesses {
		if !slices.ContainsFunc(r.replicatedTo[source], func(s Source) bool { return s.Host == id }) {
			return false
		}
	}
	return true
}

// DueForWrite returns the readings that this host merges into the platform, by
// source, always with every reading of the source. A source is due if some of its
// readings are not durable and it is either this process, or one that this host
// is a witness of and that had no new reading for the duration silence.
func (r *ReadingStore) DueForWrite(now time.Time, silence time.Duration) map[Source][]pool.Meter {
	due := map[Source][]pool.Meter{}
	for source := range r.known.sources {
		if source != r.self && (!r.witnessed[source] || now.Sub(r.lastGrowth[source]) < silence) {
			continue
		}
		readings := r.known.Readings(source)
		if len(notCovered(readings, &r.durable)) > 0 {
			due[source] = readings
		}
	}
	return due
}

// Prune drops the other sources that had no new reading for the duration silence and
// whose readings are all durable.
func (r *ReadingStore) Prune(now time.Time, silence time.Duration) {
	for source := range r.known.sources {
		if source == r.self || now.Sub(r.lastGrowth[source]) < silence {
			continue
		}
		if len(notCovered(r.known.Readings(source), &r.durable)) > 0 {
			continue
		}
		r.known.Drop(source)
		r.durable.Drop(source)
		r.clearReplicated(source)
		delete(r.replicatedAt, source)
		delete(r.confirmedAt, source)
		delete(r.lastGrowth, source)
		delete(r.witnessed, source)
		delete(r.ended, source)
	}
}

// DurableOf returns the durable readings of every source that occurs in readings.
func (r *ReadingStore) DurableOf(readings []pool.Meter) []pool.Meter {
	var durable []pool.Meter
	seen := map[Source]bool{}
	for _, m := range readings {
		if source := sourceOf(m); !seen[source] {
			seen[source] = true
			durable = append(durable, r.durable.Readings(source)...)
		}
	}
	return durable
}

// OwnDurable returns the durable readings of this process.
func (r *ReadingStore) OwnDurable() []pool.Meter { return r.durable.Readings(r.self) }

// ReadingsOf returns the known readings of a customer.
func (r *ReadingStore) ReadingsOf(id topology.CustomerID) []pool.Meter { return r.known.ReadingsOf(id) }

// notCovered returns the readings that are larger than those in ledger.
func notCovered(readings []pool.Meter, ledger *Ledger) []pool.Meter {
	var missing []pool.Meter
	for _, m := range readings {
		if !ledger.Covers(m) {
			missing = append(missing, m)
		}
	}
	return missing
}
