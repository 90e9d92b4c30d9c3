package gossip

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/catalog"
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
// DEFLATE. The fastest level already makes a configuration five times smaller.
type encodedSnapshot struct {
	source any // the *catalog.Configuration or *catalog.Registry
	data   []byte
	sum    uint64 // checksum of data
}

func encodeSnapshot(source any) (*encodedSnapshot, error) {
	var buf bytes.Buffer
	compressor, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(compressor).Encode(source); err != nil {
		return nil, errors.Wrap(err, "encode snapshot")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return &encodedSnapshot{source: source, data: buf.Bytes(), sum: xxhash.Sum64(buf.Bytes())}, nil
}

// decodeSnapshot decodes data into target, a pointer to a zero value.
func decodeSnapshot(data []byte, target any) error {
	decompressor := flate.NewReader(bytes.NewReader(data))
	defer decompressor.Close()
	err := gob.NewDecoder(io.LimitReader(decompressor, maxSnapshotBytes)).Decode(target)
	return errors.Wrap(err, "decode snapshot")
}

// snapshotCache holds the encoding of the present snapshot of each kind. It is safe for
// concurrent use.
type snapshotCache struct {
	mu      sync.Mutex
	encoded [snapshotKinds]*encodedSnapshot
}

// get returns the encoding of source, the present snapshot of the kind.
func (c *snapshotCache) get(kind SnapshotKind, source any) (*encodedSnapshot, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.encoded[kind]; e != nil && e.source == source {
		return e, nil
	}
	e, err := encodeSnapshot(source)
	if err != nil {
		return nil, err
	}
	c.encoded[kind] = e
	return e, nil
}

// put stores the encoding in which a snapshot was received, so that it is passed on
// without being encoded again.
func (c *snapshotCache) put(kind SnapshotKind, e *encodedSnapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.encoded[kind] = e
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

// offerReceived decodes a received snapshot and offers it to the catalog.
func (g *Gossip) offerReceived(kind SnapshotKind, e *encodedSnapshot, sender string) error {
	if kind == RegistrySnapshot {
		r := &catalog.Registry{}
		if err := decodeSnapshot(e.data, r); err != nil {
			return err
		}
		e.source = r
		g.offerRegistry(r, sender)
	} else {
		c := &catalog.Configuration{}
		if err := decodeSnapshot(e.data, c); err != nil {
			return err
		}
		e.source = c
		g.offerConfiguration(c, sender)
	}
	g.snapshots.put(kind, e)
	return nil
}

// offerConfiguration offers a configuration of another host to the catalog.
func (g *Gossip) offerConfiguration(c *catalog.Configuration, sender string) {
	if g.opts.Catalog.OfferConfiguration(c) {
		g.opts.Log.Info("configuration in force", "version", c.Version, "source", sender, "routes", len(c.Routes))
		g.TriggerRound()
	}
}

// offerRegistry offers a registry of another host to the catalog.
func (g *Gossip) offerRegistry(r *catalog.Registry, sender string) {
	if g.opts.Catalog.OfferRegistry(r) {
		g.opts.Log.Info("target register updated", "revision", r.Revision, "source", sender)
	}
}
