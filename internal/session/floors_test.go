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

// The floor that a write raises must apply to the writer's connection, to sessions
// with its token and to sessions with its name, but to no other session.
func TestFloorIsSharedByConnectionTokenAndIdentity(t *testing.T) {
	router := &fakeRouter{lastOffset: 6}
	_, addr := startServer(t, router, nil)
	ctx := testContext(t)
	floorOf := func(user, params string) (routing.FloorSource, string) {
		conn := connect(t, dsn(addr, user, params))
		var got string
		qt.Assert(t, conn.QueryRow(ctx, "select $1", "x").Scan(&got), qt.IsNil)
		return router.lastCall().Floor, conn.PgConn().ParameterStatus(settingToken)
	}
	writePosition := topology.Position{Term: 1, Offset: 7}

	writer := connect(t, dsn(addr, "crew", ""))
	_, err := writer.Exec(ctx, "insert 1")
	qt.Assert(t, err, qt.IsNil)
	token := writer.PgConn().ParameterStatus(settingToken)
	var got string
	qt.Assert(t, writer.QueryRow(ctx, "select $1", "x").Scan(&got), qt.IsNil)
	qt.Assert(t, router.lastCall().Floor, qt.Equals, routing.FloorSource{Known: true, Position: writePosition})

	floor, _ := floorOf("crew", "&nettlewalk.token="+token)
	qt.Assert(t, floor, qt.Equals, routing.FloorSource{Known: true, Position: writePosition})
	floor, _ = floorOf("crew", "&nettlewalk.session=tab1")
	qt.Assert(t, floor, qt.Equals, routing.FloorSource{Session: "qpca/tab1"})
	floor, noToken := floorOf("crew", "")
	qt.Assert(t, floor, qt.Equals, routing.FloorSource{})
	qt.Assert(t, noToken, qt.Equals, "")
	floor, _ = floorOf("viewer", "")
	qt.Assert(t, floor, qt.Equals, routing.FloorSource{Known: true})
}

// A changed customer must take effect with the session's next transaction. The
// session of a removed user must end.
func TestConfigurationChangeReachesSessions(t *testing.T) {
	view := &fakeView{customers: map[topology.CustomerID]*customer.Customer{"qpca": testCustomer()}}
	changeCustomer := func(change func(*customer.Customer)) {
		next := testCustomer()
		change(next)
		view.mu.Lock()
		defer view.mu.Unlock()
		view.customers["qpca"] = next
	}
	_, addr := startServer(t, &fakeRouter{}, func(o *Options) { o.Customers = view })
	client := login(t, addr, "crew")
	client.send(simpleQuery("insert 1"), simpleQuery("begin"))
	client.expect("INSERT 0 1 ZI BEGIN ZT", "original configuration")
	changeCustomer(func(c *customer.Customer) { c.Users[0].ReadOnly = true })
	client.send(simpleQuery("insert 2"), simpleQuery("commit"), simpleQuery("insert 3"))
	client.expect("INSERT 0 1 ZT COMMIT ZI E25006 ZI", "read-only after the transaction")
	changeCustomer(func(c *customer.Customer) { c.Users = nil })
	client.send(simpleQuery("select 1"))
	client.expect("E28000", "user removed")
}

// fakePeers is a peer.Caller that calls the servers of other hosts directly.
type fakePeers map[topology.HostID]*Server

func (p fakePeers) Call(_ context.Context, host topology.HostID, method string, args, reply any) error {
	if method != ServiceName+".Cancel" {
		panic(method)
	}
	return p[host].CancelService().Cancel(args.(*CancelArgs), reply.(*CancelReply))
}

type fakeFleet struct{ hosts []topology.Host }

func (f fakeFleet) Self() topology.Host                           { return topology.Host{} }
func (f fakeFleet) Hosts() []topology.Host                        { return f.hosts }
func (f fakeFleet) Host(topology.HostID) (topology.Host, bool)    { return topology.Host{}, false }
func (f fakeFleet) Holders(topology.Target) []topology.HostID     { return nil }
func (f fakeFleet) RecordCall(id topology.HostID, reachable bool) {}

func TestCancelAtAnotherHost(t *testing.T) {
	router := &fakeRouter{cancelCalls: make(chan struct{}, 1)}
	release := blockSlowStatements(router)
	srv, addr := startServer(t, router, nil)
	_, otherAddr := startServer(t, &fakeRouter{}, func(o *Options) {
		o.Host = "host-2"
		o.Peers = fakePeers{"host-1": srv}
		o.Fleet = fakeFleet{hosts: []topology.Host{{ID: "host-3"}, {ID: "host-2"}, {ID: "host-1"}}}
	})
	client := login(t, addr, "crew")
	client.send(simpleQuery("select slow"))
	waitUntil(t, "it runs", func() bool { return srv.runningSessions() == 1 })
	cancel := dialRaw(t, otherAddr)
	cancel.Send(&pgproto3.CancelRequest{ProcessID: client.keyData.ProcessID, SecretKey: client.keyData.SecretKey})
	qt.Assert(t, cancel.Flush(), qt.IsNil)
	<-router.cancelCalls
	close(release)
	client.until("Z")
}
