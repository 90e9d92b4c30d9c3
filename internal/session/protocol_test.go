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

// rawClient sends and receives single protocol messages.
type rawClient struct {
	t    testing.TB
	conn net.Conn
	*pgproto3.Frontend
	keyData *pgproto3.BackendKeyData
}

func dialRaw(t testing.TB, addr string) *rawClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	qt.Assert(t, conn.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
	return &rawClient{t: t, conn: conn, Frontend: pgproto3.NewFrontend(conn, conn)}
}

// login starts a session without a password.
func login(t testing.TB, addr, user string) *rawClient {
	t.Helper()
	client := dialRaw(t, addr)
	client.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": user, "database": "qpca.bookings"},
	})
	client.until("Z")
	return client
}

// send sends messages in one write.
func (c *rawClient) send(messages ...pgproto3.FrontendMessage) {
	c.t.Helper()
	for _, m := range messages {
		c.Send(m)
	}
	qt.Assert(c.t, c.Flush(), qt.IsNil)
}

// expect reads messages until their short forms are as long as want and compares
// them with want.
func (c *rawClient) expect(want, comment string) {
	c.t.Helper()
	got := ""
	for len(got) < len(want) {
		msg, err := c.Receive()
		qt.Assert(c.t, err, qt.IsNil, qt.Commentf("%s: after %s", comment, got))
		got = strings.TrimLeft(got+" "+c.shortForm(msg), " ")
		got = strings.TrimRight(got, " ")
	}
	qt.Assert(c.t, got, qt.Equals, want, qt.Commentf("%s", comment))
}

// until reads up to a message whose short form has that prefix. It returns the
// short forms joined by spaces and skips messages without a short form.
func (c *rawClient) until(prefix string) string {
	c.t.Helper()
	qt.Assert(c.t, c.Flush(), qt.IsNil)
	var seen []string
	for {
		msg, err := c.Receive()
		qt.Assert(c.t, err, qt.IsNil, qt.Commentf("after %v", seen))
		shortForm := c.shortForm(msg)
		if shortForm != "" {
			seen = append(seen, shortForm)
		}
		if strings.HasPrefix(shortForm, prefix) {
			return strings.Join(seen, " ")
		}
	}
}

// shortForm returns a compact form of a message for comparisons, or "" for message
// types that tests don't compare. It stores the key data of the session.
func (c *rawClient) shortForm(msg pgproto3.BackendMessage) string {
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
		c.keyData = &copied
	}
	return ""
}

func simpleQuery(sql string) *pgproto3.Query { return &pgproto3.Query{String: sql} }

// step holds the messages that a client sends and the response that it expects.
type step struct {
	send []pgproto3.FrontendMessage
	want string
}

func messages(msgs ...pgproto3.FrontendMessage) []pgproto3.FrontendMessage { return msgs }

func runSteps(t *testing.T, router *fakeRouter, steps []step) {
	t.Helper()
	_, addr := startServer(t, router, func(o *Options) { o.MaxMessageBytes = 1 << 16 })
	client := login(t, addr, "crew")
	for i, s := range steps {
		client.send(s.send...)
		client.expect(s.want, fmt.Sprintf("step %d", i))
	}
}

