package customer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	pullWait               = 2 * time.Second        // time that the source waits for a change
	pullMargin             = 1 * time.Second        // added to pullWait for the round trip
	pageTimeout            = 2 * time.Second        // for one page
	pullInterval           = 20 * time.Millisecond  // after each response, so that changes in quick succession share a pull
	retryBackoff           = 200 * time.Millisecond // after every source failed
	preferredRetryInterval = 30 * time.Second       // time on a fallback source before the preferred source is retried
	maxSourceAge           = 12 * time.Second       // a source with an older configuration is left for the next one; exceeds one watch wait plus three pull waits
)

// source is a host to pull from, or a seed address while no host ID is known.
type source struct {
	host topology.HostID
	addr string
}

// puller keeps the store up to date by long-polling one source at a time.
type puller struct {
	opts       SyncerOptions
	role       func() TreeRole
	firstRound chan struct{}           // closed after the first round over the sources
	partial    map[string]*partialList // unfinished lists by kind; used by run only

	mu              sync.Mutex
	sourceAgeAtPull time.Duration // age of the source's configuration at pulledAt
	pulledAt        time.Time
	allFailed       bool // no source responded in the last round, or there are none
	roundDone       bool // the first round is over
	lastErr         error
}

// newPuller returns a puller that is not running yet. Without seeds the first
// round counts as failed from the start.
func newPuller(opts SyncerOptions, role func() TreeRole) *puller {
	p := &puller{opts: opts, role: role, firstRound: make(chan struct{}), partial: map[string]*partialList{}}
	if opts.SeedCaller == nil || len(opts.Seeds) == 0 {
		p.endRound(false)
	}
	return p
}

// run pulls until ctx ends. It moves to the next source when a source fails or
// has an outdated configuration itself.
func (p *puller) run(ctx context.Context) {
	next := 0 // index into the sources
	answered := false
	var fallbackSince time.Time // when the preferred source was left
	for ctx.Err() == nil {
		sources := p.sources()
		if next >= len(sources) {
			p.endRound(answered)
			next, answered = 0, false
			sleep(ctx, retryBackoff)
			continue
		}
		if next > 0 && time.Since(fallbackSince) > preferredRetryInterval {
			next = 0
		}
		age, err := p.pull(ctx, sources[next])
		p.recordPull(age, err)
		answered = answered || err == nil
		if err != nil || age > maxSourceAge {
			if next == 0 {
				fallbackSince = time.Now()
			}
			next++
			continue
		}
		p.endRound(true)
		sleep(ctx, pullInterval)
	}
}

// sources returns the sources in order of preference: hosts of the tree, or
// the seeds while no such host is known.
func (p *puller) sources() []source {
	var list []source
	if p.opts.Peers != nil {
		for _, id := range p.role().Sources {
			list = append(list, source{host: id})
		}
	}
	if len(list) == 0 && p.opts.SeedCaller != nil {
		for _, addr := range p.opts.Seeds {
			list = append(list, source{addr: addr})
		}
	}
	return list
}

// pull makes one round trip to the source and merges the deltas. For kinds
// that are incomplete or stale it reads all pages instead. It returns the age
// of the source's configuration.
func (p *puller) pull(ctx context.Context, from source) (time.Duration, error) {
	args := &PullArgs{Revisions: map[string]uint64{}, Wait: pullWait}
	for _, kind := range Kinds {
		revision, complete := p.opts.Store.Revision(kind)
		if complete {
			args.Revisions[kind] = revision
			continue
		}
		if err := p.readPages(ctx, from, kind); err != nil {
			return 0, err
		}
		args.Wait = 0
	}
	var reply PullReply
	if err := p.call(peer.WithLongPoll(ctx), from, "Pull", pullWait+pullMargin, args, &reply); err != nil {
		return 0, err
	}
	confirmedAt := time.Now().Add(-reply.Age)
	changed := map[string]bool{}
	for _, delta := range reply.Deltas {
		changed[delta.Kind] = true
		if delta.Stale {
			if err := p.readPages(ctx, from, delta.Kind); err != nil {
				return 0, err
			}
			continue
		}
		p.opts.Store.Merge(delta, confirmedAt)
	}
	p.confirmUnchanged(args.Revisions, changed, confirmedAt)
	return reply.Age, nil
}

// confirmUnchanged records that the kinds without a delta are as current as
// the source.
func (p *puller) confirmUnchanged(requested map[string]uint64, changed map[string]bool, confirmedAt time.Time) {
	for kind, revision := range requested {
		if !changed[kind] {
			p.opts.Store.Merge(Delta{Kind: kind, From: revision, To: revision}, confirmedAt)
		}
	}
}

// readPages reads all objects of a kind and replaces the local collection with them. It
// continues an earlier attempt that ended before the last page.
func (p *puller) readPages(ctx context.Context, from source, kind string) error {
	partial := p.partialList(kind)
	for {
		var page Page
		args := &PageArgs{Kind: kind, After: partial.after, MaxBytes: partial.pageBytes}
		startedAt := time.Now()
		if err := p.call(ctx, from, "Page", pageTimeout, args, &page); err != nil {
			if time.Since(startedAt) >= pageTimeout {
				partial.notePageLate()
			}
			return err
		}
		partial.add(page, time.Now())
		if !page.More {
			delete(p.partial, kind)
			p.opts.Store.ResetAt(kind, partial.list, time.Time{})
			return nil
		}
	}
}

// partialList returns the pages of a kind that were read so far, if any.
func (p *puller) partialList(kind string) *partialList {
	partial := p.partial[kind]
	if partial == nil || time.Since(partial.lastPageAt) > partialListMaxAge {
		partial = &partialList{lastPageAt: time.Now()}
		p.partial[kind] = partial
	}
	return partial
}

// call invokes a method of the configuration service at the source.
func (p *puller) call(ctx context.Context, to source, method string, timeout time.Duration, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	method = ServiceName + "." + method
	if to.addr != "" {
		return p.opts.SeedCaller.CallAddr(ctx, to.addr, method, args, reply)
	}
	return p.opts.Peers.Call(ctx, to.host, method, args, reply)
}

// endRound records whether any source responded in a round over the sources.
func (p *puller) endRound(answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allFailed = !answered
	if !p.roundDone {
		p.roundDone = true
		close(p.firstRound)
	}
}

// recordPull records the outcome of one pull.
func (p *puller) recordPull(age time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.lastErr = err
		p.countPull("failed")
		return
	}
	p.countPull("ok")
	p.sourceAgeAtPull, p.pulledAt = age, time.Now()
}

func (p *puller) countPull(outcome string) {
	if p.opts.Metrics != nil {
		p.opts.Metrics.GetOrCreateCounter(`nettlewalk_config_pulls_total{outcome="` + outcome + `"}`).Inc()
	}
}

// sourceAge returns the current age of the configuration at the source.
func (p *puller) sourceAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sourceAgeAtPull + time.Since(p.pulledAt)
}

// noneAnswered reports whether a full round over the sources got no response.
func (p *puller) noneAnswered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roundDone && p.allFailed
}

// failureReason describes why no peer provided the configuration.
func (p *puller) failureReason() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastErr == nil {
		return "no peers known"
	}
	return errors.Wrap(p.lastErr, "failed to read the configuration from any peer").Error()
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
