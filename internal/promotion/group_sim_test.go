package promotion

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/topology"
)

const (
	clusterTick     = 50 * time.Millisecond
	clusterReplicas = 2
)

// commitEntry is a commit in a log. Its number tells apart the commits that divergent
// logs have at the same position.
type commitEntry struct {
	term   uint64
	number int
}

// clusterTarget is a simulated target. Its fields are guarded by cluster.mu.
type clusterTarget struct {
	id       topology.TargetID
	addr     string
	running  bool
	ended    bool // has left for good, and its log with it
	silent   bool // doesn't refuse connections while it is down
	leaving  bool
	log      []commitEntry
	term     uint64
	paused   uint64
	process  int64 // counts its starts
	instance int64 // counts its logs: changes when it starts with an empty one

	starved, cutFromStore, cutFromHolder bool
	cutFromHosts                         bool      // from the hosts that don't hold the duty
	cutRefuses                           bool      // the cut refuses connections, instead of being silent
	reportedAt                           time.Time // last report that the store received
	lag                                  int       // receives in every lag-th tick
}

func (t *clusterTarget) position() topology.Position { return logEnd(t.log) }

// logEnd returns the position of the last commit of a log.
func logEnd(log []commitEntry) topology.Position {
	if len(log) == 0 {
		return topology.Position{}
	}
	return pos(log[len(log)-1].term, uint64(len(log)))
}

// cluster is a group of targets with its platform: the register, the call for
// promotions, and one host that holds the duty. Other hosts only tell who leads.
type cluster struct {
	mu      sync.Mutex
	began   time.Time
	ticks   int
	targets []*clusterTarget
	leader  *clusterTarget
	term    uint64
	commits int
	// acknowledged is the log up to the last acknowledged commit.
	acknowledged []commitEntry
	// heard is the log up to the last commit that callers have heard of. With voters, they
	// hear only of what these have recorded, and a promotion may lose nothing of it.
	heard       []commitEntry
	voters      *clusterVoters // nil if hosts pass on what is acknowledged
	checksHeard bool           // a promotion that loses anything of heard fails
	register    register
	platform    promotionCall
	claim       clusterClaim
	host        *clusterHost   // holds the duty, nil if none does
	watchers    sync.WaitGroup // of this and earlier holders
	trace       []string
	lost        string // how the property failed, "" while it holds
	promotions  int
}

// newCluster returns a group with a primary and replicas that have nothing in their logs.
func newCluster() *cluster {
	c := &cluster{began: time.Now(), term: 1, claim: clusterClaim{token: 1}}
	for i := range 1 + clusterReplicas {
		c.join(fmt.Sprint("t", i))
	}
	c.leader = c.targets[0]
	return c
}

// join starts a new target with an empty log.
func (c *cluster) join(id string) *clusterTarget {
	t := &clusterTarget{id: topology.TargetID(id), addr: id, running: true, term: c.term, process: 1, instance: 1, lag: 1 + len(c.targets)%2}
	c.targets = append(c.targets, t)
	return t
}

func (c *cluster) find(id topology.TargetID) *clusterTarget {
	i := slices.IndexFunc(c.targets, func(t *clusterTarget) bool { return t.id == id })
	return c.targets[i]
}

func (c *cluster) tracef(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%7.3f ", time.Since(c.began).Seconds())+fmt.Sprintf(format, args...))
}

// tick lets the group commit, the platform act and the targets report.
func (c *cluster) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ticks++
	c.replicate()
	c.runCalls()
	c.runRegister()
}

// replicate lets the leader commit and the replicas receive. A commit is acknowledged
// once one replica has it.
func (c *cluster) replicate() {
	if !c.leader.running {
		return
	}
	c.commits++
	c.leader.log = append(c.leader.log, commitEntry{c.term, c.commits})
	for _, r := range c.targets {
		if r == c.leader || !r.running || r.starved || r.paused > 0 || c.ticks%r.lag > 0 {
			continue
		}
		r.term = c.term
		r.log = slices.Clone(c.leader.log)
		if len(r.log) > len(c.acknowledged) {
			c.acknowledged = slices.Clone(r.log)
		}
	}
	if passed := c.passable(); len(passed) > len(c.heard) && (c.voters == nil || c.voters.record(c.term, logEnd(passed))) {
		c.heard = slices.Clone(passed)
	}
}

