package usage

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"nettlewalk.example/nettlewalk/internal/peer"
	"nettlewalk.example/nettlewalk/internal/platform"
	"nettlewalk.example/nettlewalk/internal/pool"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// Options configures a Keeper.
type Options struct {
	Self    topology.HostID
	Boot    uint64 // of this process
	Client  *platform.Client
	Peers   peer.Caller
	Hosts   func() []topology.Host // live and leaving ones
	Metrics *metrics.Set           // nil: none are kept
	Log     logr.Logger
}

// Keeper meters this host's work, keeps readings of other hosts' meters, and
// writes to the platform what it has to. Safe for concurrent use.
type Keeper struct {
	opts Options
	self Source

	mu          sync.Mutex
	holdings    *Holdings
	durableNews bool              // the witnesses don't know yet what became durable
	versions    map[Source]uint64 // of the platform's objects, as last seen
	lastFlush   time.Time

	handing   sync.Mutex // one round at a time
	witnesses witnessCache
}

// NewKeeper returns a keeper that isn't running yet.
func NewKeeper(opts Options) *Keeper {
	self := Source{Host: opts.Self, Boot: opts.Boot}
	k := &Keeper{opts: opts, self: self, holdings: NewHoldings(self), versions: map[Source]uint64{}}
	if opts.Metrics != nil {
		opts.Metrics.NewGauge("nettlewalk_usage_unwritten_seconds", func() float64 { return k.unwritten().Seconds() })
	}
	return k
}

// Consume adds what a batch of the customer consumed at this host. It is the
// pool's OnUsage.
func (k *Keeper) Consume(id topology.CustomerID, _ topology.GroupID, used pool.Usage) pool.Meter {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holdings.Consume(id, used, time.Now())
}

// Observe returns an executor that notes the meters in the answers of next.
func (k *Keeper) Observe(next pool.Executor) pool.Executor {
	return &observer{Executor: next, keeper: k}
}

func (k *Keeper) saw(m pool.Meter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holdings.Saw(m, time.Now())
}

// Run hands readings to witnesses and writes until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { k.handLoop(ctx) })
	loops.Go(func() { k.writeLoop(ctx) })
	loops.Wait()
}

func (k *Keeper) handLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hosts := k.opts.Hosts()
		k.hand(ctx, hosts, entrySilence)
		k.forget(keepFor(len(hosts)))
		pause(ctx, handInterval(len(hosts)))
	}
}

func (k *Keeper) writeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hosts := len(k.opts.Hosts())
		wait := flushInterval(hosts)
		if !k.write(ctx, witnessSilence(hosts)) {
			wait = min(wait, retryInterval)
		}
		pause(ctx, wait)
	}
}

// Leave writes and hands over everything, once no more work comes.
func (k *Keeper) Leave(ctx context.Context) {
	k.write(ctx, 0)
	k.hand(ctx, k.opts.Hosts(), 0)
}

func (k *Keeper) forget(keep time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holdings.Forget(time.Now(), keep)
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// unwritten returns for how long something of this host's own waits to be written.
func (k *Keeper) unwritten() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(notCovered(k.holdings.known.Readings(k.self), &k.holdings.durable)) == 0 {
		return 0
	}
	return time.Since(k.lastFlush)
}

// Dump is the keeper's state.
type Dump struct {
	Source    Source        `json:"source"`
	Own       []pool.Meter  `json:"own"`
	Durable   []pool.Meter  `json:"durable"`
	Unhanded  int           `json:"unhanded"` // readings that witnesses lack: own ones and of processes that are gone
	Sources   int           `json:"sources"`  // of which readings are kept
	LastFlush time.Time     `json:"last_flush"`
	Interval  time.Duration `json:"interval_ns"` // between writes
}

// Dump returns the state for operators.
func (k *Keeper) Dump() any {
	hosts := k.opts.Hosts()
	unhanded := k.unhanded(hosts)
	k.mu.Lock()
	defer k.mu.Unlock()
	return Dump{
		Source:    k.self,
		Own:       k.holdings.known.Readings(k.self),
		Durable:   k.holdings.OwnDurable(),
		Unhanded:  unhanded,
		Sources:   len(k.holdings.known.sources),
		LastFlush: k.lastFlush,
		Interval:  flushInterval(len(hosts)),
	}
}

// unhanded counts the readings that would be handed over now.
func (k *Keeper) unhanded(hosts []topology.Host) int {
	var witnesses witnessCache
	witnesses.refresh(hosts)
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, readings := range k.holdings.ToHand(time.Now(), entrySilence, handAgain(len(hosts)), witnesses.fleet()) {
		n += len(readings)
	}
	return n
}