func TestRefusalsLeaveTheConnectionUsable(t *testing.T) {
	parse := &pgproto3.Parse{Name: "a", Query: "insert x"}
	bind, execute := &pgproto3.Bind{PreparedStatement: "a"}, &pgproto3.Execute{}
	sync := &pgproto3.Sync{}
	router := &fakeRouter{}
	runSteps(t, router, []step{
		{messages(simpleQuery("copy t from stdin")), "E0A000 ZI"},
		{messages(&pgproto3.CopyData{Data: []byte("x")}, simpleQuery("")), "ZI"},
		{messages(&pgproto3.FunctionCall{}), "E0A000 ZI"},
		{messages(simpleQuery("set search_path = x")), "E0A000 ZI"},
		{messages(simpleQuery("set nettlewalk.token = 'x'")), "E22023 ZI"},
		{messages(simpleQuery("set nettlewalk.deadline = 5; select 1")), "E0A000 ZI"},
		{messages(simpleQuery("set nettlewalk.deadline = 5; show nettlewalk.deadline")), "SET D:5ms SHOW ZI"},
		{messages(parse, &pgproto3.Flush{}), "1"},
		{messages(bind, execute, sync), "2 INSERT 0 1 ZI"},
		{messages(parse, bind, &pgproto3.Flush{}), "E0A000"},
		{messages(execute, sync), "ZI"},
		{messages(&pgproto3.Bind{PreparedStatement: "none"}, &pgproto3.Parse{Name: "a", Query: "insert skipped"}, sync), "E26000 ZI"},
		{messages(bind, execute, sync), "2 INSERT 0 1 ZI"},
		{messages(bind, simpleQuery("select 1"), sync), "E08P01 ZI"},
		{messages(parse, bind, &pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{make([]byte, 40000)}},
			&pgproto3.Bind{PreparedStatement: "a", Parameters: [][]byte{make([]byte, 40000)}}, sync), "E54000 ZI"},
		{messages(&pgproto3.Close{ObjectType: 'S', Name: "a"}, sync), "3 ZI"},
		{messages(bind, execute, sync), "E26000 ZI"},
		{messages(sync), "ZI"},
	})
	qt.Assert(t, router.executedStatements(), qt.DeepEquals, []string{"insert x", "insert x"})
}

// Pipelined statements after a failure must never run outside their transaction.
func TestPipelinedStatementsAfterALostTransactionAreRefused(t *testing.T) {
	router := &fakeRouter{refuse: func(sql string) *result.Error {
		if sql == "begin" {
			return result.New(result.QueueFull, "full").WithRetryAfter(30 * time.Millisecond)
		}
		return nil
	}}
	execute := func(sql string) []pgproto3.FrontendMessage {
		return messages(&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{})
	}
	sync := &pgproto3.Sync{}
	runSteps(t, router, []step{
		{messages(simpleQuery("begin"), simpleQuery("insert 1"), simpleQuery("insert 2"), simpleQuery("commit"), simpleQuery("select 1")),
			"BEGIN ZT E53300 ZE E25P02 ZE ROLLBACK ZI D:select 1 SELECT 1 ZI"},
		{append(append(execute("begin"), execute("insert 1")...), sync, simpleQuery("insert 2"), simpleQuery("rollback; insert 3"), simpleQuery("rollback")),
			"1 2 BEGIN E53300 ZE E25P02 ZE E25P02 ZE ROLLBACK ZI"},
		{messages(simpleQuery("begin"), simpleQuery("show transaction_read_only"), simpleQuery("commit")), "BEGIN ZT D:off SHOW ZT COMMIT ZI"},
	})
	qt.Assert(t, router.executedStatements(), qt.DeepEquals, []string{"select 1"})
}

// A COMMIT with an unknown outcome must end the transaction. After an error before
// Flush, messages must be dropped up to Sync.
func TestUnknownCommitOutcomeAndErrorBeforeFlush(t *testing.T) {
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
		{messages(simpleQuery("begin"), simpleQuery("insert 1"), simpleQuery("commit")), "BEGIN ZT INSERT 0 1 ZT E08007 ZI"},
		{messages(&pgproto3.Parse{Query: "insert full"}, &pgproto3.Flush{}), "E53300"},
		{messages(simpleQuery("insert 2"), &pgproto3.Bind{}, &pgproto3.Sync{}, simpleQuery("insert 3")), "ZI INSERT 0 1 ZI"},
		{messages(&pgproto3.Parse{Query: "misread"}, &pgproto3.Flush{}, &pgproto3.Parse{Query: "insert 4"}, &pgproto3.Bind{},
			&pgproto3.Execute{}, &pgproto3.Sync{}), "E42601 ZI"},
	})
	qt.Assert(t, router.executedStatements(), qt.DeepEquals, []string{"begin", "insert 1", "insert 3"})
}

