package session

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jackc/pgx/v5/pgproto3"
	"go.uber.org/goleak"

	"nettlewalk.example/nettlewalk/internal/result"
)

// rawCaller speaks single protocol messages.
type rawCaller struct {
	t    testing.TB
	conn net.Conn
	*pgproto3.Frontend
	key *pgproto3.BackendKeyData
}

func dialRaw(t testing.TB, addr string) *rawCaller {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return &rawCaller{t: t, conn: conn, Frontend: pgproto3.NewFrontend(conn, conn)}
}

// login starts a session without a password.
func login(t testing.TB, addr, user string) *rawCaller {
	t.Helper()
	r := dialRaw(t, addr)
	r.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": user, "database": "qpca.bookings"},
	})
	r.until("Z")
	return r
}

// send sends messages in one write.
func (r *rawCaller) send(messages ...pgproto3.FrontendMessage) {
	r.t.Helper()
	for _, m := range messages {
		r.Send(m)
	}
	qt.Assert(r.t, r.Flush(), qt.IsNil)
}

// expect reads as many messages as want holds and compares them.
func (r *rawCaller) expect(want, comment string) {
	r.t.Helper()
	got := ""
	for len(got) < len(want) {
		msg, err := r.Receive()
		qt.Assert(r.t, err, qt.IsNil, qt.Commentf("%s: after %s", comment, got))
		got = strings.TrimLeft(got+" "+r.short(msg), " ")
		got = strings.TrimRight(got, " ")
	}
	qt.Assert(r.t, got, qt.Equals, want, qt.Commentf("%s", comment))
}

// until reads up to a message whose short form has that prefix and returns the
// short forms, without parameters, joined by spaces.
func (r *rawCaller) until(last string) string {
	r.t.Helper()
	qt.Assert(r.t, r.Flush(), qt.IsNil)
	var seen []string
	for {
		msg, err := r.Receive()
		qt.Assert(r.t, err, qt.IsNil, qt.Commentf("after %v", seen))
		form := r.short(msg)
		if form != "" {
			seen = append(seen, form)
		}
		if strings.HasPrefix(form, last) {
			return strings.Join(seen, " ")
		}
	}
}

func (r *rawCaller) short(msg pgproto3.BackendMessage) string {
	switch m := msg.(type) {
	case *pgproto3.ReadyForQuery:
		return "Z" + string(m.TxStatus)
	case *pgproto3.ErrorResponse:
		return "E" + m.Code
	case *pgproto3.CommandComplete:
		return string(m.CommandTag)
	case *pgproto3.DataRow:
		return "D:" + string(m.Values[0])
	case *pgproto3.ParseComplete:
		return "1"
	case *pgproto3.BindComplete:
		return "2"
	case *pgproto3.CloseComplete:
		return "3"
	case *pgproto3.NoData:
		return "n"
	case *pgproto3.BackendKeyData:
		copied := *m
		r.key = &copied
	}
	return ""
}

func query(sql string) *pgproto3.Query { return &pgproto3.Query{String: sql} }

// step is what a caller sends and the answer it expects.
type step struct {
	send []pgproto3.FrontendMessage
	want string
}

func messages(m ...pgproto3.FrontendMessage) []pgproto3.FrontendMessage { return m }

func runSteps(t *testing.T, router *fakeRouter, steps []step) {
	t.Helper()
	_, addr := start(t, router, func(o *Options) { o.MaxMessageBytes = 1 << 16 })
	r := login(t, addr, "crew")
	for i, s := range steps {
		r.send(s.send...)
		r.expect(s.want, fmt.Sprintf("step %d", i))
	}
}

