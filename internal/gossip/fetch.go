package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/steady"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const fetchMethod = ServiceName + ".Fetch"

const (
	// chunkTimeout limits the call for one chunk.
	chunkTimeout = 2 * time.Second
	// fetchRetryDelay is the mean time until a host is asked again after all hosts with
	// the newest snapshot were busy or failed.
	fetchRetryDelay = 100 * time.Millisecond
)

// errSourceBusy reports that a host serves enough other downloads.
var errSourceBusy = errors.New("host serves other downloads")

// fetcher downloads the snapshots of one kind, one at a time.
type fetcher struct {
	kind     SnapshotKind
	wake     chan struct{} // another host has a newer snapshot
	download download      // kept after a failure, to be continued from another host
}

func newFetchers() [snapshotKinds]*fetcher {
	var list [snapshotKinds]*fetcher
	for kind := range snapshotKinds {
		list[kind] = &fetcher{kind: kind, wake: make(chan struct{}, 1)}
	}
	return list
}

// wakeFetchers makes the fetchers of the kinds run of which the digest's sender has a
// newer snapshot.
func (g *Gossip) wakeFetchers(d *Digest) {
	configuration, register := g.opts.Catalog.Versions()
	if d.Configuration > configuration {
		g.fetchers[ConfigurationSnapshot].request()
	}
	if d.Register.After(register) {
		g.fetchers[RegistrySnapshot].request()
	}
}

func (f *fetcher) request() {
	select {
	case f.wake <- struct{}{}:
	default: // already requested
	}
}

// runFetcher fetches newer snapshots until ctx ends.
func (g *Gossip) runFetcher(ctx context.Context, f *fetcher) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for !g.fetchNewest(ctx, f) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(fetchRetryDelay/2 + rand.N(fetchRetryDelay)):
			}
		}
	}
}

// fetchNewest fetches the newest snapshot that any host announced. It tries each host
// that has it once and returns false if none of them delivered it.
func (g *Gossip) fetchNewest(ctx context.Context, f *fetcher) (done bool) {
	tried := map[topology.HostID]bool{}
	for {
		id, name, behind := g.pickSource(f.kind, tried)
		if !behind {
			return true
		}
		if id == "" {
			return false
		}
		tried[id] = true
		before := g.ownPosition(f.kind)
		err := g.fetchFrom(ctx, f, id, name)
		countFetch(err)
		switch {
		case err == nil:
			if g.ownPosition(f.kind).After(before) {
				clear(tried)
			}
		case ctx.Err() != nil:
			return true
		case !errors.Is(err, errSourceBusy):
			g.opts.Log.Info("snapshot not fetched", "kind", f.kind.String(), "peer", name, "addr", id,
				"received", len(f.download.data), "size", f.download.size, "error", err.Error())
		}
	}
}

// pickSource returns a random host among those that announced the newest snapshot of the
// kind, except for tried ones, or "" if there is none left. behind is false if no host
// has a newer snapshot than this one.
func (g *Gossip) pickSource(kind SnapshotKind, tried map[topology.HostID]bool) (id topology.HostID, name string, behind bool) {
	newest := g.ownPosition(kind)
	now := steady.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	count := 0
	for candidate, k := range g.hosts {
		position := k.position(kind)
		if !k.fetchable || now.Sub(k.lastHeard) > livenessTimeout || newest.After(position) {
			continue
		}
		if position.After(newest) {
			newest, id, name, count, behind = position, "", "", 0, true
		}
		if !behind || tried[candidate] {
			continue
		}
		if count++; rand.IntN(count) == 0 {
			id, name = candidate, k.host.Name
		}
	}
	return id, name, behind
}

// ownPosition returns the position of this host's snapshot of the kind. That of a
// configuration is its version, as a revision.
func (g *Gossip) ownPosition(kind SnapshotKind) catalog.StorePosition {
	configuration, register := g.opts.Catalog.Versions()
	if kind == RegistrySnapshot {
		return register
	}
	return catalog.StorePosition{Revision: configuration}
}

// position returns what ownPosition is at the other host.
func (k *knownHost) position(kind SnapshotKind) catalog.StorePosition {
	if kind == RegistrySnapshot {
		return k.register
	}
	return catalog.StorePosition{Revision: k.configuration}
}

// fetchFrom downloads the host's snapshot and offers it to the catalog.
func (g *Gossip) fetchFrom(ctx context.Context, f *fetcher, id topology.HostID, name string) error {
	startedAt, d := steady.Now(), &f.download
	for !d.complete() {
		args := FetchArgs{From: g.opts.Self.Addr, Kind: f.kind, Sum: d.sum, Offset: len(d.data)}
		if err := g.fetchChunk(ctx, id, &args, d); err != nil {
			return err
		}
	}
	received := *d
	*d = download{}
	e, err := received.encoded()
	if err != nil {
		return err
	}
	if err := g.offerReceived(f.kind, e, name); err != nil {
		return err
	}
	g.opts.Log.V(1).Info("snapshot fetched", "kind", f.kind.String(), "peer", name, "bytes", received.size, "ms", steady.Now().Sub(startedAt).Milliseconds())
	return nil
}

// fetchChunk makes one call and adds its data to the download.
func (g *Gossip) fetchChunk(ctx context.Context, id topology.HostID, args *FetchArgs, d *download) error {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	var reply FetchReply
	if err := g.opts.Caller.Call(ctx, id, fetchMethod, args, &reply); err != nil {
		return err
	}
	if reply.Busy {
		return errSourceBusy
	}
	snapshotBytes[args.Kind].Add(len(reply.Data))
	if err := d.add(&reply); err != nil {
		*d = download{}
		return err
	}
	return nil
}

// Fetch returns a part of this host's snapshot of a kind.
func (s *Service) Fetch(args *FetchArgs, reply *FetchReply) error {
	g := s.gossip
	if args.Kind >= snapshotKinds {
		return result.New(result.BadProtocol, "unknown kind of snapshot %d", args.Kind)
	}
	source := g.snapshot(args.Kind)
	if source == nil {
		return result.New(result.NotFound, "this host has no %s", args.Kind)
	}
	current, err := g.snapshots.get(args.Kind, source)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	*reply = g.uploads[args.Kind].serve(args, current, steady.Now())
	return nil
}
