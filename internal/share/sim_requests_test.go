package share

import (
	"math/rand/v2"
	"slices"
	"time"

	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

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
