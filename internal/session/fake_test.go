package session

import (
	"bytes"
	"context"
	"net"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
	"github.com/jackc/pgx/v5/pgproto3"

	"nettlewalk.example/nettlewalk/internal/customer"
	"nettlewalk.example/nettlewalk/internal/result"
	"nettlewalk.example/nettlewalk/internal/routing"
	"nettlewalk.example/nettlewalk/internal/topology"
)

// fakeRouter replaces routing and a target. The target answers every read with the
// text of the statement.
type fakeRouter struct {
	mu           sync.Mutex
	calls        []routing.Call
	executed     []string     // statements that the target ran, in order
	executedInTx []int        // transaction number of each executed statement, 0 outside a transaction
	committed    map[int]bool // numbers of committed transactions
	closeCount   int          // number of Close calls
	lastOffset   uint64       // log offset of the last write
	// refuse, if set, returns the error for a batch with that first statement.
	refuse func(sql string) *result.Error
	// block, if set, returns a channel that delays the batch until the channel is
	// closed or ctx ends. A nil channel causes no delay.
	block       func(sql string) <-chan struct{}
	cancelCalls chan struct{} // receives a value for each Cancel call
	prepared    sync.Map      // prepared statements of the target: name to SQL
}

func (f *fakeRouter) Open(topology.CustomerID, topology.GroupID) routing.Conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.committed == nil {
		f.committed = map[int]bool{}
	}
	return &fakeConn{router: f, status: statusIdle}
}

type fakeConn struct {
	router   *fakeRouter
	status   byte
	wrote    bool // whether the current batch committed a write
	txNumber int  // number of the open transaction
	response []byte
}

func (c *fakeConn) Close() {
	c.router.mu.Lock()
	defer c.router.mu.Unlock()
	c.router.closeCount++
}

func (c *fakeConn) Cancel(context.Context) error {
	c.router.cancelCalls <- struct{}{}
	return nil
}

func (c *fakeConn) Run(ctx context.Context, call *routing.Call, emit func([]byte) error) (routing.Outcome, error) {
	f := c.router
	f.mu.Lock()
	f.calls = append(f.calls, *call)
	f.mu.Unlock()
	for _, s := range call.Statements {
		f.prepared.Store(s.Name, s.SQL)
	}
	firstSQL := c.firstSQL(call.Messages)
	if f.block != nil {
		if released := f.block(firstSQL); released != nil {
			select {
			case <-released:
			case <-ctx.Done():
				return routing.Outcome{}, result.New(result.UnknownOutcome, "request aborted")
			}
		}
	}
	if f.refuse != nil {
		if err := f.refuse(firstSQL); err != nil {
			c.status = statusIdle
			return routing.Outcome{}, err
		}
	}
	c.response, c.wrote = nil, false
	c.respond(call.Messages)
	if err := emit(c.response); err != nil {
		return routing.Outcome{}, result.New(result.UnknownOutcome, "client disconnected")
	}
	outcome := routing.Outcome{TxStatus: c.status}
	if c.wrote {
		f.mu.Lock()
		f.lastOffset++
		outcome.Position = topology.Position{Term: 1, Offset: f.lastOffset}
		f.mu.Unlock()
	}
	return outcome, nil
}

func (c *fakeConn) forEachMessage(messages []byte, visit func(pgproto3.FrontendMessage)) {
	backend := pgproto3.NewBackend(bytes.NewReader(messages), nil)
	for {
		msg, err := backend.Receive()
		if err != nil {
			return
		}
		visit(msg)
	}
}

func (c *fakeConn) firstSQL(messages []byte) string {
	sql := ""
	c.forEachMessage(messages, func(msg pgproto3.FrontendMessage) {
		if sql != "" {
			return
		}
		switch m := msg.(type) {
		case *pgproto3.Query:
			sql = m.String
		case *pgproto3.Parse:
			sql = m.Query
		case *pgproto3.Bind:
			sql = c.router.preparedSQL(m.PreparedStatement)
		}
	})
	return sql
}

func (c *fakeConn) send(msg pgproto3.BackendMessage) {
	c.response, _ = msg.Encode(c.response)
}

