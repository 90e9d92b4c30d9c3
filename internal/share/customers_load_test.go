package share

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// The load of one group of the Wholesale deployment: 76 customers with sizes like
// 1/rank^1.25, so that the largest has 30 % and most have less than 0.5 %.
const (
	simCustomers  = 76
	simExponent   = 1.25
	simHosts      = 67
	simLimit      = 56
	simWorkSlots  = 4
	simQueue      = 32
	simDialWork   = 12 * time.Millisecond
	simRoundTrip  = 2 * time.Millisecond
	simRate       = 135.0 // operations a second
	simMaxWait    = 180 * time.Millisecond
	simStatements = 3 // of a transaction
)

// simTarget runs statements and handshakes in its work slots.
type simTarget struct {
	id      topology.TargetID
	slots   chan struct{}
	mu      sync.Mutex
	open    int
	maxOpen int
	refused int // dials
	dials   int
	working int // work slots in use and statements that wait for one
	shed    int // statements
}

// work takes a work slot. It returns false if the queue for one is full.
func (s *simTarget) work(d time.Duration) bool {
	s.mu.Lock()
	if s.working >= simWorkSlots+simQueue {
		s.shed++
		s.mu.Unlock()
		return false
	}
	s.working++
	s.mu.Unlock()
	s.slots <- struct{}{}
	time.Sleep(d)
	<-s.slots
	s.mu.Lock()
	s.working--
	s.mu.Unlock()
	return true
}

func (s *simTarget) Dial(_ context.Context, _ topology.Target, customer topology.CustomerID) (statement.Conn, error) {
	s.mu.Lock()
	s.dials++
	if s.open >= simLimit {
		s.refused++
		s.mu.Unlock()
		return nil, &statement.DialError{Outcome: statement.DialRejected, Cause: errors.New("too many connections")}
	}
	s.open++
	s.maxOpen = max(s.maxOpen, s.open)
	s.mu.Unlock()
	time.Sleep(simRoundTrip)
	for !s.work(simDialWork) {
		time.Sleep(time.Millisecond)
	}
	return &simConn{target: s, customer: customer}, nil
}

func (s *simTarget) openNow() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

type simConn struct {
	statement.Conn
	target   *simTarget
	customer topology.CustomerID
	once     sync.Once
}

// Exchange runs one statement, whose Text is its work. Its Name is "more" if the
// transaction goes on.
func (c *simConn) Exchange(_ time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	time.Sleep(simRoundTrip)
	work, err := time.ParseDuration(batch[0].Text)
	if err != nil {
		return nil, err
	}
	if !c.target.work(work) {
		return []statement.Answer{{Code: statement.Busy}}, nil
	}
	if batch[0].Name == "more" {
		return []statement.Answer{{State: statement.InTransaction}}, nil
	}
	return []statement.Answer{{}}, nil
}

func (c *simConn) Alive() bool { return true }
func (c *simConn) Close() {
	c.once.Do(func() {
		c.target.mu.Lock()
		defer c.target.mu.Unlock()
		c.target.open--
	})
}

// simFleet is the holders of one group before its three targets, of which the first
// leads.
type simFleet struct {
	t       *testing.T
	targets []*simTarget
	holders []topology.HostID
	pools   map[topology.HostID][]*Pool
	shares  map[topology.CustomerID]float64
	ids     []topology.CustomerID // largest first
	homes   map[topology.CustomerID]Homes
	size    int
	// randomHolder sends each request to any holder rather than to a home host.
	randomHolder bool

	mu       sync.Mutex
	dead     map[topology.HostID]bool
	outcomes map[topology.CustomerID]*simOutcome
	answered [3][]time.Duration // time from a request to its answer, by priority
	shed     int                // requests that a target refused
	wrong    int                // statements that ran on a connection of another customer
	requests sync.WaitGroup
}

type simOutcome struct {
	served, refused int
	waits           []time.Duration
}

