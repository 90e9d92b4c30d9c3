package gossip

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const fetchMethod = ServiceName + ".Fetch"

const (
	// chunkTimeout limits the call for one chunk.
	chunkTimeout = 2 * time.Second
	// slowChunk is the time for one chunk after which the download continues at another
	// host, if there is one. It does so maxSlowSources times at most: if all hosts are
	// slow, it is this host's own link. The time in which the other host encodes the
	// snapshot doesn't count: the next one would have to encode it as well.
	slowChunk      = 250 * time.Millisecond
	maxSlowSources = 2
	// fetchRetryDelay is the mean time until hosts are asked again after all with the
	// newest snapshot were busy. After failures it doubles up to maxFetchRetryDelay.
	fetchRetryDelay    = 100 * time.Millisecond
	maxFetchRetryDelay = time.Second
)

var (
	// errSourceBusy reports that a host serves enough other downloads.
	errSourceBusy = errors.New("host serves other downloads")
	// errSourceSlow reports that the download should continue at another host.
	errSourceSlow = errors.New("host is slow")
)

// fetcher downloads the snapshots of one kind, one at a time.
type fetcher struct {
	kind        SnapshotKind
	wake        chan struct{} // another host has a newer snapshot
	download    download      // kept after a failure, to be continued from another host
	slowSources int           // hosts that the download left because they were slow
}

func newFetchers() [snapshotKinds]*fetcher {
	var list [snapshotKinds]*fetcher
	for kind := range snapshotKinds {
		list[kind] = &fetcher{kind: kind, wake: make(chan struct{}, 1)}
	}
	return list
}

// wakeFetchers requests a fetch of each snapshot that is newer at the digest's sender.
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

// reset forgets the download.
func (f *fetcher) reset() { f.download, f.slowSources = download{}, 0 }

// runFetcher fetches newer snapshots until ctx ends.
func (g *Gossip) runFetcher(ctx context.Context, f *fetcher) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for delay := fetchRetryDelay; ; {
			result := g.fetchNewest(ctx, f)
			if result == fetchDone {
				break
			}
			if result == fetchFailed {
				delay = min(2*delay, maxFetchRetryDelay)
			}
			select {
			case <-ctx.Done():
				return
			case <-time.After(delay/2 + rand.N(delay)):
			}
		}
	}
}

// fetchResult is the result of fetchNewest.
type fetchResult int

const (
	fetchDone   fetchResult = iota // no host has a newer snapshot, or ctx ended
	fetchBusy                      // the hosts that have it serve other downloads
	fetchFailed                    // no host delivered it
)

// fetchNewest fetches snapshots until no host has a newer one. It asks each host once,
// those with the newest snapshot first, and others only if all of those failed.
func (g *Gossip) fetchNewest(ctx context.Context, f *fetcher) fetchResult {
	tried := map[topology.HostID]bool{}
	var busy catalog.StorePosition // newest snapshot of a busy host
	for {
		s := g.pickSource(f.kind, tried)
		switch {
		case !s.behind || ctx.Err() != nil:
			f.reset()
			return fetchDone
		case s.host == "" || busy.After(s.position):
			if busy != (catalog.StorePosition{}) {
				return fetchBusy
			}
			return fetchFailed
		}
		tried[s.host] = true
		before := g.ownPosition(f.kind)
		err := g.fetchFrom(ctx, f, &s, tried)
		countFetch(err)
		switch {
		case err == nil:
			if g.ownPosition(f.kind).After(before) {
				clear(tried)
			}
		case errors.Is(err, errSourceSlow): // another host has the same snapshot
			f.slowSources++
		case errors.Is(err, errSourceBusy):
			busy = s.position
		case ctx.Err() == nil:
			g.opts.Log.Info("snapshot not fetched", "kind", f.kind.String(), "peer", s.name, "addr", s.host,
				"received", len(f.download.data), "size", f.download.size, "error", err.Error())
		}
	}
}