func (c *fakeConn) respond(messages []byte) {
	boundSQL := ""
	c.forEachMessage(messages, func(msg pgproto3.FrontendMessage) {
		switch m := msg.(type) {
		case *pgproto3.Query:
			c.runSQL(m.String, true)
		case *pgproto3.Parse:
			if m.Query == "misread" {
				c.send(&pgproto3.ErrorResponse{Code: "42601"})
				return
			}
			c.send(&pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			boundSQL = c.router.preparedSQL(m.PreparedStatement)
			c.send(&pgproto3.BindComplete{})
		case *pgproto3.Describe:
			c.describe(m, boundSQL)
		case *pgproto3.Execute:
			c.runSQL(boundSQL, false)
		case *pgproto3.Close:
			c.send(&pgproto3.CloseComplete{})
		}
	})
}

func (c *fakeConn) describe(m *pgproto3.Describe, boundSQL string) {
	sql := boundSQL
	if m.ObjectType == 'S' {
		sql = c.router.preparedSQL(m.Name)
		oids := make([]uint32, strings.Count(sql, "$"))
		for i := range oids {
			oids[i] = textTypeOID
		}
		c.send(&pgproto3.ParameterDescription{ParameterOIDs: oids})
	}
	if strings.HasPrefix(strings.ToLower(sql), "select") {
		c.send(rowDescription("sql"))
		return
	}
	c.send(&pgproto3.NoData{})
}

// runSQL runs the text of one message as a single statement and queues the
// response.
func (c *fakeConn) runSQL(sql string, simpleQuery bool) {
	f := c.router
	if ends := sql == "commit" || sql == "rollback"; c.status == statusFailed && !ends {
		c.send(failedTransactionResponse())
		return
	}
	f.mu.Lock()
	f.executed = append(f.executed, sql)
	f.executedInTx = append(f.executedInTx, c.txNumberFor(sql))
	f.mu.Unlock()
	lower := strings.ToLower(sql)
	switch {
	case strings.Contains(lower, "broken"):
		c.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "42601", Message: "syntax error", Hint: "fix the statement"})
		if c.status == statusOpen {
			c.status = statusFailed
		}
	case strings.HasPrefix(lower, "begin"):
		c.status = statusOpen
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("BEGIN")})
	case strings.HasPrefix(lower, "commit") && c.status == statusFailed:
		c.status = statusIdle
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	case strings.HasPrefix(lower, "commit"):
		c.wrote = c.status == statusOpen
		c.status = statusIdle
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("COMMIT")})
	case strings.HasPrefix(lower, "rollback"):
		c.status = statusIdle
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("ROLLBACK")})
	case strings.HasPrefix(lower, "select"):
		if simpleQuery {
			c.send(rowDescription("sql"))
		}
		c.send(&pgproto3.DataRow{Values: [][]byte{[]byte(sql)}})
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
	default:
		c.wrote = c.status == statusIdle
		c.send(&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
	}
}

// txNumberFor returns the number of the transaction in which a statement runs.
func (c *fakeConn) txNumberFor(sql string) int {
	switch {
	case sql == "begin" && c.status == statusIdle:
		c.txNumber = len(c.router.executed) // unique, and not 0 because executed already has this statement
	case c.status == statusIdle:
		return 0
	case sql == "commit" && c.status == statusOpen:
		c.router.committed[c.txNumber] = true
	}
	return c.txNumber
}

func (f *fakeRouter) preparedSQL(name string) string {
	sql, _ := f.prepared.Load(name)
	text, _ := sql.(string)
	return text
}

func (f *fakeRouter) executedStatements() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.executed...)
}

// closeCalls returns the number of Close calls, which roll back open transactions.
func (f *fakeRouter) closeCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closeCount
}

func (f *fakeRouter) lastCall() routing.Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls[len(f.calls)-1]
}

// fakeView is an in-memory customer.View.
type fakeView struct {
	mu        sync.Mutex
	notReady  bool
	customers map[topology.CustomerID]*customer.Customer
}

func (v *fakeView) Customer(id topology.CustomerID) (*customer.Customer, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c, ok := v.customers[id]
	return c, ok
}
func (v *fakeView) Group(topology.GroupID) (*topology.Group, bool) { return nil, false }
func (v *fakeView) Groups() []*topology.Group                      { return nil }
func (v *fakeView) Ready() bool                                    { return !v.notReady }

func scramVerifier(password string) string {
	v, err := customer.MakeVerifier("ada", password, []byte("sixteen bytes ok"))
	if err != nil {
		panic(err)
	}
	return v
}

func testCustomer() *customer.Customer {
	return &customer.Customer{
		ID:           "qpca",
		Databases:    map[string]topology.GroupID{"bookings": "g1", "archive": "g2"},
		Users:        []customer.User{{Name: "crew"}, {Name: "viewer", ReadOnly: true}, {Name: "ada", Verifier: scramVerifier("secret")}},
		ReadKeywords: true,
	}
}

// startServer starts a server on loopback that runs until the test ends.
func startServer(t testing.TB, router *fakeRouter, change func(*Options)) (*Server, string) {
	t.Helper()
	opts := Options{
		Customers:  &fakeView{customers: map[topology.CustomerID]*customer.Customer{"qpca": testCustomer()}},
		Router:     router,
		Log:        logr.Discard(),
		Host:       "host-1",
		TokenKey:   []byte("test key"),
		AllowTrust: true,
	}
	if change != nil {
		change(&opts)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	srv := NewServer(opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return srv, l.Addr().String()
}

// dsn returns a connection string that disables TLS. params is appended to it.
func dsn(addr, user, params string) string {
	return "postgres://" + user + "@" + addr + "/qpca.bookings?sslmode=disable" + params
}
