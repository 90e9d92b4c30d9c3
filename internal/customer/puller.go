package customer

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	pullWait     = 2 * time.Second        // for a change at the source
	pullGrace    = 1 * time.Second        // for the answer's way
	pageTimeout  = 2 * time.Second        // for one page
	pullPause    = 20 * time.Millisecond  // after an answer, so that changes close together share a pull
	failurePause = 200 * time.Millisecond // after every source failed
	homeAfter    = 30 * time.Second       // with a fallback source the best one is tried again
	staleSource  = 12 * time.Second       // beyond a watch's wait and three pulls' waits a source is left for another
)

// source is where a pull goes: a host, or an address while no name is known.
type source struct {
	host topology.HostID
	addr string
}

// puller keeps one waiting pull at a source.
type puller struct {
	opts       SpreaderOptions
	place      func() Place
	firstRound chan struct{} // closed after the first round over the sources

	mu      sync.Mutex
	age     time.Duration // of the source's knowledge, at ageAt
	ageAt   time.Time
	silent  bool // no source answered in the last round, or there is none
	tried   bool
	lastErr error
}

func newPuller(opts SpreaderOptions, place func() Place) *puller {
	p := &puller{opts: opts, place: place, firstRound: make(chan struct{})}
	if opts.SeedCaller == nil || len(opts.Seeds) == 0 {
		p.endRound(false)
	}
	return p
}

// run pulls until ctx ends. A source that fails, or is out of touch itself, is
// left for the next one.
func (p *puller) run(ctx context.Context) {
	next := 0 // index into the sources
	answered := false
	var left time.Time // when the best source was left
	for ctx.Err() == nil {
		sources := p.sources()
		if next >= len(sources) {
			p.endRound(answered)
			next, answered = 0, false
			pause(ctx, failurePause)
			continue
		}
		if next > 0 && time.Since(left) > homeAfter {
			next = 0
		}
		age, err := p.pull(ctx, sources[next])
		p.note(age, err)
		answered = answered || err == nil
		if err != nil || age > staleSource {
			if next == 0 {
				left = time.Now()
			}
			next++
			continue
		}
		p.endRound(true)
		pause(ctx, pullPause)
	}
}

// sources returns where to pull from, the best first.
func (p *puller) sources() []source {
	var list []source
	if p.opts.Peers != nil {
		for _, id := range p.place().Sources {
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

// pull makes one round trip, or reads all pages of kinds that need it. It
// returns how old the source's knowledge is.
func (p *puller) pull(ctx context.Context, from source) (time.Duration, error) {
	args := &PullArgs{Revisions: map[string]uint64{}, Wait: pullWait}
	for _, kind := range Kinds {
		revision, whole := p.opts.Store.Revision(kind)
		if whole {
			args.Revisions[kind] = revision
			continue
		}
		if err := p.readPages(ctx, from, kind); err != nil {
			return 0, err
		}
		args.Wait = 0
	}
	var reply PullReply
	if err := p.call(peer.Patient(ctx), from, "Pull", pullWait+pullGrace, args, &reply); err != nil {
		return 0, err
	}
	current := time.Now().Add(-reply.Age)
	news := map[string]bool{}
	for _, delta := range reply.Deltas {
		news[delta.Kind] = true
		if delta.Stale {
			if err := p.readPages(ctx, from, delta.Kind); err != nil {
				return 0, err
			}
			continue
		}
		p.opts.Store.Merge(delta, current)
	}
	p.confirm(args.Revisions, news, current)
	return reply.Age, nil
}

// confirm notes that the kinds without news are as current as the source.
func (p *puller) confirm(asked map[string]uint64, news map[string]bool, current time.Time) {
	for kind, revision := range asked {
		if !news[kind] {
			p.opts.Store.Merge(Delta{Kind: kind, From: revision, To: revision}, current)
		}
	}
}

// readPages reads all objects of a kind and replaces this host's.
func (p *puller) readPages(ctx context.Context, from source, kind string) error {
	list := platform.List{}
	args := &PageArgs{Kind: kind}
	for first := true; ; first = false {
		var page Page
		if err := p.call(ctx, from, "Page", pageTimeout, args, &page); err != nil {
			return err
		}
		if first {
			list.Revision = page.Revision
		}
		for _, item := range page.Items {
			object := platform.Object{Kind: kind, Name: item.Name, Version: item.Version, Value: item.Value}
			list.Objects = append(list.Objects, object)
		}
		if !page.More {
			p.opts.Store.ResetAt(kind, list, time.Time{})
			return nil
		}
		args.After = page.Items[len(page.Items)-1].Name
	}
}

func (p *puller) call(ctx context.Context, to source, method string, timeout time.Duration, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	method = ServiceName + "." + method
	if to.addr != "" {
		return p.opts.SeedCaller.CallAddr(ctx, to.addr, method, args, reply)
	}
	return p.opts.Peers.Call(ctx, to.host, method, args, reply)
}

// endRound notes whether any source answered.
func (p *puller) endRound(answered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = !answered
	if !p.tried {
		p.tried = true
		close(p.firstRound)
	}
}

func (p *puller) note(age time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.lastErr = err
		p.count("failed")
		return
	}
	p.count("ok")
	p.age, p.ageAt = age, time.Now()
}

func (p *puller) count(outcome string) {
	if p.opts.Metrics != nil {
		p.opts.Metrics.GetOrCreateCounter(`nettlewalk_config_pulls_total{outcome="` + outcome + `"}`).Inc()
	}
}

// sourceAge returns how old the source's knowledge is by now.
func (p *puller) sourceAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.age + time.Since(p.ageAt)
}

// noneAnswered tells whether a whole round brought no answer.
func (p *puller) noneAnswered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tried && p.silent
}

// failure tells why no peer gave the configuration.
func (p *puller) failure() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastErr == nil {
		return "no peer is known"
	}
	return errors.Wrap(p.lastErr, "no peer gave the configuration").Error()
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