// passable returns the acknowledged commits that hosts may pass on once voters have recorded them: all,
// or those whose receipt is proved.
func (c *cluster) passable() []commitEntry {
	if c.voters == nil || len(c.voters.droppedTargets()) == 0 {
		return c.acknowledged
	}
	received, n := c.received(c.voters.droppedTargets()), len(c.acknowledged)
	for n > 0 && !received.AtLeast(logEnd(c.acknowledged[:n])) {
		n--
	}
	return c.acknowledged[:n]
}

// stop ends a target's process.
func (c *cluster) stop(t *clusterTarget, silent bool) {
	if !t.running {
		return
	}
	t.running, t.silent = false, silent
	c.tracef("%s stops with %s, silent %v", t.id, t.position(), silent)
}

// start starts a target's process again. It isn't paused any more. With its log empty, it
// is another instance. A replaced primary follows the present leader.
func (c *cluster) start(t *clusterTarget, empty bool) {
	if t.running || t.ended {
		return
	}
	t.running, t.paused = true, 0
	t.process++
	if empty && t != c.leader {
		t.log, t.instance = nil, t.instance+1
	}
	if t != c.leader && c.leader.running {
		t.follow(c.leader, c.term)
	}
	c.tracef("%s starts with %s", t.id, t.position())
}

// follow removes what the leader's log doesn't have.
func (t *clusterTarget) follow(leader *clusterTarget, term uint64) {
	t.term, t.paused = term, 0
	t.log = slices.Clone(commonPrefix(t.log, leader.log))
}

func commonPrefix(a, b []commitEntry) []commitEntry {
	n := 0
	for n < min(len(a), len(b)) && a[n] == b[n] {
		n++
	}
	return a[:n]
}

// promote makes a target the leader, after it has checked that this loses nothing.
func (c *cluster) promote(t *clusterTarget) {
	if !t.running || t == c.leader {
		return
	}
	c.promotions++
	c.checkLog(t)
	old := c.leader
	c.leader = t
	c.term++
	t.term, t.paused = c.term, 0
	c.tracef("%s leads term %d with %d commits, %s did before", t.id, c.term, len(t.log), old.id)
	for _, r := range c.targets {
		if r != t && r.running {
			r.follow(t, c.term)
		}
	}
	c.acknowledged = slices.Clone(commonPrefix(c.acknowledged, t.log))
	c.heard = slices.Clone(commonPrefix(c.heard, t.log))
}

// checkLog checks that a target to be promoted has every acknowledged commit that a
// replica has. A replica that is down has its log when it returns.
func (c *cluster) checkLog(t *clusterTarget) {
	if c.checksHeard {
		c.checkHeard(t)
		return
	}
	has := len(commonPrefix(c.acknowledged, t.log))
	for _, r := range c.targets {
		if r == c.leader || r == t || r.ended || c.lost != "" {
			continue
		}
		if n := len(commonPrefix(c.acknowledged, r.log)); n > has {
			c.lost = fmt.Sprintf("%s is promoted with %d of %d acknowledged commits; %s (running: %v) has %d", t.id, has, len(c.acknowledged), r.id, r.running, n)
			c.tracef("LOST: %s", c.lost)
		}
	}
}

// checkHeard checks that a target to be promoted has every commit that callers have heard
// of, whoever else has it.
func (c *cluster) checkHeard(t *clusterTarget) {
	if has := len(commonPrefix(c.heard, t.log)); has < len(c.heard) && c.lost == "" {
		c.lost = fmt.Sprintf("%s is promoted with %d of %d commits that callers have heard of", t.id, has, len(c.heard))
		c.tracef("LOST: %s", c.lost)
	}
}