func newSimFleet(t *testing.T) *simFleet {
	holders, size := PlanForCustomers(simLimit, simHosts)
	f := &simFleet{
		t: t, pools: map[topology.HostID][]*Pool{}, homes: map[topology.CustomerID]Homes{}, dead: map[topology.HostID]bool{},
		outcomes: map[topology.CustomerID]*simOutcome{}, size: size,
	}
	rates := map[topology.CustomerID]float64{}
	for rank := 1; rank <= simCustomers; rank++ {
		id := topology.CustomerID(fmt.Sprintf("customer-%02d", rank))
		f.ids = append(f.ids, id)
		rates[id] = 1000 / math.Pow(float64(rank), simExponent)
		f.outcomes[id] = &simOutcome{}
	}
	f.shares = CustomerShares(rates)
	for i := range 3 {
		f.targets = append(f.targets, &simTarget{id: topology.TargetID(fmt.Sprintf("t%d", i)), slots: make(chan struct{}, simWorkSlots)})
	}
	for _, host := range WeightedHolders("g", holders, newHosts(simHosts)) {
		f.holders = append(f.holders, host.ID)
	}
	known := map[topology.CustomerID]bool{}
	for _, id := range f.ids {
		known[id] = true
		f.homes[id] = HomesOf("g", id, f.holders, f.shares[id])
	}
	for _, host := range f.holders {
		var weights []CustomerWeight
		for _, id := range f.ids {
			if homes := f.homes[id]; homes.Contains(host) {
				weights = append(weights, CustomerWeight{id, f.shares[id] / float64(homes.Count)})
			}
		}
		for _, target := range f.targets {
			f.pools[host] = append(f.pools[host], NewPool(Options{
				Target: topology.Target{ID: target.id}, Dialer: target, Size: size, OnDial: func(topology.TargetID, error) {},
				Customers: &Customers{Known: known, Preopen: Preopen(weights, size)},
			}))
		}
	}
	return f
}

func (f *simFleet) close() {
	for _, pools := range f.pools {
		for _, p := range pools {
			p.Close()
		}
	}
}

// simRequest is one operation.
type simRequest struct {
	customer   topology.CustomerID
	atLeader   bool
	priority   int
	work       time.Duration
	statements int
	rest       time.Duration // between the statements of a transaction
}

// randomRequest draws an operation of the deployment's mix.
func (f *simFleet) randomRequest(r *rand.Rand, customer topology.CustomerID) simRequest {
	req := simRequest{customer: customer, statements: 1}
	kind, write, transaction := r.Float64(), r.Float64(), r.Float64()
	switch {
	case kind < 0.135:
		req.atLeader, req.work, req.priority = true, 4500*time.Microsecond, 0
		transaction /= 0.25
	case kind < 0.135+0.234:
		req.work, req.priority = 22*time.Millisecond, 2
		transaction /= 0.1
	default:
		req.atLeader, req.work, req.priority = write < 0.12, 14*time.Millisecond, 1
		transaction /= 0.12
	}
	if transaction < 1 {
		req.statements, req.rest = simStatements, 10*time.Millisecond
	}
	return req
}

func (f *simFleet) drawCustomer(r *rand.Rand) topology.CustomerID {
	x := r.Float64()
	for _, id := range f.ids {
		if x -= f.shares[id]; x < 0 {
			return id
		}
	}
	return f.ids[len(f.ids)-1]
}

// holdersFor returns the live holders in the order in which they are asked.
func (f *simFleet) holdersFor(r *rand.Rand, customer topology.CustomerID) []topology.HostID {
	f.mu.Lock()
	defer f.mu.Unlock()
	homes := f.homes[customer]
	order := slices.Clone(homes.Order)
	n := homes.Count
	if f.randomHolder {
		n = len(order)
	}
	r.Shuffle(n, func(i, j int) { order[i], order[j] = order[j], order[i] })
	return slices.DeleteFunc(order, func(h topology.HostID) bool { return f.dead[h] })
}

// pool returns the holder's pool for the request: of the leader, or for a read the one
// with the shortest expected wait.
func (f *simFleet) pool(host topology.HostID, req *simRequest) *Pool {
	pools := f.pools[host]
	if req.atLeader {
		return pools[0]
	}
	return slices.MinFunc(pools, func(a, b *Pool) int { return int(f.cost(a, req, a == pools[0]) - f.cost(b, req, b == pools[0])) })
}

func (f *simFleet) cost(p *Pool, req *simRequest, leads bool) time.Duration {
	load := p.LoadFor(req.customer)
	cost := load.Delay + 15*time.Millisecond*time.Duration(load.Open-load.Idle+load.Waiting)/time.Duration(max(load.Open, 1))
	if leads {
		cost += 3 * time.Millisecond
	}
	return cost
}

func (f *simFleet) serve(r *rand.Rand, req simRequest) {
	began := time.Now()
	holders := f.holdersFor(r, req.customer)
	var conn *Conn
	var pool *Pool
	for i, host := range holders[:min(len(holders), 3)] {
		pool = f.pool(host, &req)
		maxWait := 30 * time.Millisecond
		if i == 0 {
			maxWait = simMaxWait
		}
		var err error
		if conn, err = pool.Acquire(req.customer, began.Add(time.Second), maxWait, req.priority); err == nil {
			break
		}
	}
	f.mu.Lock()
	outcome := f.outcomes[req.customer]
	if conn == nil {
		outcome.refused++
		f.mu.Unlock()
		return
	}
	outcome.served++
	outcome.waits = append(outcome.waits, time.Since(began))
	sim := conn.Conn.(*simConn)
	if conn.Customer != req.customer || sim.customer != req.customer {
		f.wrong++
	}
	f.mu.Unlock()
	done := true
	for i := range req.statements {
		st := statement.Statement{Kind: statement.Read, Text: req.work.String()}
		if i < req.statements-1 {
			st.Name = "more"
		}
		if i > 0 {
			time.Sleep(req.rest)
		}
		answers, err := conn.Exchange(time.Time{}, st)
		if err != nil || answers[0].Code != statement.OK {
			done = false
			break
		}
	}
	pool.Release(conn, true)
	f.mu.Lock()
	defer f.mu.Unlock()
	if done {
		f.answered[req.priority] = append(f.answered[req.priority], time.Since(began))
	} else {
		f.shed++
	}
}

