package session

import (
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
)

// blockSlowStatements blocks statements that contain "slow" until the returned
// channel is closed.
func blockSlowStatements(router *fakeRouter) chan struct{} {
	release := make(chan struct{})
	router.block = func(sql string) <-chan struct{} {
		if strings.Contains(sql, "slow") {
			return release
		}
		return nil
	}
	return release
}

func waitUntil(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met in time: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// runningSessions returns the number of sessions that run a request.
func (s *Server) runningSessions() int {
	n := 0
	for _, session := range s.Dump().(State).Sessions {
		if session.Running {
			n++
		}
	}
	return n
}

func TestDrainWaitsForRunningRequestsAndTransactions(t *testing.T) {
	router := &fakeRouter{}
	release := blockSlowStatements(router)
	srv, addr := startServer(t, router, nil)
	idle, busy, inTx := login(t, addr, "crew"), login(t, addr, "crew"), login(t, addr, "crew")
	busy.send(simpleQuery("insert slow"))
	inTx.send(simpleQuery("begin"), simpleQuery("insert 1"))
	qt.Assert(t, inTx.until("INSERT"), qt.Equals, "BEGIN ZT INSERT 0 1")
	waitUntil(t, "one session runs", func() bool { return srv.runningSessions() == 1 })

	drained := make(chan error, 1)
	go func() { drained <- srv.Drain(testContext(t)) }()
	qt.Assert(t, idle.until("E"), qt.Equals, "E57P01")
	_, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNotNil)
	inTx.send(simpleQuery("insert 2"), simpleQuery("commit"))
	qt.Assert(t, inTx.until("E"), qt.Equals, "ZT INSERT 0 1 ZT COMMIT ZI E57P01")
	close(release)
	qt.Assert(t, busy.until("E"), qt.Equals, "INSERT 0 1 ZI E57P01")
	for _, client := range []*rawClient{idle, busy, inTx} {
		_ = client.conn.Close()
	}
	qt.Assert(t, <-drained, qt.IsNil)
}

// A statement that reaches the host as it begins to drain is either run and answered,
// or refused with an error that promises that it did not run.
func TestDrainAnswersOrRefusesEachReceivedStatement(t *testing.T) {
	const clients = 60
	router := &fakeRouter{}
	srv, addr := startServer(t, router, nil)
	all := make([]*rawClient, clients)
	for i := range all {
		all[i] = login(t, addr, "crew")
	}
	drained := make(chan error, 1)
	for i, client := range all {
		if i == clients/2 {
			go func() { drained <- srv.Drain(testContext(t)) }()
		}
		client.send(simpleQuery(fmt.Sprintf("insert %d", i)))
	}
	ran, refused := 0, 0
	for i, client := range all {
		answer := client.until("E")
		executed := slices.Contains(router.executedStatements(), fmt.Sprintf("insert %d", i))
		switch answer {
		case "INSERT 0 1 ZI E57P01":
			ran++
			qt.Check(t, executed, qt.IsTrue)
		case "E57P01":
			refused++
			qt.Check(t, executed, qt.IsFalse)
		default:
			t.Errorf("statement %d: %s", i, answer)
		}
		_ = client.conn.Close()
	}
	t.Logf("%d statements ran, %d were refused", ran, refused)
	qt.Check(t, <-drained, qt.IsNil)
}

func TestDrainAbortsRequestsAtItsDeadline(t *testing.T) {
	router := &fakeRouter{}
	blockSlowStatements(router)
	srv, addr := startServer(t, router, nil)
	client := login(t, addr, "crew")
	client.send(simpleQuery("insert slow"))
	waitUntil(t, "a session runs", func() bool { return srv.runningSessions() == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	qt.Assert(t, srv.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
	client.expect("E08007 ZI E57P01", "the client receives an unknown outcome")
}

func TestCancel(t *testing.T) {
	router := &fakeRouter{cancelCalls: make(chan struct{}, 1)}
	release := blockSlowStatements(router)
	srv, addr := startServer(t, router, nil)
	client := login(t, addr, "crew")
	client.send(simpleQuery("select slow"))
	waitUntil(t, "the statement runs", func() bool { return srv.runningSessions() == 1 })
	cancel := dialRaw(t, addr)
	cancel.Send(&pgproto3.CancelRequest{ProcessID: client.keyData.ProcessID, SecretKey: client.keyData.SecretKey})
	qt.Assert(t, cancel.Flush(), qt.IsNil)
	<-router.cancelCalls
	close(release)
	client.until("Z")
	// A forwarded cancel request for an idle session or an unknown secret has no effect.
	service := srv.CancelService()
	qt.Assert(t, service.Cancel(&CancelArgs{Secret: binary.BigEndian.Uint32(client.keyData.SecretKey)}, &CancelReply{}), qt.IsNil)
	qt.Assert(t, service.Cancel(&CancelArgs{Secret: 1}, &CancelReply{}), qt.IsNil)
	qt.Assert(t, router.cancelCalls, qt.HasLen, 0)
}

func TestClientDisconnectEndsItsRequest(t *testing.T) {
	router := &fakeRouter{}
	blockSlowStatements(router)
	srv, addr := startServer(t, router, nil)
	client := login(t, addr, "crew")
	client.send(simpleQuery("insert slow"))
	waitUntil(t, "the statement runs", func() bool { return srv.runningSessions() == 1 })
	_ = client.conn.Close()
	waitUntil(t, "the session is gone", func() bool { return len(srv.Dump().(State).Sessions) == 0 })
}

func TestIdleTransactionTimeout(t *testing.T) {
	router := &fakeRouter{}
	_, addr := startServer(t, router, func(o *Options) { o.IdleTransactionTimeout = 30 * time.Millisecond })
	client := login(t, addr, "crew")
	client.send(simpleQuery("begin"), simpleQuery("insert 1"))
	qt.Assert(t, client.until("E"), qt.Equals, "BEGIN ZT INSERT 0 1 ZT E40001")
	waitUntil(t, "the transaction is rolled back", func() bool { return router.closeCalls() == 1 })
}