// A refusal by the session itself must end an open transaction, as an error from
// the target does.
func TestRefusalInsideATransaction(t *testing.T) {
	router := &fakeRouter{}
	runSteps(t, router, []step{
		{messages(simpleQuery("begin"), simpleQuery("insert 1")), "BEGIN ZT INSERT 0 1 ZT"},
		{messages(simpleQuery("listen x"), simpleQuery("insert 2"), simpleQuery("commit")), "E0A000 ZE E25P02 ZE ROLLBACK ZI"},
		{messages(simpleQuery("begin"), simpleQuery("broken"), simpleQuery("insert 3"), simpleQuery("rollback")), "BEGIN ZT E42601 ZE E25P02 ZE ROLLBACK ZI"},
	})
	qt.Assert(t, router.executedStatements(), qt.DeepEquals, []string{"begin", "insert 1", "begin", "broken", "rollback"})
	qt.Assert(t, router.closeCalls() > 0, qt.IsTrue)
}

func TestMalformedInputEndsOnlyItsConnection(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("cases", func(t *testing.T) {
		_, addr := startServer(t, &fakeRouter{}, func(o *Options) {
			o.MaxMessageBytes = 1 << 10
			o.StartupTimeout = 2 * time.Second // long enough for logins on a busy machine
		})
		bystander := login(t, addr, "crew")
		for _, c := range []struct {
			name, input, code string
			login             bool
		}{
			{"HTTP request", "GET / HTTP/1.1\r\n\r\n", "08P01", false},
			{"negative length", "\xff\xff\xff\xff", "08P01", false},
			{"unknown version", "\x00\x00\x00\x08\x00\x09\x00\x00", "08P01", false},
			{"incomplete startup message", "\x00\x00\x00\x50", "08P01", false},
			{"unknown message", "?\x00\x00\x00\x04", "08P01", true},
			{"oversized message", "Q\x7f\xff\xff\xff", "54000", true},
			{"short length", "Q\x00\x00\x00\x01", "08P01", true},
			{"truncated Bind", "B\x00\x00\x00\x07a\x00b", "08P01", true},
			{"unexpected password message", "p\x00\x00\x00\x05\x00", "08P01", true},
		} {
			client := dialRaw(t, addr)
			if c.login {
				client = login(t, addr, "crew")
			}
			_, err := client.conn.Write([]byte(c.input))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, client.until("E"), qt.Equals, "E"+c.code, qt.Commentf("%s", c.name))
			_, err = client.Receive()
			qt.Check(t, err, qt.ErrorIs, io.ErrUnexpectedEOF, qt.Commentf("%s", c.name))
		}
		bystander.send(simpleQuery("select 1"))
		qt.Assert(t, bystander.until("Z"), qt.Equals, "D:select 1 SELECT 1 ZI")
	})
}

func TestStartupRefusals(t *testing.T) {
	view := &fakeView{notReady: true}
	_, unreadyAddr := startServer(t, &fakeRouter{}, func(o *Options) { o.Customers = view })
	_, fullAddr := startServer(t, &fakeRouter{}, func(o *Options) { o.MaxSessions = 1 })
	login(t, fullAddr, "crew")
	_, addr := startServer(t, &fakeRouter{}, nil)
	for _, c := range []struct{ addr, user, database, name, value, code string }{
		{unreadyAddr, "crew", "qpca.bookings", "", "", "57P03"},
		{fullAddr, "crew", "qpca.bookings", "", "", "53400"},
		{addr, "crew", "none.bookings", "", "", "28000"},
		{addr, "crew", "qpca.none", "", "", "28000"},
		{addr, "crew", "bookings", "", "", "28000"},
		{addr, "none", "qpca.bookings", "", "", "28000"},
		{addr, "crew", "qpca.bookings", "replication", "true", "0A000"},
		{addr, "crew", "qpca.bookings", settingToken, "x", "22023"},
		{addr, "crew", "qpca.bookings", "options", "-c nettlewalk.none=1", "22023"},
	} {
		client := dialRaw(t, c.addr)
		parameters := map[string]string{"user": c.user, "database": c.database}
		if c.name != "" {
			parameters[c.name] = c.value
		}
		client.Send(&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: parameters})
		qt.Check(t, client.until("E"), qt.Equals, "E"+c.code, qt.Commentf("%+v", c))
	}
}