func TestRefusalsLeaveTheConnectionUsable(t *testing.T) {
	parse := &pgproto3.Parse{Name: "a", Query: "insert x"}
	bind, execute := &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}
	sync := &pgproto3.Sync{}
	router := &fakeRouter{}
	runSteps(t, router, []step{
		{messages(query("copy t from stdin")), "E0A000 ZI"},
		{messages(&pgproto3.CopyData{Data: []byte("x")}, query("")), "ZI"},
		{messages(&pgproto3.FunctionCall{}), "E0A000 ZI"},
		{messages(query("set search_path = x")), "E0A000 ZI"},
		{messages(query("set nettlewalk.token = 'x'")), "E22023 ZI"},
		{messages(query("set nettlewalk.deadline = 5; select 1")), "E0A000 ZI"},
		{messages(query("set nettlewalk.deadline = 5; show nettlewalk.deadline")), "SET D:5ms SHOW ZI"},
		{messages(parse, &pgproto3.Flush{}), "1"},
		{messages(bind, execute, sync), "2 INSERT 0 1 ZI"},
		{messages(parse, bind, &pgproto3.Flush{}), "E0A000"},
		{messages(execute, sync), "ZI"},
		{messages(&pgproto3.Bind{PreparedStatement: "none"}, &pgproto3.Parse{Name: "a", Query: "insert skipped"}, sync), "E26000 ZI"},
		{messages(bind, execute, sync), "2 INSERT 0 1 ZI"},
		{messages(bind, query("select 1"), sync), "E08P01 ZI"},
		{messages(parse, bind, &pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{make([]byte, 40000)}},
			&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{make([]byte, 40000)}}, sync), "E54000 ZI"},
		{messages(&pgproto3.Close{ObjectType: 'S', Name: "a"}, sync), "3 ZI"},
		{messages(bind, execute, sync), "E26000 ZI"},
		{messages(sync), "ZI"},
	})
	qt.Assert(t, router.statements(), qt.DeepEquals, []string{"insert x", "insert x"})
}

// Statements of a pipeline that follow a failure never run outside their
// transaction.
func TestPipelineAfterALostTransaction(t *testing.T) {
	router := &fakeRouter{refuse: func(sql string) *result.Error {
		if sql == "begin" {
			return result.New(result.QueueFull, "full").After(30 * time.Millisecond)
		}
		return nil
	}}
	execute := func(sql string) []pgproto3.FrontendMessage {
		return messages(&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{})
	}
	sync := &pgproto3.Sync{}
	runSteps(t, router, []step{
		{messages(query("begin"), query("insert 1"), query("insert 2"), query("commit"), query("select 1")),
			"BEGIN ZT E53300 ZE E25P02 ZE ROLLBACK ZI D:select 1 SELECT 1 ZI"},
		{append(append(execute("begin"), execute("insert 1")...), sync, query("insert 2"), query("rollback; insert 3"), query("rollback")),
			"1 2 BEGIN E53300 ZE E25P02 ZE E25P02 ZE ROLLBACK ZI"},
		{messages(query("begin"), query("show transaction_read_only"), query("commit")), "BEGIN ZT D:off SHOW ZT COMMIT ZI"},
	})
	qt.Assert(t, router.statements(), qt.DeepEquals, []string{"select 1"})
}

// A COMMIT whose outcome is unknown ends the transaction all the same, and an
// error before Flush drops what follows up to Sync.
func TestLostCommitAndErrorBeforeFlush(t *testing.T) {
	router := &fakeRouter{refuse: func(sql string) *result.Error {
		switch sql {
		case "commit":
			return result.New(result.UnknownOutcome, "the connection broke")
		case "insert full":
			return result.New(result.QueueFull, "full")
		}
		return nil
	}}
	runSteps(t, router, []step{
		{messages(query("begin"), query("insert 1"), query("commit")), "BEGIN ZT INSERT 0 1 ZT E08007 ZI"},
		{messages(&pgproto3.Parse{Query: "insert full"}, &pgproto3.Flush{}), "E53300"},
		{messages(query("insert 2"), &pgproto3.Bind{}, &pgproto3.Sync{}, query("insert 3")), "ZI INSERT 0 1 ZI"},
		{messages(&pgproto3.Parse{Query: "misread"}, &pgproto3.Flush{}, &pgproto3.Parse{Query: "insert 4"}, &pgproto3.Bind{},
			&pgproto3.Execute{}, &pgproto3.Sync{}), "E42601 ZI"},
	})
	qt.Assert(t, router.statements(), qt.DeepEquals, []string{"begin", "insert 1", "insert 3"})
}