// run sends requests for the given time at an average rate, in random order.
func (f *simFleet) run(seed uint64, rate float64, d time.Duration, draw func(*rand.Rand) simRequest) {
	r := rand.New(rand.NewPCG(seed, 1))
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
		req := draw(r)
		child := rand.New(rand.NewPCG(r.Uint64(), 2))
		f.requests.Go(func() { f.serve(child, req) })
	}
}

func (f *simFleet) runMix(seed uint64, rate float64, d time.Duration) {
	f.run(seed, rate, d, func(r *rand.Rand) simRequest { return f.randomRequest(r, f.drawCustomer(r)) })
}

func (f *simFleet) dials() int {
	n := 0
	for _, target := range f.targets {
		target.mu.Lock()
		n += target.dials
		target.mu.Unlock()
	}
	return n
}

// summary is what the customers of some ranks got.
type summary struct {
	served, refused int
	servedShare     float64
	median, p95     time.Duration // of the waits for a connection
}

func (f *simFleet) summarize(ids []topology.CustomerID) summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	var s summary
	var waits []time.Duration
	for _, id := range ids {
		o := f.outcomes[id]
		s.served += o.served
		s.refused += o.refused
		waits = append(waits, o.waits...)
	}
	slices.Sort(waits)
	if len(waits) > 0 {
		s.median, s.p95 = waits[len(waits)/2], waits[len(waits)*95/100]
	}
	s.servedShare = float64(s.served) / float64(max(s.served+s.refused, 1))
	return s
}

func (f *simFleet) report(d time.Duration) (large, medium, small summary, dialsPerTarget float64) {
	large, medium, small = f.summarize(f.ids[:3]), f.summarize(f.ids[3:20]), f.summarize(f.ids[20:])
	dialsPerTarget = float64(f.dials()) / d.Seconds() / float64(len(f.targets))
	f.t.Logf("large %+v", large)
	f.t.Logf("medium %+v", medium)
	f.t.Logf("small %+v", small)
	f.t.Logf("%.1f dials a second and target", dialsPerTarget)
	for _, target := range f.targets {
		f.t.Logf("%s: at most %d open, %d refused", target.id, target.maxOpen, target.refused)
	}
	return large, medium, small, dialsPerTarget
}

const simDuration = 20 * time.Second

// settle lets the pools open their connections, and forgets the dials for that.
func (f *simFleet) settle() {
	time.Sleep(3 * time.Second)
	for _, target := range f.targets {
		target.mu.Lock()
		target.dials = 0
		target.mu.Unlock()
	}
}

// reset forgets the outcomes so far.
func (f *simFleet) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.outcomes {
		f.outcomes[id] = &simOutcome{}
	}
	f.answered = [3][]time.Duration{}
	for _, target := range f.targets {
		target.mu.Lock()
		target.dials, target.shed = 0, 0
		target.mu.Unlock()
	}
}

// check ends the simulation and checks what must hold under any load.
func (f *simFleet) check() {
	f.requests.Wait()
	f.close()
	qt.Check(f.t, f.wrong, qt.Equals, 0, qt.Commentf("statements on connections of other customers"))
	for _, target := range f.targets {
		qt.Check(f.t, target.maxOpen <= len(f.holders)*f.size, qt.IsTrue, qt.Commentf("%d connections", target.maxOpen))
		qt.Check(f.t, target.refused, qt.Equals, 0)
	}
}

// More customers than connections are served without refusals and with few dials, at
// the usual load and in a wave of 1.7 times that. Without home hosts, each holder opens
// connections of all customers: 14 dials a second and target at the usual load, and half
// of the small customers' requests wait for one.
func TestSmallCustomersShareConnections(t *testing.T) {
	for _, load := range []float64{1, 1.7} {
		synctest.Test(t, func(t *testing.T) {
			f := newSimFleet(t)
			f.settle()
			f.runMix(1, load*simRate, simDuration)
			large, medium, small, dials := f.report(simDuration)
			f.check()
			for _, s := range []summary{large, medium, small} {
				qt.Check(t, s.servedShare >= 0.999, qt.IsTrue)
				qt.Check(t, s.median, qt.Equals, time.Duration(0))
				qt.Check(t, s.p95 <= 25*time.Millisecond, qt.IsTrue)
			}
			qt.Check(t, dials <= 8, qt.IsTrue)
		})
	}
}

