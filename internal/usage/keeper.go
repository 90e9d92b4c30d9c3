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
	Boot    uint64 // boot number of this process; grows with each start
	Client  *platform.Client
	Peers   peer.Caller
	Hosts   func() []topology.Host // returns the live and the leaving hosts
	Metrics *metrics.Set           // nil disables metrics
	Log     logr.Logger
}

// Keeper meters the usage at this host, stores readings of other hosts' meters,
// replicates readings to witnesses and writes them to the platform. Safe for
// concurrent use.
type Keeper struct {
	opts Options
	self Source

	mu             sync.Mutex
	store          *ReadingStore
	durableChanged bool              // own readings became durable and the witnesses have not been told
	versions       map[Source]uint64 // last seen versions of the platform objects
	lastFlush      time.Time

	replicating sync.Mutex // serializes replication rounds; guards witnesses
	witnesses   witnessCache
}

// NewKeeper returns a Keeper. Call Run to start replication and writes.
func NewKeeper(opts Options) *Keeper {
	self := Source{Host: opts.Self, Boot: opts.Boot}
	k := &Keeper{opts: opts, self: self, store: NewReadingStore(self), versions: map[Source]uint64{}}
	if opts.Metrics != nil {
		opts.Metrics.NewGauge("nettlewalk_usage_unwritten_seconds", func() float64 { return k.unwrittenAge().Seconds() })
	}
	return k
}

// Consume adds the usage of a batch to the customer's meter at this host and
// returns the new reading. It serves as the pool's OnUsage callback.
func (k *Keeper) Consume(id topology.CustomerID, _ topology.GroupID, used pool.Usage) pool.Meter {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.store.Consume(id, used, time.Now())
}

// Observe returns an executor that records the meters in the responses of next.
func (k *Keeper) Observe(next pool.Executor) pool.Executor {
	return &observer{Executor: next, keeper: k}
}

// NoteUnreachable records that a call didn't reach the host.
func (k *Keeper) NoteUnreachable(id topology.HostID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.NoteUnreachable(id, time.Now())
}

func (k *Keeper) recordMeter(m pool.Meter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.ObserveMeter(m, time.Now())
}

// Run replicates readings to witnesses and writes them to the platform until ctx
// is done.
func (k *Keeper) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { k.replicateLoop(ctx) })
	loops.Go(func() { k.writeLoop(ctx) })
	loops.Wait()
}

func (k *Keeper) replicateLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hosts := k.opts.Hosts()
		k.replicate(ctx, hosts, holderSilenceTimeout)
		k.prune(retentionPeriod(len(hosts)))
		sleep(ctx, replicationInterval(len(hosts)))
	}
}

func (k *Keeper) writeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hosts := len(k.opts.Hosts())
		wait := flushInterval(hosts)
		if !k.writeDue(ctx, witnessWriteDelay(hosts)) {
			wait = min(wait, retryInterval)
		}
		sleep(ctx, wait)
	}
}

// Leave writes and replicates all readings. Call it after the last batch has
// ended.
func (k *Keeper) Leave(ctx context.Context) {
	k.writeDue(ctx, 0)
	k.replicate(ctx, k.opts.Hosts(), 0)
}

func (k *Keeper) prune(retention time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.store.Prune(time.Now(), retention)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// unwrittenAge returns the time since the last complete write if readings of this
// process are not durable yet, and 0 otherwise.
func (k *Keeper) unwrittenAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(notCovered(k.store.known.Readings(k.self), &k.store.durable)) == 0 {
		return 0
	}
	return time.Since(k.lastFlush)
}

// Dump is the state of a Keeper for operators. Unreplicated counts the readings due
// for replication: of this process, of ended processes and of holders that sent
// no new readings.
type Dump struct {
	Source       Source        `json:"source"`
	Own          []pool.Meter  `json:"own"`
	Durable      []pool.Meter  `json:"durable"`
	Unreplicated int           `json:"unhanded"` // readings not yet replicated to witnesses
	Sources      int           `json:"sources"`  // number of processes whose readings are stored
	LastFlush    time.Time     `json:"last_flush"`
	Interval     time.Duration `json:"interval_ns"` // between platform writes
}

// Dump returns the state for operators, as a Dump.
func (k *Keeper) Dump() any {
	hosts := k.opts.Hosts()
	unreplicated := k.countUnreplicated(hosts)
	k.mu.Lock()
	defer k.mu.Unlock()
	return Dump{
		Source:       k.self,
		Own:          k.store.known.Readings(k.self),
		Durable:      k.store.OwnDurable(),
		Unreplicated: unreplicated,
		Sources:      len(k.store.known.sources),
		LastFlush:    k.lastFlush,
		Interval:     flushInterval(len(hosts)),
	}
}

// countUnreplicated counts the readings that are due for replication.
func (k *Keeper) countUnreplicated(hosts []topology.Host) int {
	var witnesses witnessCache
	witnesses.refresh(hosts)
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, readings := range k.store.DueForReplication(time.Now(), holderSilenceTimeout, resendInterval(len(hosts)), witnesses.fleet()) {
		n += len(readings)
	}
	return n
}
