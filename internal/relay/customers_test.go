package relay

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"

	"nettlewalk.example/nettlewalk/internal/catalog"
	"nettlewalk.example/nettlewalk/internal/group"
	"nettlewalk.example/nettlewalk/internal/placement"
	"nettlewalk.example/nettlewalk/internal/share"
	"nettlewalk.example/nettlewalk/internal/statement"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// customerDialer opens connections to fake targets and records for whom, and for whom
// the callers' statements ran.
type customerDialer struct {
	targets fakeDialer

	mu    sync.Mutex
	dials []topology.CustomerID
	ran   []topology.CustomerID // of the connections of the callers' statements
}

func (d *customerDialer) Dial(ctx context.Context, t topology.Target, customer topology.CustomerID) (statement.Conn, error) {
	conn, err := d.targets.Dial(ctx, t, customer)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dials = append(d.dials, customer)
	return &customerConn{Conn: conn, dialer: d, customer: customer}, err
}

type customerConn struct {
	statement.Conn
	dialer   *customerDialer
	customer topology.CustomerID
}

func (c *customerConn) Exchange(deadline time.Time, batch ...statement.Statement) ([]statement.Answer, error) {
	if slices.ContainsFunc(batch, func(st statement.Statement) bool { return st.ID != statement.ProxyRequestID }) {
		c.dialer.mu.Lock()
		c.dialer.ran = append(c.dialer.ran, c.customer)
		c.dialer.mu.Unlock()
	}
	return c.Conn.Exchange(deadline, batch...)
}

func (d *customerDialer) ranFor() []topology.CustomerID {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.ran)
}

// homePeers records which hosts are asked, all of which fail unless they serve.
type homePeers struct {
	offers []placement.Offer
	serves map[topology.HostID]bool
	asked  []topology.HostID
	atOnce []bool // whether each was asked to serve at once or not at all
}

func (p *homePeers) Offers(topology.GroupID) []placement.Offer { return p.offers }
func (p *homePeers) Call(_ context.Context, host topology.HostID, _ string, args, reply any) error {
	p.asked = append(p.asked, host)
	p.atOnce = append(p.atOnce, args.(*RunArgs).AtOnce)
	if !p.serves[host] {
		return errors.New("unreachable")
	}
	reply.(*RunReply).Answer = statement.Answer{Signature: "sig"}
	return nil
}

// customerFixture is a session of customer acme at host self, in front of targets to which
// the host has connections of another customer only.
type customerFixture struct {
	*fixture
	dialer *customerDialer
	peers  *homePeers
}

func newCustomerFixture(t *testing.T, freshness catalog.Freshness, homes share.Homes) *customerFixture {
	t.Helper()
	c := &customerFixture{dialer: &customerDialer{}, peers: &homePeers{serves: map[topology.HostID]bool{}}}
	c.fixture = newFixtureWith(t, freshness, func(o *group.Options) {
		c.dialer.targets = o.Dialer.(fakeDialer)
		o.Dialer = c.dialer
	})
	c.config.SetCustomers([]catalog.Customer{{ID: "acme", Keys: []string{"k"}}, {ID: "other", Keys: []string{"o"}}})
	c.group.SetCustomers(&share.Customers{Known: map[topology.CustomerID]bool{"acme": true, "other": true}, Preopen: []topology.CustomerID{"other"}})
	c.session.key, c.session.customer = "k", "acme"
	for _, host := range homes.Order {
		if host != "self" {
			c.peers.offers = append(c.peers.offers, placement.Offer{Host: host, Leads: true, SameDomain: true})
		}
	}
	c.server.opts.Peers, c.server.opts.Self = c.peers, "self"
	c.server.opts.Homes = func(topology.GroupID, topology.CustomerID) share.Homes { return homes }
	return c
}

// awaitReplaceable waits until the connections of other customers have been idle long enough
// to be replaced at once.
func (f *customerFixture) awaitReplaceable(t *testing.T) {
	t.Helper()
	eventually(t, "connections of other customers can be replaced", func() bool {
		readers := f.group.ReadersFor(topology.Position{}, "acme")
		return !slices.ContainsFunc(readers, func(c group.Choice) bool { return c.Delay > maxAtOnceWait })
	})
}