// source is a host from which a snapshot can be fetched.
type source struct {
	host     topology.HostID // "": there is none
	name     string
	position catalog.StorePosition // of its snapshot
	behind   bool                  // whether any host, tried or not, has a newer snapshot than this one
}

// pickSource returns a random host among those that announced the newest snapshot of the
// kind, leaving out those that were tried. With PreferOwnDomain it returns one of this
// host's domain if there is any.
func (g *Gossip) pickSource(kind SnapshotKind, tried map[topology.HostID]bool) source {
	own, now := g.ownPosition(kind), g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var best source
	count, nearFound := 0, false // count of hosts with best.position, of those in the domain once one is found
	for id, k := range g.hosts {
		position := k.position(kind)
		if !k.fetchable || now.Sub(k.lastHeard) > livenessTimeout || !position.After(own) {
			continue
		}
		best.behind = true
		if tried[id] || best.position.After(position) {
			continue
		}
		if position != best.position {
			best.position, count, nearFound = position, 0, false
		}
		if near := g.opts.PreferOwnDomain && k.host.Domain == g.opts.Self.Domain; near != nearFound {
			if nearFound {
				continue
			}
			count, nearFound = 0, true
		}
		if count++; rand.IntN(count) == 0 {
			best.host, best.name = id, k.host.Name
		}
	}
	return best
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

// fetchFrom downloads the host's snapshot and offers it to the catalog. It returns
// errSourceSlow if the host is slow and one that wasn't tried has the same snapshot.
func (g *Gossip) fetchFrom(ctx context.Context, f *fetcher, s *source, tried map[topology.HostID]bool) error {
	d := &f.download
	for !d.complete() {
		if !s.position.After(g.ownPosition(f.kind)) {
			f.reset()
			return nil // the snapshot has arrived from elsewhere, for instance from the store
		}
		args := FetchArgs{From: g.opts.Self.Addr, Kind: f.kind, Sum: d.sum, Offset: len(d.data)}
		transfer, err := g.fetchChunk(ctx, s.host, &args, d)
		if err != nil {
			return err
		}
		isSlow := transfer > slowChunk && f.slowSources < maxSlowSources
		if isSlow && !d.complete() && g.pickSource(f.kind, tried).position == s.position {
			return errSourceSlow
		}
	}
	received := *d
	f.reset()
	e, err := received.encoded()
	if err != nil {
		return err
	}
	position, err := g.offerReceived(f.kind, e, s.name)
	if err != nil {
		return err
	}
	g.recordDelivered(f.kind, s, position)
	return nil
}

// recordDelivered records which snapshot the host delivered if that is older than the
// one that it had announced: it has restarted since.
func (g *Gossip) recordDelivered(kind SnapshotKind, s *source, position catalog.StorePosition) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := g.hosts[s.host]
	if k == nil || !s.position.After(position) || k.position(kind) != s.position {
		return
	}
	if kind == RegistrySnapshot {
		k.register = position
		return
	}
	k.configuration = position.Revision
}

// fetchChunk makes one call and adds its data to the download. transfer is how long the
// call took, without the time in which the other host encoded the snapshot.
func (g *Gossip) fetchChunk(ctx context.Context, id topology.HostID, args *FetchArgs, d *download) (transfer time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, chunkTimeout)
	defer cancel()
	var reply FetchReply
	sentAt := g.now()
	if err := g.opts.Caller.Call(ctx, id, fetchMethod, args, &reply); err != nil {
		return 0, err
	}
	transfer = g.now().Sub(sentAt) - max(reply.Prepared, 0)
	if reply.Busy {
		return 0, errSourceBusy
	}
	snapshotBytes[args.Kind].Add(len(reply.Data))
	if err := d.add(&reply); err != nil {
		*d = download{}
		return 0, err
	}
	return transfer, nil
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
	current, took, err := g.snapshots[args.Kind].get(source)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	*reply = g.uploads[args.Kind].serve(args, current, g.now())
	if !reply.Busy {
		reply.Prepared = took
	}
	return nil
}
