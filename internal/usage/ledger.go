package usage

import (
	"sort"

	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Source identifies a process that keeps meters: a host and the boot number of
// the process. The boot number grows with each start.
type Source struct {
	Host topology.HostID
	Boot uint64
}

// sourceOf returns the process that the meter belongs to.
func sourceOf(m pool.Meter) Source { return Source{Host: m.Host, Boot: m.Boot} }

// Totals holds the readings of one source by customer.
type Totals map[topology.CustomerID]pool.Usage

// Ledger holds the largest reading of each meter. The zero value is empty and
// ready for use.
type Ledger struct{ sources map[Source]Totals }

// Merge merges a reading and reports whether it was larger than the stored one.
func (l *Ledger) Merge(m pool.Meter) bool {
	source := sourceOf(m)
	known := l.sources[source][m.Customer]
	largest := maxUsage(known, m.Total)
	if largest == known {
		return false
	}
	if l.sources == nil {
		l.sources = map[Source]Totals{}
	}
	if l.sources[source] == nil {
		l.sources[source] = Totals{}
	}
	l.sources[source][m.Customer] = largest
	return true
}

// MergeAll merges readings and reports whether any was larger than the stored one.
func (l *Ledger) MergeAll(meters []pool.Meter) bool {
	changed := false
	for _, m := range meters {
		changed = l.Merge(m) || changed
	}
	return changed
}

// Covers reports whether the stored reading of the meter is at least m.
func (l *Ledger) Covers(m pool.Meter) bool {
	known := l.sources[sourceOf(m)][m.Customer]
	return maxUsage(known, m.Total) == known
}

// Usage returns a customer's usage, summed over all sources.
func (l *Ledger) Usage(id topology.CustomerID) pool.Usage {
	var sum pool.Usage
	for _, totals := range l.sources {
		sum = addUsage(sum, totals[id])
	}
	return sum
}

// Readings returns the readings of one source, sorted by customer.
func (l *Ledger) Readings(source Source) []pool.Meter {
	meters := make([]pool.Meter, 0, len(l.sources[source]))
	for id, total := range l.sources[source] {
		meters = append(meters, pool.Meter{Host: source.Host, Boot: source.Boot, Customer: id, Total: total})
	}
	sort.Slice(meters, func(i, j int) bool { return meters[i].Customer < meters[j].Customer })
	return meters
}

// ReadingsOf returns a customer's readings, one per source, in no defined order.
func (l *Ledger) ReadingsOf(id topology.CustomerID) []pool.Meter {
	var meters []pool.Meter
	for source, totals := range l.sources {
		if total, ok := totals[id]; ok {
			meters = append(meters, pool.Meter{Host: source.Host, Boot: source.Boot, Customer: id, Total: total})
		}
	}
	return meters
}

// Sources returns the sources that have readings, in no defined order.
func (l *Ledger) Sources() []Source {
	sources := make([]Source, 0, len(l.sources))
	for source := range l.sources {
		sources = append(sources, source)
	}
	return sources
}

// Drop removes all readings of a source.
func (l *Ledger) Drop(source Source) { delete(l.sources, source) }

// maxUsage returns the larger of two readings of one meter. All fields grow
// together, so the field-wise maximum equals one of the two readings.
func maxUsage(a, b pool.Usage) pool.Usage {
	return pool.Usage{
		Statements: max(a.Statements, b.Statements),
		Rows:       max(a.Rows, b.Rows),
		Bytes:      max(a.Bytes, b.Bytes),
		TargetTime: max(a.TargetTime, b.TargetTime),
	}
}

func addUsage(a, b pool.Usage) pool.Usage {
	return pool.Usage{
		Statements: a.Statements + b.Statements,
		Rows:       a.Rows + b.Rows,
		Bytes:      a.Bytes + b.Bytes,
		TargetTime: a.TargetTime + b.TargetTime,
	}
}