// A home host opens a connection of the customer, and doesn't use one of another customer
// or the connections that it opened before there were customers.
func TestHomeHostOpensConnection(t *testing.T) {
	for _, freshness := range []catalog.Freshness{catalog.LatestData, catalog.BoundedAge} {
		f := newCustomerFixture(t, freshness, share.Homes{Order: []topology.HostID{"self", "b"}, Count: 1})
		f.awaitReplaceable(t)
		qt.Assert(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
		qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
		qt.Check(t, f.dialer.ranFor(), qt.DeepEquals, []topology.CustomerID{"acme", "acme"})
		qt.Check(t, f.peers.asked, qt.HasLen, 0)
	}
}

// A holder that isn't a home host forwards rather than opens a connection, so that few
// hosts have connections of a small customer. It opens one if no other host serves.
func TestOtherHolderForwardsToHome(t *testing.T) {
	for _, st := range []statement.Statement{read("a"), write("a")} {
		homes := share.Homes{Order: []topology.HostID{"b", "c", "self"}, Count: 1}
		f := newCustomerFixture(t, catalog.BoundedAge, homes)
		f.peers.serves["b"], f.peers.serves["c"] = true, true
		qt.Assert(t, f.serveStatement(st).OK(), qt.IsTrue)
		qt.Check(t, f.peers.asked, qt.DeepEquals, []topology.HostID{"b"})
		qt.Check(t, f.dialer.ranFor(), qt.HasLen, 0)

		f = newCustomerFixture(t, catalog.BoundedAge, homes)
		qt.Assert(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
		qt.Check(t, f.peers.asked, qt.DeepEquals, []topology.HostID{"b", "c"})
		qt.Check(t, f.dialer.ranFor(), qt.DeepEquals, []topology.CustomerID{"acme"})
		qt.Assert(t, f.serveStatement(read("a")).OK(), qt.IsTrue) // the connection takes precedence over home hosts
		qt.Check(t, f.peers.asked, qt.HasLen, 2)
	}
}

// A home host whose connections are all in use asks the next holder before it makes the
// caller wait. Before, customers of the home with the most customers waited for 500 ms and
// were then refused, while other holders had free connections.
func TestBusyHomeAsksNextHolder(t *testing.T) {
	for _, freshness := range []catalog.Freshness{catalog.LatestData, catalog.BoundedAge} {
		f := newCustomerFixture(t, freshness, share.Homes{Order: []topology.HostID{"self", "b"}, Count: 1})
		route := f.config.Routes["db"]
		route.LatencyGoal, route.StatementTimeout = 10*time.Second, 10*time.Second
		f.config.Routes["db"] = route
		f.peers.serves["b"] = true
		for _, c := range f.group.Readers(topology.Position{}) {
			for c.Pool.TryAcquireAny() != nil {
			}
		}
		began := time.Now()
		qt.Assert(t, f.serveStatement(read("a")).OK(), qt.IsTrue)
		qt.Check(t, time.Since(began) < 5*time.Second, qt.IsTrue)
		qt.Check(t, f.peers.asked, qt.DeepEquals, []topology.HostID{"b"})
	}
}

// The only host with connections to the leader may let a statement wait: no other host can be
// asked once it has refused.
func TestOnlyUsefulHostMayWait(t *testing.T) {
	f := newCustomerFixture(t, catalog.LatestData, share.Homes{Order: []topology.HostID{"b", "c", "d"}, Count: 1})
	f.group.Close()
	f.peers.serves["c"] = true
	f.peers.offers[0].Leads, f.peers.offers[2].Leads = false, false
	qt.Assert(t, f.serveStatement(write("a")).OK(), qt.IsTrue)
	qt.Check(t, f.peers.asked, qt.DeepEquals, []topology.HostID{"c"})
	qt.Check(t, f.peers.atOnce, qt.DeepEquals, []bool{false})
}

// A statement that another host forwards to be served at once may wait until a connection
// of its customer is open, also at a host that isn't a home host: the sender has reasons to
// ask it, and the home host of a small customer rarely has one idle.
func TestForwardedStatementOpensConnection(t *testing.T) {
	f := newCustomerFixture(t, catalog.BoundedAge, share.Homes{Order: []topology.HostID{"b", "self"}, Count: 1})
	f.awaitReplaceable(t)
	var reply RunReply
	args := RunArgs{Configuration: 1, Database: "db", Key: "k", Statement: write("a"), Writes: true, Within: time.Second, AtOnce: true}
	qt.Assert(t, f.server.Service().Run(&args, &reply), qt.IsNil)
	qt.Check(t, reply.Answer.OK(), qt.IsTrue, qt.Commentf("%+v", reply.Answer))
	qt.Check(t, f.dialer.ranFor(), qt.DeepEquals, []topology.CustomerID{"acme"})
}

// All statements of a transaction run on one connection of its customer.
func TestTransactionRunsOnConnectionOfItsCustomer(t *testing.T) {
	f := newCustomerFixture(t, catalog.BoundedAge, share.Homes{Order: []topology.HostID{"self"}, Count: 1})
	for _, st := range []statement.Statement{begin, write("a"), read("a"), commit} {
		qt.Assert(t, f.serveStatement(st).OK(), qt.IsTrue)
	}
	for _, customer := range f.dialer.ranFor() {
		qt.Check(t, customer, qt.Equals, topology.CustomerID("acme"))
	}
	f = newCustomerFixture(t, catalog.BoundedAge, share.Homes{Order: []topology.HostID{"self"}, Count: 1})
	readOnly := statement.Statement{Kind: statement.BeginReadOnly, Text: "BEGIN READ"}
	for _, st := range []statement.Statement{readOnly, read("a"), commit} {
		qt.Assert(t, f.serveStatement(st).OK(), qt.IsTrue)
	}
	qt.Check(t, f.replica.receivedTexts(), qt.DeepEquals, []string{"- ", "q READ a", "q COMMIT"})
}

// A transaction at a holder that isn't a home host begins at a home host.
func TestTransactionBeginsAtHome(t *testing.T) {
	f := newCustomerFixture(t, catalog.LatestData, share.Homes{Order: []topology.HostID{"b", "self"}, Count: 1})
	f.peers.serves["b"] = true
	f.serveStatement(begin)
	f.serveStatement(write("a"))
	qt.Check(t, f.peers.asked, qt.DeepEquals, []topology.HostID{"b"})
	qt.Check(t, f.dialer.ranFor(), qt.HasLen, 0)
}
