package session

import (
	"context"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
)

// gate holds the statements that contain "slow" until it is opened.
func gate(router *fakeRouter) chan struct{} {
	opened := make(chan struct{})
	router.block = func(sql string) <-chan struct{} {
		if strings.Contains(sql, "slow") {
			return opened
		}
		return nil
	}
	return opened
}

func waitUntil(t testing.TB, what string, is func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !is() {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

func (s *Server) running() int {
	n := 0
	for _, one := range s.Dump().(State).Sessions {
		if one.Running {
			n++
		}
	}
	return n
}

func TestDrainCutsNoRequest(t *testing.T) {
	router := &fakeRouter{}
	opened := gate(router)
	srv, addr := start(t, router, nil)
	idle, busy, open := login(t, addr, "crew"), login(t, addr, "crew"), login(t, addr, "crew")
	busy.send(query("insert slow"))
	open.send(query("begin"), query("insert 1"))
	qt.Assert(t, open.until("INSERT"), qt.Equals, "BEGIN ZT INSERT 0 1")
	waitUntil(t, "one session runs", func() bool { return srv.running() == 1 })

	drained := make(chan error, 1)
	go func() { drained <- srv.Drain(testContext(t)) }()
	qt.Assert(t, idle.until("E"), qt.Equals, "E57P01")
	_, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNotNil)
	open.send(query("insert 2"), query("commit"))
	qt.Assert(t, open.until("E"), qt.Equals, "ZT INSERT 0 1 ZT COMMIT ZI E57P01")
	close(opened)
	qt.Assert(t, busy.until("E"), qt.Equals, "INSERT 0 1 ZI E57P01")
	for _, r := range []*rawCaller{idle, busy, open} {
		_ = r.conn.Close()
	}
	qt.Assert(t, <-drained, qt.IsNil)
}

func TestDrainGivesUpAtItsDeadline(t *testing.T) {
	router := &fakeRouter{}
	gate(router)
	srv, addr := start(t, router, nil)
	r := login(t, addr, "crew")
	r.send(query("insert slow"))
	waitUntil(t, "a session runs", func() bool { return srv.running() == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	qt.Assert(t, srv.Drain(ctx), qt.ErrorIs, context.DeadlineExceeded)
	r.expect("E08007 ZI E57P01", "the caller learns that the outcome is unknown")
}

func TestCancel(t *testing.T) {
	router := &fakeRouter{canceled: make(chan struct{}, 1)}
	opened := gate(router)
	srv, addr := start(t, router, nil)
	r := login(t, addr, "crew")
	r.send(query("select slow"))
	waitUntil(t, "it runs", func() bool { return srv.running() == 1 })
	cancel := dialRaw(t, addr)
	cancel.Send(&pgproto3.CancelRequest{ProcessID: r.key.ProcessID, SecretKey: r.key.SecretKey})
	qt.Assert(t, cancel.Flush(), qt.IsNil)
	<-router.canceled
	close(opened)
	r.until("Z")
	// A forwarded cancel of an idle session or an unknown secret does nothing.
	service := srv.CancelService()
	qt.Assert(t, service.Cancel(&CancelArgs{Secret: binary.BigEndian.Uint32(r.key.SecretKey)}, &CancelReply{}), qt.IsNil)
	qt.Assert(t, service.Cancel(&CancelArgs{Secret: 1}, &CancelReply{}), qt.IsNil)
	qt.Assert(t, router.canceled, qt.HasLen, 0)
}

func TestVanishedCallerEndsItsRequest(t *testing.T) {
	router := &fakeRouter{}
	gate(router)
	srv, addr := start(t, router, nil)
	r := login(t, addr, "crew")
	r.send(query("insert slow"))
	waitUntil(t, "it runs", func() bool { return srv.running() == 1 })
	_ = r.conn.Close()
	waitUntil(t, "the session is gone", func() bool { return len(srv.Dump().(State).Sessions) == 0 })
}

func TestIdleTransactionIsEnded(t *testing.T) {
	router := &fakeRouter{}
	_, addr := start(t, router, func(o *Options) { o.IdleTransaction = 30 * time.Millisecond })
	r := login(t, addr, "crew")
	r.send(query("begin"), query("insert 1"))
	qt.Assert(t, r.until("E"), qt.Equals, "BEGIN ZT INSERT 0 1 ZT E40001")
	waitUntil(t, "its transaction is released", func() bool { return router.releases() == 1 })
}
