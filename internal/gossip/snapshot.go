package gossip

import (
	"bytes"
	"cmp"
	"compress/flate"
	"encoding/gob"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// SnapshotKind is a kind of state that hosts fetch from each other as a whole.
type SnapshotKind uint8

// Kinds of snapshots.
const (
	ConfigurationSnapshot SnapshotKind = iota
	RegistrySnapshot
	snapshotKinds // number of kinds
)

// String returns the kind's name for logs and metrics.
func (k SnapshotKind) String() string {
	return [snapshotKinds]string{"configuration", "registry"}[k]
}

// maxSnapshotBytes limits a snapshot, compressed or not.
const maxSnapshotBytes = 64 << 20

// encodedSnapshot is a snapshot as it is sent to other hosts: gob, compressed with
// DEFLATE. All hosts encode a snapshot into the same bytes, so that a download can
// continue at another host.
type encodedSnapshot struct {
	source any // the *catalog.Configuration or *catalog.Registry
	data   []byte
	sum    uint64 // checksum of data
}

// configurationData is a catalog.Configuration without maps, whose order gob would draw
// at random.
type configurationData struct {
	Version         uint64
	Routes          []catalog.Route // sorted by database
	Groups          []catalog.Group // sorted by ID
	TransactionIdle time.Duration
	Customers       []catalog.Customer // sorted by ID
	CustomersKnown  bool               // false from hosts of earlier versions
}

// registryData is the same for a catalog.Registry.
type registryData struct {
	Era, Revision uint64
	Members       []catalog.Member // sorted by ID
}

// gob numbers types in the order in which a process first encodes or decodes them, and
// sends the numbers. Encoding these types once at the start gives them the same numbers
// in all processes of one build.
func init() {
	for _, data := range []any{configurationData{}, registryData{}} {
		if err := gob.NewEncoder(io.Discard).Encode(data); err != nil {
			panic(err) // can't happen: the types have only fields that gob supports
		}
	}
}

func newConfigurationData(c *catalog.Configuration) *configurationData {
	return &configurationData{
		Version:         c.Version,
		Routes:          sortedValues(c.Routes),
		Groups:          sortedValues(c.Groups),
		TransactionIdle: c.TransactionIdle,
		Customers:       sortedValues(c.Customers),
		CustomersKnown:  c.CustomersKnown,
	}
}

func (d *configurationData) configuration() *catalog.Configuration {
	c := &catalog.Configuration{
		Version:         d.Version,
		Routes:          make(map[string]catalog.Route, len(d.Routes)),
		Groups:          make(map[topology.GroupID]catalog.Group, len(d.Groups)),
		TransactionIdle: d.TransactionIdle,
	}
	for _, r := range d.Routes {
		c.Routes[r.Database] = r
	}
	for _, g := range d.Groups {
		c.Groups[g.ID] = g
	}
	c.SetCustomers(d.Customers)
	c.CustomersKnown = d.CustomersKnown
	return c
}

func newRegistryData(r *catalog.Registry) *registryData {
	return &registryData{Era: r.Era, Revision: r.Revision, Members: sortedValues(r.Members)}
}

func (d *registryData) registry() *catalog.Registry {
	r := &catalog.Registry{Era: d.Era, Revision: d.Revision, Members: make(map[topology.TargetID]catalog.Member, len(d.Members))}
	for _, m := range d.Members {
		r.Members[m.Target.ID] = m
	}
	return r
}

// sortedValues returns the values of m in the order of their keys.
func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[key])
	}
	return values
}

// encodeSnapshot encodes a *catalog.Configuration or *catalog.Registry.
func encodeSnapshot(source any) (*encodedSnapshot, error) {
	var data any
	switch s := source.(type) {
	case *catalog.Configuration:
		data = newConfigurationData(s)
	case *catalog.Registry:
		data = newRegistryData(s)
	default:
		return nil, errors.Newf("snapshot of type %T", source)
	}
	var buf bytes.Buffer
	compressor, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(compressor).Encode(data); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return &encodedSnapshot{source: source, data: buf.Bytes(), sum: xxhash.Sum64(buf.Bytes())}, nil
}

// decodeSnapshot decodes data into target, a *configurationData or *registryData.
func decodeSnapshot(data []byte, target any) error {
	decompressor := flate.NewReader(bytes.NewReader(data))
	defer decompressor.Close()
	err := gob.NewDecoder(io.LimitReader(decompressor, maxSnapshotBytes)).Decode(target)
	return errors.Wrap(err, "decode snapshot")
}