// A customer that sends as much as its callers can, beyond what the targets serve,
// doesn't keep others from connections.
func TestFloodLeavesConnectionsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t)
		f.settle()
		flooding := f.ids[5]
		f.requests.Go(func() {
			f.run(2, 1500, simDuration/2, func(r *rand.Rand) simRequest { return f.randomRequest(r, flooding) })
		})
		f.runMix(1, simRate, simDuration/2)
		f.report(simDuration / 2)
		others := f.summarize(slices.DeleteFunc(slices.Clone(f.ids), func(id topology.CustomerID) bool { return id == flooding }))
		t.Logf("others %+v, flood %+v", others, f.summarize([]topology.CustomerID{flooding}))
		f.check()
		qt.Check(t, others.servedShare >= 0.97, qt.IsTrue)
		qt.Check(t, others.p95 <= 100*time.Millisecond, qt.IsTrue)
	})
}

// Callers of a customer that rest inside of transactions hold connections for long, but
// not those that other customers need.
func TestRestingTransactionsLeaveConnectionsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t)
		f.settle()
		resting := f.ids[9]
		f.requests.Go(func() {
			f.run(2, 30, simDuration, func(*rand.Rand) simRequest {
				return simRequest{customer: resting, atLeader: true, priority: 0, work: 5 * time.Millisecond, statements: 2, rest: 3 * time.Second}
			})
		})
		f.runMix(1, simRate, simDuration)
		f.report(simDuration)
		others := f.summarize(slices.DeleteFunc(slices.Clone(f.ids), func(id topology.CustomerID) bool { return id == resting }))
		t.Logf("others %+v, resting %+v", others, f.summarize([]topology.CustomerID{resting}))
		f.check()
		qt.Check(t, others.servedShare >= 0.99, qt.IsTrue)
		qt.Check(t, others.p95 <= 50*time.Millisecond, qt.IsTrue)
	})
}

// When a home host dies, its customers are served by their next holders.
func TestCustomersOfDeadHomeAreServedByNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t)
		f.settle()
		f.runMix(1, simRate, simDuration/4)
		dead := f.homes[f.ids[30]].Order[0]
		f.mu.Lock()
		f.dead[dead] = true
		f.mu.Unlock()
		f.runMix(2, simRate, simDuration)
		large, medium, small, dials := f.report(simDuration)
		f.check()
		for _, s := range []summary{large, medium, small} {
			qt.Check(t, s.servedShare >= 0.999, qt.IsTrue)
			qt.Check(t, s.p95 <= 25*time.Millisecond, qt.IsTrue)
		}
		qt.Check(t, dials <= 10, qt.IsTrue)
	})
}

// quantile returns a quantile of the times from a request to its answer.
func (f *simFleet) quantile(priority int, q float64) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	times := slices.Sorted(slices.Values(f.answered[priority]))
	if len(times) == 0 {
		return 0
	}
	return times[int(float64(len(times)-1)*q)]
}

// simGoals are the latency goals of the deployment's request types, by priority.
var simGoals = [3]time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 800 * time.Millisecond}

// inTime returns how many requests of a priority were answered within their goal.
func (f *simFleet) inTime(priority int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, took := range f.answered[priority] {
		if took <= simGoals[priority] {
			n++
		}
	}
	return n
}

// Under six times the usual load, which is half more than the targets serve, requests
// wait in the pools, in order of priority, rather than at the targets. Without a limit on
// statements in flight, 322 of the most urgent requests and 5,440 of the next priority
// were answered within their goals instead of about 1,700 and 8,100, and the targets
// refused 376 statements.
func TestOverloadedTargetsServeUrgentRequestsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimFleet(t)
		f.settle()
		f.runMix(2, simRate, simDuration/2)
		f.requests.Wait()
		f.reset()
		f.runMix(1, 6*simRate, simDuration)
		f.requests.Wait()
		f.report(simDuration)
		answered, shed := 0, 0
		for p := range 3 {
			answered += len(f.answered[p])
			t.Logf("priority %d: %d answered, %d in time, median %s, p95 %s", p, len(f.answered[p]), f.inTime(p), f.quantile(p, 0.5), f.quantile(p, 0.95))
		}
		for _, target := range f.targets {
			shed += target.shed
		}
		t.Logf("%d answered in all, the targets refused %d", answered, shed)
		f.check()
		qt.Check(t, f.inTime(0) >= 1300, qt.IsTrue)
		qt.Check(t, f.inTime(1) >= 7000, qt.IsTrue)
		qt.Check(t, answered >= 12000, qt.IsTrue)
		qt.Check(t, shed <= 50, qt.IsTrue)
	})
}
