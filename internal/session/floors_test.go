package session

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// A write's floor follows its caller by connection, by token and by identity;
// nobody else has it.
func TestFloorFollowsTheCaller(t *testing.T) {
	router := &fakeRouter{offset: 6}
	_, addr := start(t, router, nil)
	ctx := testContext(t)
	floorOf := func(user, more string) (routing.FloorSource, string) {
		conn := connect(t, address(addr, user, more))
		var got string
		qt.Assert(t, conn.QueryRow(ctx, "select $1", "x").Scan(&got), qt.IsNil)
		return router.lastCall().Floor, conn.PgConn().ParameterStatus(setToken)
	}
	written := topology.Position{Term: 1, Offset: 7}

	writer := connect(t, address(addr, "crew", ""))
	_, err := writer.Exec(ctx, "insert 1")
	qt.Assert(t, err, qt.IsNil)
	token := writer.PgConn().ParameterStatus(setToken)
	var got string
	qt.Assert(t, writer.QueryRow(ctx, "select $1", "x").Scan(&got), qt.IsNil)
	qt.Assert(t, router.lastCall().Floor, qt.Equals, routing.FloorSource{Known: true, Position: written})

	floor, _ := floorOf("crew", "&nettlewalk.token="+token)
	qt.Assert(t, floor, qt.Equals, routing.FloorSource{Known: true, Position: written})
	floor, _ = floorOf("crew", "&nettlewalk.session=tab1")
	qt.Assert(t, floor, qt.Equals, routing.FloorSource{Session: "qpca/tab1"})
	floor, none := floorOf("crew", "")
	qt.Assert(t, floor, qt.Equals, routing.FloorSource{})
	qt.Assert(t, none, qt.Equals, "")
	floor, _ = floorOf("viewer", "")
	qt.Assert(t, floor, qt.Equals, routing.FloorSource{Known: true})
}

// A changed customer is in force for the session's next transaction; a removed
// user's session ends.
func TestConfigurationChangeReachesSessions(t *testing.T) {
	view := &fakeView{customers: map[topology.CustomerID]*customer.Customer{"qpca": testCustomer()}}
	change := func(change func(*customer.Customer)) {
		next := testCustomer()
		change(next)
		view.mu.Lock()
		defer view.mu.Unlock()
		view.customers["qpca"] = next
	}
	_, addr := start(t, &fakeRouter{}, func(o *Options) { o.Customers = view })
	r := login(t, addr, "crew")
	r.send(query("insert 1"), query("begin"))
	r.expect("INSERT 0 1 ZI BEGIN ZT", "as it was")
	change(func(c *customer.Customer) { c.Users[0].ReadOnly = true })
	r.send(query("insert 2"), query("commit"), query("insert 3"))
	r.expect("INSERT 0 1 ZT COMMIT ZI E25006 ZI", "read-only after the transaction")
	change(func(c *customer.Customer) { c.Users = nil })
	r.send(query("select 1"))
	r.expect("E28000", "user gone")
}

// fakePeers passes calls to the servers of other hosts.
type fakePeers map[topology.HostID]*Server

func (p fakePeers) Call(_ context.Context, host topology.HostID, method string, args, reply any) error {
	if method != ServiceName+".Cancel" {
		panic(method)
	}
	return p[host].CancelService().Cancel(args.(*CancelArgs), reply.(*CancelReply))
}

type fakeFleet struct{ hosts []topology.Host }

func (f fakeFleet) Self() topology.Host                        { return topology.Host{} }
func (f fakeFleet) Hosts() []topology.Host                     { return f.hosts }
func (f fakeFleet) Host(topology.HostID) (topology.Host, bool) { return topology.Host{}, false }
func (f fakeFleet) Holders(topology.Target) []topology.HostID  { return nil }
func (f fakeFleet) Report(id topology.HostID, reachable bool)  {}

func TestCancelAtAnotherHost(t *testing.T) {
	router := &fakeRouter{canceled: make(chan struct{}, 1)}
	opened := gate(router)
	srv, addr := start(t, router, nil)
	_, elsewhere := start(t, &fakeRouter{}, func(o *Options) {
		o.Host = "host-2"
		o.Peers = fakePeers{"host-1": srv}
		o.Fleet = fakeFleet{hosts: []topology.Host{{ID: "host-3"}, {ID: "host-2"}, {ID: "host-1"}}}
	})
	r := login(t, addr, "crew")
	r.send(query("select slow"))
	waitUntil(t, "it runs", func() bool { return srv.running() == 1 })
	cancel := dialRaw(t, elsewhere)
	cancel.Send(&pgproto3.CancelRequest{ProcessID: r.key.ProcessID, SecretKey: r.key.SecretKey})
	qt.Assert(t, cancel.Flush(), qt.IsNil)
	<-router.canceled
	close(opened)
	r.until("Z")
}
