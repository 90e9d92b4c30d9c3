package relay

import (
	"encoding/gob"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/locality"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// typicalHolderConns returns the number of connections of a holder in a large fleet, by
// which the statements that wait there are divided. With customers it is larger.
func (s *Server) typicalHolderConns() int {
	if c := s.opts.Catalog.Configuration(); c != nil && len(c.Customers) > 0 {
		return share.CustomerHolderSize
	}
	return share.SharedHolderSize
}

// router returns what decides about work that crosses failure domains, nil if nothing
// does.
func (r *request) router() *locality.Router { return r.session.server.opts.Locality }

// work describes the request for the decision whether it leaves the domain.
func (r *request) work() locality.Work {
	return locality.Work{Goal: r.route.LatencyGoal, TimeLeft: time.Until(r.deadline), Priority: r.route.Priority}
}

// splitByCost divides the targets for a read into those to try, and those to try only
// if the read would otherwise be refused. Both keep their order.
func (r *request) splitByCost(readers []group.Choice) (first, rest []group.Choice) {
	router := r.router()
	if router == nil || len(readers) == 0 {
		return readers, nil
	}
	var home, away []group.Choice
	for _, c := range readers {
		if c.SameDomain {
			home = append(home, c)
		} else {
			away = append(away, c)
		}
	}
	r.decidedAt = time.Now()
	leaves := false
	if !r.session.foreign || len(home) == 0 { // a statement of another domain doesn't leave again
		leaves, _ = router.Leaves(r.route.Group, locality.Reads, readPlaces(home, away), r.work())
	}
	if leaves || !slices.ContainsFunc(home, r.isPreferred) {
		return slices.Concat(away, home), nil
	}
	return home, away
}

func (r *request) isUntried(c group.Choice) bool { return !r.skipped[c.ID] && !c.Failing }

// readPlaces describes the targets for reads.
func readPlaces(home, away []group.Choice) locality.Places {
	isUsable := func(c group.Choice) bool { return !c.Failing && !c.HeldOff }
	p := locality.Places{Home: slices.ContainsFunc(home, isUsable), Away: slices.ContainsFunc(away, isUsable)}
	p.AwayShort = p.Away && !slices.ContainsFunc(away, func(c group.Choice) bool { return c.Idle > 0 || c.Waiting == 0 })
	best := false
	for _, c := range home {
		waiting := 0.0
		if c.Idle == 0 {
			waiting = float64(c.Waiting+1) / float64(c.Open)
		}
		if !c.Failing && (!best || waiting < p.Waiting) {
			best, p.Waiting, p.Latency = true, waiting, c.Latency
		}
	}
	return p
}

// runOutOfDomain runs a read that the domain can't serve in time in another domain, or
// refuses it. The second result tells whether the read may be retried.
func (r *request) runOutOfDomain(home, away []group.Choice, after topology.Position) (statement.Answer, bool) {
	refusal := r.session.refusal(statement.Busy, "the targets of the failure domain are short of capacity")
	if r.noWait { // the host that forwarded it decides
		return refusal, false
	}
	r.router().Record(r.route.Group, locality.Reads, false, locality.Refused, r.route.StatementTimeout)
	if p := readPlaces(home, away); p.AwayShort || !r.router().SendsRefused(r.route.Group, locality.Reads, r.work()) {
		return refusal, false
	}
	for _, c := range away {
		if !r.isUntried(c) {
			continue
		}
		if conn := c.Pool.TryAcquireFor(r.session.customer, r.route.Priority); conn != nil {
			return r.readFrom(&c, conn, after)
		}
	}
	return refusal, false
}

// recordRead records the outcome of a read at a target. retry tells that it ran
// nowhere for a reason other than load.
func (r *request) recordRead(c *group.Choice, a *statement.Answer, retry bool) {
	if r.router() == nil {
		return
	}
	took := time.Since(r.decidedAt)
	switch {
	case a.OK():
		r.router().Record(r.route.Group, locality.Reads, !c.SameDomain, locality.Served, took)
	case a.Code == statement.Busy && !retry:
		r.router().Record(r.route.Group, locality.Reads, !c.SameDomain, locality.Refused, r.route.StatementTimeout)
	case a.Code == statement.TimedOut:
		r.router().Record(r.route.Group, locality.Reads, !c.SameDomain, locality.NoAnswer, took)
	}
}

// recordExchange records the bytes of the last exchange on a connection to a target, and
// that this host ran a statement of the own domain. The connection must not have been
// released.
func (r *request) recordExchange(id topology.TargetID, atLeader bool, conn *share.Conn) {
	router := r.router()
	if router == nil {
		return
	}
	if !r.session.foreign {
		router.CountOwn(r.route.Group)
	}
	kind := locality.Reads
	if atLeader {
		kind = locality.AtLeader
	}
	bytes := r.stateBytes + exchangedBytes(conn)
	r.stateBytes = 0
	domain := r.group.DomainOf(id)
	router.RecordBytes(r.route.Group, kind, domain != "" && domain != router.Domain(), bytes)
}

// recordStateExchange notes the bytes of the last exchange, which applied the session's
// state. They are recorded with those of the statement that follows.
func (r *request) recordStateExchange(conn *share.Conn) { r.stateBytes += exchangedBytes(conn) }

// exchangedBytes returns the bytes of the last exchange on a connection, 0 if unknown.
func exchangedBytes(conn *share.Conn) int {
	if m, ok := conn.Conn.(statement.Meter); ok {
		return m.ExchangedBytes()
	}
	return 0
}

// offersByCost returns the hosts to which a statement may be forwarded by its cost.
// It notes for the receiving host whether the statement has to leave its domain.
func (r *request) offersByCost(offers []placement.Offer, needsLeader, needsFree bool) []placement.Offer {
	router := r.router()
	if router == nil {
		return offers
	}
	targets := r.group.Domains()
	if needsLeader {
		if targets = nil; r.group.LeaderDomain() != "" {
			targets = []topology.Domain{r.group.LeaderDomain()}
		}
	}
	if needsLeader {
		offers = slices.DeleteFunc(slices.Clone(offers), func(o placement.Offer) bool { return !o.Leads })
	}
	home, away, crossings := splitOffers(offers, router.Domain(), targets, r.askedHosts)
	p := forwardPlaces(home, away, needsLeader, r.session.server.typicalHolderConns())
	p.Crossings = crossings
	// This host's own connections are a place in the domain if its targets are.
	p.Home = p.Home || needsFree && locality.Crossings(router.Domain(), router.Domain(), targets) == 0
	w := r.work()
	open := slices.DeleteFunc(slices.Clone(home), func(o placement.Offer) bool { return slices.Contains(r.askedHosts, o.Host) })
	kind := locality.Forwards
	if needsLeader {
		kind = locality.LeaderForwards
	}
	if len(home) > 0 && len(open) == 0 { // each refused it
		if p.AwayShort || !router.SendsRefused(r.route.Group, kind, w) {
			return nil
		}
		return away
	}
	var leaves bool
	leaves, r.mustLeave = router.Leaves(r.route.Group, kind, p, w)
	if leaves {
		return away
	}
	return open
}

// splitOffers divides the offers into those by which a statement stays in the domain,
// and of the others those that cross domains least often and weren't asked yet.
func splitOffers(offers []placement.Offer, own topology.Domain, targets []topology.Domain, asked []topology.HostID) (home, away []placement.Offer, crossings int) {
	for _, o := range offers {
		n := locality.Crossings(own, o.Domain, targets)
		switch {
		case n == 0:
			home = append(home, o)
		case slices.Contains(asked, o.Host):
		case crossings == 0 || n < crossings:
			away, crossings = []placement.Offer{o}, n
		case n == crossings:
			away = append(away, o)
		}
	}
	return home, away, crossings
}

// forwardPlaces describes the hosts to which a statement may be forwarded. holderConns is
// how many connections each of them typically has.
func forwardPlaces(home, away []placement.Offer, needsLeader bool, holderConns int) locality.Places {
	free := func(o *placement.Offer) int {
		if needsLeader {
			return o.LeaderIdle
		}
		return o.Idle
	}
	p := locality.Places{Home: len(home) > 0, Away: len(away) > 0}
	p.AwayShort = p.Away && !slices.ContainsFunc(away, func(o placement.Offer) bool { return o.RequestedAt.IsZero() || free(&o) >= 0 })
	for i := range home {
		waiting := 0.0
		if n := free(&home[i]); n <= 0 && !home[i].RequestedAt.IsZero() {
			waiting = float64(1-n) / float64(holderConns)
		}
		if i == 0 || waiting < p.Waiting {
			p.Waiting = waiting
		}
	}
	return p
}

// recordForward records the outcome of a statement that was forwarded. sentAt is when
// it was sent to the host that was asked last.
func (r *request) recordForward(outcome locality.Outcome, sentAt time.Time, needsLeader bool) {
	router := r.router()
	if router == nil || r.askedDomain == "" {
		return
	}
	kind := locality.Forwards
	if needsLeader {
		kind = locality.LeaderForwards
	}
	took := time.Since(sentAt)
	if outcome == locality.Refused {
		took = r.route.StatementTimeout
	}
	router.Record(r.route.Group, kind, r.askedDomain != router.Domain(), outcome, took)
}

// recordForwardBytes records the bytes of a statement that another host ran.
func (r *request) recordForwardBytes(args *RunArgs, a *statement.Answer) {
	router := r.router()
	if router == nil || r.askedDomain == "" {
		return
	}
	kind := locality.Forwards
	if r.needsLeader() {
		kind = locality.LeaderForwards
	}
	router.RecordBytes(r.route.Group, kind, r.askedDomain != router.Domain(), r.session.server.wire.measure(args, a))
}

// acceptsForeign decides whether to run a statement that a host of another domain
// forwarded. Later statements of a transaction are always accepted, and statements for
// the leader, which no other domain can run.
func (s *Server) acceptsForeign(args *RunArgs) bool {
	t := &args.Transaction
	if s.opts.Locality == nil || args.Writes || t.Key != "" && (!t.First || !t.ReadOnly) {
		return true
	}
	c := s.opts.Catalog.Configuration()
	if c == nil {
		return true
	}
	route := c.Routes[args.Database]
	g := s.opts.Groups.Group(route.Group)
	if g == nil || route.Freshness == catalog.LatestData {
		return true
	}
	open, free := g.Connections()
	return s.opts.Locality.Admit(route.Group, args.FromDomain, args.MustLeave, locality.Capacity{Open: open, Free: free})
}

// foreignRefusedDetail explains the refusal of a statement of another domain.
const foreignRefusedDetail = "callers of the receiving host's failure domain wait"

// wireMeter measures the bytes of forwarded statements. It adds up the texts of each,
// and encodes one of wireSampleInterval to measure what the encoding adds.
type wireMeter struct {
	mu       sync.Mutex
	count    int
	overhead float64 // mean bytes that the encoding adds to the texts
	encoder  *gob.Encoder
	written  countingWriter
}

const (
	wireSampleInterval = 17 // no multiple of what callers repeat
	wireSampleWeight   = 1.0 / 8
)

// countingWriter counts the bytes written to it.
type countingWriter struct{ n int }

// Write implements io.Writer.
func (w *countingWriter) Write(b []byte) (int, error) {
	w.n += len(b)
	return len(b), nil
}

// measure returns the bytes of a call and its answer.
func (m *wireMeter) measure(args *RunArgs, a *statement.Answer) int {
	texts := textBytes(args, a)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.count%wireSampleInterval == 0 {
		m.sample(args, a, texts)
	}
	m.count++
	return texts + int(m.overhead)
}

// sample encodes a call as net/rpc does. The types were described to the encoder by an
// earlier message, as on a connection.
func (m *wireMeter) sample(args *RunArgs, a *statement.Answer, texts int) {
	encode := func() int {
		m.written.n = 0
		for _, v := range []any{&rpc.Request{ServiceMethod: runMethod, Seq: uint64(m.count)}, args, &rpc.Response{ServiceMethod: runMethod, Seq: uint64(m.count)}, &RunReply{Answer: *a}} {
			if err := m.encoder.Encode(v); err != nil {
				return 0 // never for these types; the last measurement stays
			}
		}
		return m.written.n
	}
	weight := wireSampleWeight
	if m.encoder == nil {
		m.encoder = gob.NewEncoder(&m.written)
		encode()
		weight = 1
	}
	if n := encode(); n > 0 {
		m.overhead += weight * (float64(n-texts) - m.overhead)
	}
}

// textBytes returns the length of the texts of a call and its answer.
func textBytes(args *RunArgs, a *statement.Answer) int {
	statementBytes := func(st *statement.Statement) int { return len(st.ID) + len(st.Text) + len(st.Name) + len(st.Value) }
	n := len(args.Database) + len(args.Key) + len(args.Uses) + statementBytes(&args.Statement) + statementBytes(&args.Prepared)
	for i := range args.Settings {
		n += len(args.Settings[i].Text)
	}
	for _, row := range a.Rows {
		n += len(row)
	}
	return n + len(a.Signature) + len(a.Detail)
}