// snapshotCache holds encodings of the present snapshot of one kind. It is safe for
// concurrent use.
type snapshotCache struct {
	encode func(source any) (*encodedSnapshot, error)
	// lock guards the fields below, while it holds a value. It is held during encode, for
	// which waiting calls wait; package synctest can't tell that of a mutex.
	lock     chan struct{}
	encoded  *encodedSnapshot // encoded by this host
	received *encodedSnapshot // received from another one, which saves encoding it again
}

func newSnapshotCaches() [snapshotKinds]*snapshotCache {
	var list [snapshotKinds]*snapshotCache
	for kind := range snapshotKinds {
		list[kind] = &snapshotCache{encode: encodeSnapshot, lock: make(chan struct{}, 1)}
	}
	return list
}

// get returns the encoding of source, the present snapshot, and how long this host took to
// encode it, or waited for another call that did.
func (c *snapshotCache) get(source any) (e *encodedSnapshot, took time.Duration, err error) {
	startedAt := time.Now()
	c.lock <- struct{}{}
	defer func() { <-c.lock }()
	for _, e := range []*encodedSnapshot{c.received, c.encoded} {
		if e != nil && e.source == source {
			return e, time.Since(startedAt), nil
		}
	}
	snapshotsEncoded.Inc()
	if e, err = c.encode(source); err != nil {
		return nil, 0, err
	}
	c.encoded = e
	return e, time.Since(startedAt), nil
}

// setReceived stores the encoding in which a snapshot was received.
func (c *snapshotCache) setReceived(e *encodedSnapshot) {
	c.lock <- struct{}{}
	defer func() { <-c.lock }()
	c.received = e
}

// retain drops the encodings of other snapshots than source, which hold them in memory.
func (c *snapshotCache) retain(source any) {
	c.lock <- struct{}{}
	defer func() { <-c.lock }()
	for _, e := range []**encodedSnapshot{&c.received, &c.encoded} {
		if *e != nil && (*e).source != source {
			*e = nil
		}
	}
}

// snapshot returns the present snapshot of the kind, or nil if there is none.
func (g *Gossip) snapshot(kind SnapshotKind) any {
	if kind == RegistrySnapshot {
		if r := g.opts.Catalog.Registry(); r != nil {
			return r
		}
		return nil
	}
	if c := g.opts.Catalog.Configuration(); c != nil {
		return c
	}
	return nil
}

// offerReceived decodes a received snapshot, offers it to the catalog and returns its
// position.
func (g *Gossip) offerReceived(kind SnapshotKind, e *encodedSnapshot, sender string) (catalog.StorePosition, error) {
	if kind == RegistrySnapshot {
		var data registryData
		if err := decodeSnapshot(e.data, &data); err != nil {
			return catalog.StorePosition{}, err
		}
		r := data.registry()
		g.offerEncoded(kind, e, r, func() { g.offerRegistry(r, sender) })
		return r.Position(), nil
	}
	var data configurationData
	if err := decodeSnapshot(e.data, &data); err != nil {
		return catalog.StorePosition{}, err
	}
	c := data.configuration()
	g.offerEncoded(kind, e, c, func() { g.offerConfiguration(c, sender) })
	return catalog.StorePosition{Revision: c.Version}, nil
}

// offerEncoded calls offer, which offers source to the catalog, and keeps e as its encoding
// if the catalog takes it. Other hosts may ask for it as soon as the catalog has it. If the
// catalog has the same version from elsewhere, the encoding of that one is kept.
func (g *Gossip) offerEncoded(kind SnapshotKind, e *encodedSnapshot, source any, offer func()) {
	e.source = source
	g.snapshots[kind].setReceived(e)
	offer()
	g.snapshots[kind].retain(g.snapshot(kind))
}

// offerConfiguration offers a configuration of another host to the catalog.
func (g *Gossip) offerConfiguration(c *catalog.Configuration, sender string) {
	if g.opts.Catalog.OfferConfiguration(c) {
		g.opts.Log.Info("configuration in force", "version", c.Version, "source", sender, "routes", len(c.Routes), "customers", len(c.Customers), "keys", len(c.KeyOwners))
		g.TriggerRound()
	}
}

// offerRegistry offers a registry of another host to the catalog.
func (g *Gossip) offerRegistry(r *catalog.Registry, sender string) {
	if g.opts.Catalog.OfferRegistry(r) {
		g.opts.Log.Info("target register updated", "revision", r.Revision, "source", sender)
	}
}