// A refusal by the session itself ends an open transaction as an error would.
func TestRefusalInsideATransaction(t *testing.T) {
	router := &fakeRouter{}
	runSteps(t, router, []step{
		{messages(query("begin"), query("insert 1")), "BEGIN ZT INSERT 0 1 ZT"},
		{messages(query("listen x"), query("insert 2"), query("commit")), "E0A000 ZE E25P02 ZE ROLLBACK ZI"},
		{messages(query("begin"), query("broken"), query("insert 3"), query("rollback")), "BEGIN ZT E42601 ZE E25P02 ZE ROLLBACK ZI"},
	})
	qt.Assert(t, router.statements(), qt.DeepEquals, []string{"begin", "insert 1", "begin", "broken", "rollback"})
	qt.Assert(t, router.releases() > 0, qt.IsTrue)
}

func TestBadInputHarmsNobody(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("cases", func(t *testing.T) {
		_, addr := start(t, &fakeRouter{}, func(o *Options) {
			o.MaxMessageBytes = 1 << 10
			o.StartupTimeout = 2 * time.Second // logins on a busy machine stay within it
		})
		bystander := login(t, addr, "crew")
		for _, c := range []struct {
			name, input, code string
			login             bool
		}{
			{"web request", "GET / HTTP/1.1\r\n\r\n", "08P01", false},
			{"negative length", "\xff\xff\xff\xff", "08P01", false},
			{"unknown version", "\x00\x00\x00\x08\x00\x09\x00\x00", "08P01", false},
			{"slow start-up", "\x00\x00\x00\x50", "08P01", false},
			{"unknown message", "?\x00\x00\x00\x04", "08P01", true},
			{"oversized message", "Q\x7f\xff\xff\xff", "54000", true},
			{"short length", "Q\x00\x00\x00\x01", "08P01", true},
			{"torn Bind", "B\x00\x00\x00\x07a\x00b", "08P01", true},
			{"password out of place", "p\x00\x00\x00\x05\x00", "08P01", true},
		} {
			r := dialRaw(t, addr)
			if c.login {
				r = login(t, addr, "crew")
			}
			_, err := r.conn.Write([]byte(c.input))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, r.until("E"), qt.Equals, "E"+c.code, qt.Commentf("%s", c.name))
			_, err = r.Receive()
			qt.Check(t, err, qt.ErrorIs, io.ErrUnexpectedEOF, qt.Commentf("%s", c.name))
		}
		bystander.send(query("select 1"))
		qt.Assert(t, bystander.until("Z"), qt.Equals, "D:select 1 SELECT 1 ZI")
	})
}

func TestStartupRefusals(t *testing.T) {
	view := &fakeView{notReady: true}
	_, unready := start(t, &fakeRouter{}, func(o *Options) { o.Customers = view })
	_, full := start(t, &fakeRouter{}, func(o *Options) { o.MaxSessions = 1 })
	login(t, full, "crew")
	_, addr := start(t, &fakeRouter{}, nil)
	for _, c := range []struct{ addr, user, database, name, value, code string }{
		{unready, "crew", "qpca.bookings", "", "", "57P03"},
		{full, "crew", "qpca.bookings", "", "", "53400"},
		{addr, "crew", "none.bookings", "", "", "28000"},
		{addr, "crew", "qpca.none", "", "", "28000"},
		{addr, "crew", "bookings", "", "", "28000"},
		{addr, "none", "qpca.bookings", "", "", "28000"},
		{addr, "crew", "qpca.bookings", "replication", "true", "0A000"},
		{addr, "crew", "qpca.bookings", setToken, "x", "22023"},
		{addr, "crew", "qpca.bookings", "options", "-c nettlewalk.none=1", "22023"},
	} {
		r := dialRaw(t, c.addr)
		parameters := map[string]string{"user": c.user, "database": c.database}
		if c.name != "" {
			parameters[c.name] = c.value
		}
		r.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
		qt.Check(t, r.until("E"), qt.Equals, "E"+c.code, qt.Commentf("%+v", c))
	}
}
