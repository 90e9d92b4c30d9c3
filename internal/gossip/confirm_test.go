package gossip

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/steady"
)

// A host that learns of a read must not count its older configuration as confirmed by it,
// also if it learns of the read through a host that has the older configuration as well.
func TestRelayedReadConfirmsOnlyTheVersionItFound(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.runRounds()
	n.delay = time.Millisecond
	a, b, c := n.hosts["a"], n.hosts["b"], n.hosts["c"]
	for _, g := range n.hosts {
		g.opts.Catalog.OfferConfiguration(&catalog.Configuration{Version: 1, CustomersKnown: true})
	}
	first := steady.Now()
	a.opts.Catalog.RecordConfirmation(1, first)
	n.runRounds()
	qt.Check(t, c.opts.Catalog.ConfirmedAt().After(first), qt.IsFalse)
	qt.Check(t, first.Sub(c.opts.Catalog.ConfirmedAt()) < time.Second, qt.IsTrue)
	a.opts.Catalog.OfferConfiguration(&catalog.Configuration{Version: 2, CustomersKnown: true})
	second := steady.Now()
	a.opts.Catalog.RecordConfirmation(2, second)
	a.opts.Catalog.RecordReadTimes(catalog.ReadTimes{Configuration: second})
	// b learns of the read from a, and c from b. Neither has fetched version 2 yet.
	b.exchange(t.Context(), "a")
	c.exchange(t.Context(), "b")
	qt.Check(t, c.opts.Catalog.ReadTimes().Configuration.After(first), qt.IsTrue)
	qt.Check(t, b.opts.Catalog.ConfirmedAt().After(first), qt.IsFalse)
	qt.Check(t, c.opts.Catalog.ConfirmedAt().After(first), qt.IsFalse)
	n.runRounds()
	for id, g := range n.hosts {
		confirmedAt := g.opts.Catalog.ConfirmedAt()
		qt.Check(t, confirmedAt.After(second), qt.IsFalse, qt.Commentf("%s", id))
		qt.Check(t, second.Sub(confirmedAt) < time.Second && confirmedAt.After(first), qt.IsTrue, qt.Commentf("%s", id))
	}
}

// The same for the registry: a departure counts from the newest read that didn't find it.
func TestRelayedReadConfirmsOnlyTheRegistryItFound(t *testing.T) {
	n := newFakeNetwork("north", "south", "coast")
	n.runRounds()
	n.delay = time.Millisecond
	a, b, c := n.hosts["a"], n.hosts["b"], n.hosts["c"]
	for _, g := range n.hosts {
		g.opts.Catalog.OfferRegistry(&catalog.Registry{Revision: 1})
	}
	first := steady.Now()
	a.opts.Catalog.RecordRegistryConfirmation(catalog.StorePosition{Revision: 1}, first)
	n.runRounds()
	qt.Check(t, c.opts.Catalog.RegistryConfirmedAt().After(first), qt.IsFalse)
	qt.Check(t, first.Sub(c.opts.Catalog.RegistryConfirmedAt()) < time.Second, qt.IsTrue)
	a.opts.Catalog.OfferRegistry(&catalog.Registry{Revision: 2})
	second := steady.Now()
	a.opts.Catalog.RecordRegistryConfirmation(catalog.StorePosition{Revision: 2}, second)
	a.opts.Catalog.RecordReadTimes(catalog.ReadTimes{Registry: second})
	// b learns of the read from a, and c from b. Neither has fetched revision 2 yet.
	b.exchange(t.Context(), "a")
	c.exchange(t.Context(), "b")
	qt.Check(t, c.opts.Catalog.ReadTimes().Registry.After(first), qt.IsTrue)
	qt.Check(t, b.opts.Catalog.RegistryConfirmedAt().After(first), qt.IsFalse)
	qt.Check(t, c.opts.Catalog.RegistryConfirmedAt().After(first), qt.IsFalse)
	n.runRounds()
	for id, g := range n.hosts {
		confirmedAt := g.opts.Catalog.RegistryConfirmedAt()
		qt.Check(t, confirmedAt.After(second), qt.IsFalse, qt.Commentf("%s", id))
		qt.Check(t, second.Sub(confirmedAt) < time.Second && confirmedAt.After(first), qt.IsTrue, qt.Commentf("%s", id))
	}
}

// A host of an earlier version may know of a read before it has the registry that the read
// found, which doesn't show that nothing changed before.
func TestReadOfEarlierVersionConfirmsNoRegistry(t *testing.T) {
	n := newFakeNetwork("north")
	g := n.hosts["a"]
	g.opts.Catalog.OfferRegistry(&catalog.Registry{Revision: 3})
	g.mergeAges(&Digest{Register: catalog.StorePosition{Revision: 3}, RegisterRead: time.Second}, steady.Now())
	qt.Check(t, g.opts.Catalog.RegistryConfirmedAt().IsZero(), qt.IsTrue)
}

// Hosts of an earlier version report only when the store was read. That must count, or
// strict hosts would refuse every key while most of the fleet is of that version.
func TestReadReportedByEarlierVersionConfirms(t *testing.T) {
	n := newFakeNetwork("north")
	g := n.hosts["a"]
	g.opts.Catalog.OfferConfiguration(&catalog.Configuration{Version: 3, CustomersKnown: true})
	sentAt := steady.Now()
	g.mergeAges(&Digest{Configuration: 3, ConfigurationRead: time.Second}, sentAt)
	qt.Check(t, g.opts.Catalog.ConfirmedAt(), qt.Equals, sentAt.Add(-time.Second))
}

// A snapshot from a host of an earlier version has no customers, which is not the same as
// that there are none.
func TestSnapshotOfEarlierVersionLacksCustomers(t *testing.T) {
	type earlierData struct {
		Version uint64
		Routes  []catalog.Route
	}
	e, err := encodeSnapshot(&catalog.Configuration{Version: 1, CustomersKnown: true})
	qt.Assert(t, err, qt.IsNil)
	var whole configurationData
	qt.Assert(t, decodeSnapshot(e.data, &whole), qt.IsNil)
	qt.Check(t, whole.configuration().CustomersKnown, qt.IsTrue)
	var earlier configurationData
	qt.Assert(t, decodeSnapshot(encodeForTest(t, earlierData{Version: 1}), &earlier), qt.IsNil)
	qt.Check(t, earlier.configuration().CustomersKnown, qt.IsFalse)
}

func encodeForTest(t *testing.T, data any) []byte {
	t.Helper()
	var buf bytes.Buffer
	compressor, err := flate.NewWriter(&buf, flate.BestSpeed)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, gob.NewEncoder(compressor).Encode(data), qt.IsNil)
	qt.Assert(t, compressor.Close(), qt.IsNil)
	return buf.Bytes()
}
